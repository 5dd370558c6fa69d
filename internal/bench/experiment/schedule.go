package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// progressInterval is the time between two progress reports.
const progressInterval = 200 * time.Millisecond

// scheduled is one step at its next time.
type scheduledStep struct {
	step Step
	at   time.Duration
	// turn counts the repetitions of the step.
	repetition int
}

// runSteps carries out the steps at their times, one after another, and
// returns when the load is over.
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

// describe returns the step as a few words.
func (step Step) describe() string {
	subject := strings.Join(step.Names, " ")
	if step.Service != "" {
		subject = step.Service + " " + step.Parameter
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s", step.Action, subject))
}

// carryOut runs one step and records what came of it.
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

// waitUntil waits until the load has run for at.
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
