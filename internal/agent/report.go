package agent

import "merlinpaddle/internal/model"

// Load implements rollout.Reporter.
func (agent *Agent) Load() *model.TargetLoad {
	running := agent.running.Load()
	if running == nil {
		return nil
	}
	load := agent.loadOf(running)
	load.Flows = uint32(running.owners.Len())
	return &load
}

// loadOf returns the load of an instance without its flows.
func (agent *Agent) loadOf(running *instance) model.TargetLoad {
	load := running.gate.Load()
	return model.TargetLoad{
		Target:      running.target,
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
	running := agent.running.Load()
	if running == nil {
		return nil
	}
	return running.steer.Empty(at)
}
