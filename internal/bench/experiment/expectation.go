package experiment

import (
	"slices"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

// note records what the step means for imbalance and for the audit.
func (runner *stepRunner) recordEffects(step Step, names []string) {
	for _, name := range names {
		switch step.Action {
		case ActionKill, ActionFreeze:
			runner.sampler.setServing(name, false)
			runner.recordDeadNode(name)
		case ActionThaw:
			runner.sampler.setServing(name, true)
		case ActionDrain:
			runner.sampler.setServing(name, false)
		case ActionUndrain:
			runner.sampler.setServing(name, true)
			runner.endDrain(runner.backendOf(name))
		}
	}
	if step.Impairments != nil {
		runner.recordCutBackends(step.Impairments.CutZones)
	}
}

// noteDrain records a drain that control has accepted. The users' time counts
// from there: before, the target was not told to leave.
func (runner *stepRunner) recordDrain(name string) {
	runner.expected.Drains = append(runner.expected.Drains, audit.Drain{
		Node: runner.backendOf(name), At: time.Now(), Grace: runner.drainGrace,
	})
}

// noteDeath records the back end of a target whose agent or back end dies or
// freezes.
func (runner *stepRunner) recordDeadNode(name string) {
	process, err := runner.layout.Find(name)
	if err != nil {
		return
	}
	switch process.Role {
	case fleet.RoleAgent:
		runner.expected.DeadNodes = append(runner.expected.DeadNodes, process.Backend)
	case fleet.RoleBackend:
		runner.expected.DeadNodes = append(runner.expected.DeadNodes, name)
	}
}

// noteCut records the back ends that callers cannot reach.
func (runner *stepRunner) recordCutBackends(zones []string) {
	for _, backend := range runner.layout.OfRole(fleet.RoleBackend) {
		if slices.Contains(zones, backend.Zone) {
			runner.expected.DeadNodes = append(runner.expected.DeadNodes, backend.Name)
		}
	}
}

func (runner *stepRunner) endDrain(node string) {
	for index := range runner.expected.Drains {
		drain := &runner.expected.Drains[index]
		if drain.Node == node && drain.Until.IsZero() {
			drain.Until = time.Now()
		}
	}
}

// backendOf is the name of the back end behind a target's agent.
func (runner *stepRunner) backendOf(target string) string {
	process, err := runner.layout.Find(target)
	if err != nil {
		return ""
	}
	return process.Backend
}
