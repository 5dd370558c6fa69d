package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// progressInterval is the maximum time between two progress reports.
const progressInterval = 200 * time.Millisecond

// scheduledStep is a step with the time of its next execution.
type scheduledStep struct {
	step Step
	at   time.Duration
	// repetition counts the earlier executions of the step.
	repetition int
}

// runSteps executes the steps at their times, one after another, and returns
// when the load ends. A step that overruns delays the next ones.
func (session *session) runSteps(ctx context.Context) error {
	var waiting []scheduledStep
	for _, step := range session.file.Steps {
		waiting = append(waiting, scheduledStep{step: step, at: step.At})
	}
	text := "load runs"
	for {
		slices.SortStableFunc(waiting, func(left, right scheduledStep) int { return int(left.at - right.at) })
		if len(waiting) == 0 || waiting[0].at >= session.file.Duration {
			return session.waitUntil(ctx, session.file.Duration, text)
		}
		next := waiting[0]
		waiting = waiting[1:]
		if err := session.waitUntil(ctx, next.at, text); err != nil {
			return err
		}
		text = next.step.describe()
		session.executeStep(ctx, next)
		if next.step.Every > 0 {
			next.repetition++
			next.at += next.step.Every
			waiting = append(waiting, next)
		}
	}
}

// describe returns a short description of the step for progress reports.
func (step Step) describe() string {
	subject := strings.Join(step.Names, " ")
	if step.Service != "" {
		subject = step.Service + " " + step.Parameter
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s", step.Action, subject))
}

// executeStep executes one step and records its outcome.
func (session *session) executeStep(ctx context.Context, next scheduledStep) {
	begun := time.Now()
	var names []string
	var err error
	if next.step.Action == ActionParameter {
		names, err = []string{next.step.Service}, session.steps.setParameter(ctx, next.step, next.repetition)
	} else {
		names, err = session.steps.run(ctx, next.step)
	}
	record := StepRecord{
		At:     begun.Sub(session.started).Seconds(),
		Took:   time.Since(begun).Seconds(),
		Action: next.step.Action,
		Names:  names,
	}
	if err != nil {
		record.Error = err.Error()
	}
	session.records = append(session.records, record)
}

// waitUntil reports progress until the load has run for at.
func (session *session) waitUntil(ctx context.Context, at time.Duration, text string) error {
	for {
		elapsed := time.Since(session.started)
		session.options.Progress(min(elapsed, session.file.Duration), session.file.Duration, text)
		if elapsed >= at {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(progressInterval, at-elapsed)):
		}
	}
}
