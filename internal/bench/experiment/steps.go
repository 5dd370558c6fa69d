package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

// StepRecord is what came of one step.
type StepRecord struct {
	// At and Took are in seconds; At counts from the begin of the load.
	At     float64  `json:"at"`
	Took   float64  `json:"took"`
	Action Action   `json:"action"`
	Names  []string `json:"names,omitempty"`
	Error  string   `json:"error,omitempty"`
}

// stepRunner carries out the steps of one run.
type stepRunner struct {
	script   Script
	layout   *fleet.Layout
	operator *Operator
	sampler  *sampler
	// aliases are names that earlier steps kept.
	aliases map[string]string
	// targets are the targets in each service's parameters.
	targets map[string][]string
	// drainGrace is the grace of drains; zero means the usual one.
	drainGrace time.Duration
	expected   audit.Expectation
	rollouts   []time.Duration
}

func newStepRunner(script Script, layout *fleet.Layout, operator *Operator, sampler *sampler, drainGrace time.Duration) *stepRunner {
	runner := &stepRunner{
		script:   script,
		layout:   layout,
		operator: operator,
		sampler:  sampler,
		aliases:  make(map[string]string),
		targets:  make(map[string][]string),

		drainGrace: drainGrace,
	}
	for _, agent := range layout.OfRole(fleet.RoleAgent) {
		if !agent.Standby {
			runner.targets[agent.Service] = append(runner.targets[agent.Service], agent.Name)
		}
	}
	return runner
}

// run carries out one step and returns the names that it resolved.
func (runner *stepRunner) run(ctx context.Context, step Step) ([]string, error) {
	names, err := runner.resolve(ctx, step)
	if err != nil {
		return nil, err
	}
	runner.recordEffects(step, names)
	switch step.Action {
	case ActionKill, ActionStop, ActionFreeze, ActionThaw:
		return names, runner.script.Run(ctx, append([]string{string(step.Action)}, names...)...)
	case ActionStart:
		return names, runner.start(ctx, names)
	case ActionRegister:
		return names, runner.layout.Register(ctx, names, false)
	case ActionLeaving:
		return names, runner.layout.Register(ctx, names, true)
	case ActionUnregister:
		return names, runner.layout.Remove(ctx, names)
	case ActionDrain:
		return names, forEachName(ctx, names, runner.drain)
	case ActionUndrain:
		return names, forEachName(ctx, names, runner.operator.Undrain)
	case ActionParameter:
		return []string{step.Service}, runner.setParameter(ctx, step, 0)
	case ActionAddTargets:
		return []string{step.Service}, runner.addTargets(ctx, step.Service)
	case ActionUpgrade:
		return names, forEachName(ctx, names, runner.upgrade)
	case ActionMisbehave:
		return names, forEachName(ctx, names, func(ctx context.Context, name string) error {
			return runner.layout.Misbehave(ctx, name, step.Faults)
		})
	case ActionImpair:
		return nil, runner.layout.Impair(ctx, step.Impairments)
	case ActionHeal:
		return nil, runner.layout.Heal(ctx)
	}
	return nil, fmt.Errorf("action %q is not known", step.Action)
}

// resolve replaces "leader" and kept names by names of processes.
func (runner *stepRunner) resolve(ctx context.Context, step Step) ([]string, error) {
	var names []string
	for _, name := range step.Names {
		if kept, known := runner.aliases[name]; known {
			name = kept
		}
		if name == leaderName {
			leader, err := runner.operator.Leader(ctx)
			if err != nil {
				return nil, err
			}
			name = leader
		}
		if step.As != "" {
			runner.aliases[step.As] = name
		}
		names = append(names, name)
	}
	return names, nil
}

func (runner *stepRunner) drain(ctx context.Context, name string) error {
	if err := runner.operator.Drain(ctx, name); err != nil {
		return err
	}
	runner.recordDrain(name)
	return nil
}

func (runner *stepRunner) start(ctx context.Context, names []string) error {
	for _, name := range names {
		if err := runner.script.Run(ctx, "start", name); err != nil {
			return err
		}
	}
	return runner.layout.WaitReady(ctx, names, inForceTimeout)
}

// setParameter changes a parameter to the value whose turn it is, and keeps
// how long the change took to be in force.
func (runner *stepRunner) setParameter(ctx context.Context, step Step, repetition int) error {
	before := time.Now()
	err := runner.operator.SetParameter(ctx, step.Service, step.Parameter, step.Values[repetition%len(step.Values)])
	if err == nil {
		runner.rollouts = append(runner.rollouts, time.Since(before))
	}
	return err
}

// each applies change to every name and joins the errors.
func forEachName(ctx context.Context, names []string, change func(ctx context.Context, name string) error) error {
	var all []error
	for _, name := range names {
		all = append(all, change(ctx, name))
	}
	return errors.Join(all...)
}
