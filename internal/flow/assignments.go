package flow

import (
	"time"

	"merlinpaddle/internal/model"
)

// Assign remembers that the opening packet of a flow was given to target, so
// that a copy of the packet goes the same way. It returns the target that is
// remembered, which is another one when the flow was assigned before, and
// false when there is no room or the bucket's fence is newer than the decision.
func (owners *OwnedFlows) Assign(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple, target model.TargetID, decided model.Revision,
) (model.TargetID, bool) {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, owned := shard.flows[flow]; owned {
		return 0, false
	}
	made, exists := shard.assignments[flow]
	if exists {
		return made.target, true
	}
	state := shard.bucket(bucket)
	if decided < state.fence.Revision {
		return 0, false
	}
	if owners.assignments.Add(1) > int64(owners.options.MaximumFlows) {
		owners.assignments.Add(-1)
		return 0, false
	}
	state.assignments++
	shard.assignments[flow] = assignment{bucket: bucket, target: target, lastSeen: sinceEpoch(now)}
	return target, true
}

// Assignment is the choice that was made for the opening packet of a flow.
type Assignment struct {
	Target model.TargetID
	// Idle is the time since a packet of the flow was last given to Target.
	Idle time.Duration
}

// LookupAssignment returns what a flow was assigned to, and keeps the assignment for
// another lifetime.
func (owners *OwnedFlows) LookupAssignment(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple,
) (Assignment, bool) {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	made, exists := shard.assignments[flow]
	if !exists {
		return Assignment{}, false
	}
	idle := sinceEpoch(now) - made.lastSeen
	made.lastSeen = sinceEpoch(now)
	shard.assignments[flow] = made
	return Assignment{Target: made.target, Idle: idle}, true
}

// RemoveAssignment forgets that a flow was assigned to target. An assignment to another
// target stays.
func (owners *OwnedFlows) RemoveAssignment(bucket model.BucketIndex, flow model.FiveTuple, target model.TargetID) {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if made, exists := shard.assignments[flow]; exists && made.target == target {
		owners.forget(shard, flow)
	}
}

// forget removes an assignment. The shard is locked.
func (owners *OwnedFlows) forget(shard *ownerShard, flow model.FiveTuple) {
	made, exists := shard.assignments[flow]
	if !exists {
		return
	}
	delete(shard.assignments, flow)
	owners.assignments.Add(-1)
	state := shard.bucket(made.bucket)
	state.assignments--
	shard.release(made.bucket, state)
}
