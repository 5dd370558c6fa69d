package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

// StepRecord is the outcome of one executed step.
type StepRecord struct {
	// At and Took are the start, since the start of the load, and the duration
	// of the step, in seconds.
	At     float64  `json:"at"`
	Took   float64  `json:"took"`
	Action Action   `json:"action"`
	Names  []string `json:"names,omitempty"`
	Error  string   `json:"error,omitempty"`
}

// stepRunner executes the steps of one run.
type stepRunner struct {
	script   Script
	layout   *fleet.Layout
	operator *Operator
	sampler  *sampler
	// aliases maps the As names of earlier steps to the names of processes.
	aliases map[string]string
	// targets lists the targets in the parameters of each service.
	targets map[string][]string
	// drainGrace is the grace of drains; zero means audit.DrainGrace.
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
	for _, agent := range layout.WithRole(fleet.RoleAgent) {
		if !agent.Standby {
			runner.targets[agent.Service] = append(runner.targets[agent.Service], agent.Name)
		}
	}
	return runner
}

// run executes one step and returns the resolved names that it acted on.
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
			return runner.layout.SetMisbehavior(ctx, name, step.Faults)
		})
	case ActionImpair:
		return nil, runner.layout.SetImpairments(ctx, step.Impairments)
	case ActionHeal:
		return nil, runner.layout.ClearImpairments(ctx)
	}
	return nil, fmt.Errorf("action %q is not known", step.Action)
}

// resolve replaces "leader" and aliases by names of processes, and stores the
// step's own alias.
func (runner *stepRunner) resolve(ctx context.Context, step Step) ([]string, error) {
	var names []string
	for _, name := range step.Names {
		if process, known := runner.aliases[name]; known {
			name = process
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

// setParameter sets the parameter to the step's value for this repetition, and
// records how long the change took to be in force.
func (runner *stepRunner) setParameter(ctx context.Context, step Step, repetition int) error {
	before := time.Now()
	err := runner.operator.SetParameter(ctx, step.Service, step.Parameter, step.Values[repetition%len(step.Values)])
	if err == nil {
		runner.rollouts = append(runner.rollouts, time.Since(before))
	}
	return err
}

// forEachName calls change for every name and joins the errors.
func forEachName(ctx context.Context, names []string, change func(ctx context.Context, name string) error) error {
	var all []error
	for _, name := range names {
		all = append(all, change(ctx, name))
	}
	return errors.Join(all...)
}
