package experiment

import (
	"context"

	"merlinpaddle/internal/bench/fleet"
)

// addTargets starts the service's standby back ends with their agents and adds
// them to the targets in its parameters. Second agents for upgrades share a back
// end with another agent and are left out.
func (runner *stepRunner) addTargets(ctx context.Context, service string) error {
	var added []string
	for _, agent := range runner.layout.WithRole(fleet.RoleAgent) {
		ownBackend := agent.Backend == fleet.BackendPrefix+agent.Name
		if agent.Service != service || !agent.Standby || !ownBackend {
			continue
		}
		if err := runner.start(ctx, []string{agent.Backend}); err != nil {
			return err
		}
		added = append(added, agent.Name)
	}
	return runner.startAgents(ctx, service, added)
}

// startAgents starts agents, registers their machines, adds them to the targets
// of the service, and waits until they are ready.
func (runner *stepRunner) startAgents(ctx context.Context, service string, names []string) error {
	for _, name := range names {
		if err := runner.script.Run(ctx, "start", name); err != nil {
			return err
		}
	}
	if err := runner.layout.Register(ctx, names, false); err != nil {
		return err
	}
	runner.targets[service] = append(runner.targets[service], names...)
	all, err := runner.layout.Targets(runner.targets[service])
	if err != nil {
		return err
	}
	if err := runner.operator.SetParameter(ctx, service, "targets", all); err != nil {
		return err
	}
	for _, name := range names {
		runner.sampler.setServing(name, true)
	}
	return runner.layout.WaitReady(ctx, names, inForceTimeout)
}

// upgrade starts the second agent of a target, drains the first one, and sends
// it SIGTERM, so that it exits once its flows have ended.
func (runner *stepRunner) upgrade(ctx context.Context, name string) error {
	first, err := runner.layout.Find(name)
	if err != nil {
		return err
	}
	if err := runner.startAgents(ctx, first.Service, []string{fleet.UpgradeName(name)}); err != nil {
		return err
	}
	runner.sampler.setServing(name, false)
	if err := runner.operator.Drain(ctx, name); err != nil {
		return err
	}
	return runner.script.Run(ctx, "stop", name)
}
