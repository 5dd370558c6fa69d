package experiment

import (
	"slices"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

// recordEffects updates, before a step runs, which targets count for imbalance,
// and the dead nodes and ends of drains that the audit expects.
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

// recordDrain records a drain that the control group has accepted. The drain
// grace promised to users starts then, because the target is not notified
// earlier.
func (runner *stepRunner) recordDrain(name string) {
	runner.expected.Drains = append(runner.expected.Drains, audit.Drain{
		Node: runner.backendOf(name), At: time.Now(), Grace: runner.drainGrace,
	})
}

// recordDeadNode records the back end of an agent or back end that is killed or
// frozen. Other processes are ignored.
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

// recordCutBackends records the back ends in the cut zones, which callers
// cannot reach.
func (runner *stepRunner) recordCutBackends(zones []string) {
	for _, backend := range runner.layout.WithRole(fleet.RoleBackend) {
		if slices.Contains(zones, backend.Zone) {
			runner.expected.DeadNodes = append(runner.expected.DeadNodes, backend.Name)
		}
	}
}

// endDrain sets the end of a node's open drains to now.
func (runner *stepRunner) endDrain(node string) {
	for index := range runner.expected.Drains {
		drain := &runner.expected.Drains[index]
		if drain.Node == node && drain.Until.IsZero() {
			drain.Until = time.Now()
		}
	}
}

// backendOf returns the name of the back end behind a target's agent, or "" if
// the fleet has no such target.
func (runner *stepRunner) backendOf(target string) string {
	process, err := runner.layout.Find(target)
	if err != nil {
		return ""
	}
	return process.Backend
}
