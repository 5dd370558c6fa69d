package agent

import "merlinpaddle/internal/model"

// Load implements rollout.Reporter.
func (agent *Agent) Load() *model.TargetLoad {
	current := agent.instance.Load()
	if current == nil {
		return nil
	}
	load := agent.loadOf(current)
	load.Flows = uint32(current.ownedFlows.Len())
	return &load
}

// loadOf returns the load of an instance without its number of flows.
func (agent *Agent) loadOf(current *instance) model.TargetLoad {
	load := current.gate.Load()
	return model.TargetLoad{
		Target:      current.target,
		Incarnation: agent.incarnation,
		Running:     uint32(load.Running),
		Waiting:     uint32(load.Waiting),
		Feeds:       uint32(load.Feeds),
		Slots:       uint32(load.Slots),
		Cold:        load.Cold,
		Healthy:     load.Healthy,
	}
}

// EmptyBuckets implements rollout.Reporter.
func (agent *Agent) EmptyBuckets(at model.Revision) []model.BucketEmpty {
	current := agent.instance.Load()
	if current == nil {
		return nil
	}
	return current.steering.Empty(at)
}
