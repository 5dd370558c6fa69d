package flow

import (
	"time"

	"merlinpaddle/internal/model"
)

// Assign records that the opening packet of a flow was assigned to target by a decision of revision
// decided, so that copies of the packet are sent to the same target. It returns the recorded target,
// which is another one when the flow was assigned before. It returns false when the flow is open
// here, when there are MaximumFlows assignments already, or when the bucket's fence is newer than
// the decision.
func (owned *OwnedFlows) Assign(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple, target model.TargetID, decided model.Revision,
) (model.TargetID, bool) {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, isOpen := shard.flows[flow]; isOpen {
		return 0, false
	}
	existing, exists := shard.assignments[flow]
	if exists {
		return existing.target, true
	}
	state := shard.bucket(bucket)
	if decided < state.fence.Revision {
		return 0, false
	}
	if owned.assignments.Add(1) > int64(owned.options.MaximumFlows) {
		owned.assignments.Add(-1)
		return 0, false
	}
	state.assignments++
	shard.assignments[flow] = assignment{bucket: bucket, target: target, lastSeen: sinceEpoch(now)}
	return target, true
}

// Assignment is the target to which the opening packet of a flow was assigned.
type Assignment struct {
	Target model.TargetID
	// Idle is the time since the assignment was made or last looked up.
	Idle time.Duration
}

// LookupAssignment returns the assignment of a flow and whether there is one, and restarts its
// lifetime.
func (owned *OwnedFlows) LookupAssignment(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple,
) (Assignment, bool) {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	existing, exists := shard.assignments[flow]
	if !exists {
		return Assignment{}, false
	}
	idle := sinceEpoch(now) - existing.lastSeen
	existing.lastSeen = sinceEpoch(now)
	shard.assignments[flow] = existing
	return Assignment{Target: existing.target, Idle: idle}, true
}

// RemoveAssignment removes the assignment of a flow to target. An assignment of the flow to another
// target stays.
func (owned *OwnedFlows) RemoveAssignment(bucket model.BucketIndex, flow model.FiveTuple, target model.TargetID) {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if existing, exists := shard.assignments[flow]; exists && existing.target == target {
		owned.removeAssignment(shard, flow)
	}
}

// removeAssignment removes the assignment of a flow, if any. The caller holds the shard's lock.
func (owned *OwnedFlows) removeAssignment(shard *flowShard, flow model.FiveTuple) {
	existing, exists := shard.assignments[flow]
	if !exists {
		return
	}
	delete(shard.assignments, flow)
	owned.assignments.Add(-1)
	state := shard.bucket(existing.bucket)
	state.assignments--
	shard.removeBucketIfUnused(existing.bucket, state)
}
