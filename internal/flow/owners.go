package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/model"
)

// flowShards is the number of shards, each under its own lock. A bucket lies in one shard, so that
// opening a flow, fencing a bucket and reporting it empty exclude each other.
const flowShards = 64

// Defaults of OwnedFlowsOptions.
const (
	DefaultMaximumFlows       = 65536
	DefaultIdleTimeout        = time.Minute
	DefaultAssignmentLifetime = 2 * time.Minute
)

// OwnedFlowsOptions configures OwnedFlows.
type OwnedFlowsOptions struct {
	// Service and Target are the service and the target to which the flows belong.
	Service model.ServiceID
	Target  model.TargetID
	// MaximumFlows is the maximum number of open flows, and separately of assignments. More are
	// refused; an open flow is never evicted.
	MaximumFlows int
	// IdleTimeout is the time without packets after which Expire ends a flow.
	IdleTimeout time.Duration
	// AssignmentLifetime is how long an assignment is kept after its last lookup. It must be longer
	// than the time during which a caller retransmits an opening packet.
	AssignmentLifetime time.Duration
}

func (options OwnedFlowsOptions) withDefaults() OwnedFlowsOptions {
	if options.MaximumFlows <= 0 {
		options.MaximumFlows = DefaultMaximumFlows
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.AssignmentLifetime <= 0 {
		options.AssignmentLifetime = DefaultAssignmentLifetime
	}
	return options
}

// OwnedFlows has the flows that one target owns, and its assignments: the flows whose opening packet
// it assigned to another target. Its methods may be called concurrently.
//
// Invariants:
//
//   - A flow is opened only by a decision of a revision at or after the fence
//     of its bucket. The fence is raised when another target searches for the
//     owner of a flow at a newer revision, and when the bucket is reported
//     empty. So a decision made before either event cannot open a flow after
//     it.
//   - A bucket is reported empty only while it has neither flows nor
//     assignments.
//   - An open flow ends only by Close or by its idle timeout.
type OwnedFlows struct {
	options     OwnedFlowsOptions
	flows       atomic.Int64
	assignments atomic.Int64
	shards      [flowShards]flowShard
}

type flowShard struct {
	lock        sync.Mutex
	flows       map[model.FiveTuple]ownedFlow
	assignments map[model.FiveTuple]assignment
	buckets     map[model.BucketIndex]*bucketState
}

type ownedFlow struct {
	bucket model.BucketIndex
	// lastSeen is the time of the latest packet, as a duration since epoch.
	lastSeen time.Duration
}

type assignment struct {
	bucket model.BucketIndex
	target model.TargetID
	// lastSeen is the time of the latest lookup, or of the assignment, as a duration since epoch.
	lastSeen time.Duration
}

// bucketState has the number of flows and assignments of one bucket, and its fence.
type bucketState struct {
	flows       int
	assignments int
	fence       Fence
}

// Fence keeps decisions that are older than Revision from opening flows of a bucket. Its zero value
// admits all decisions.
type Fence struct {
	// Revision is the lowest revision of a decision that may open a flow.
	Revision model.Revision
	// Chain is the chain of the bucket at Revision as another target sent it, or nil when the fence
	// comes from the target's own report of an empty bucket.
	Chain []model.TargetID
}

// OpenResult is the outcome of opening a flow.
type OpenResult uint8

// The outcomes of opening a flow.
const (
	// OpenNew means that the flow was opened.
	OpenNew OpenResult = iota + 1
	// OpenExisting means that the target owned the flow already.
	OpenExisting
	// OpenFenced means that the decision is older than the bucket's fence and must be made again.
	OpenFenced
	// OpenFull means that the target has MaximumFlows open flows.
	OpenFull
)

// NewOwnedFlows returns an empty set of flows.
func NewOwnedFlows(options OwnedFlowsOptions) *OwnedFlows {
	owned := &OwnedFlows{options: options.withDefaults()}
	for index := range owned.shards {
		shard := &owned.shards[index]
		shard.flows = make(map[model.FiveTuple]ownedFlow)
		shard.assignments = make(map[model.FiveTuple]assignment)
		shard.buckets = make(map[model.BucketIndex]*bucketState)
	}
	return owned
}

func (owned *OwnedFlows) shard(bucket model.BucketIndex) *flowShard {
	return &owned.shards[bucket%flowShards]
}

// bucket returns the state of a bucket and creates it if needed. The caller holds the shard's lock.
func (shard *flowShard) bucket(index model.BucketIndex) *bucketState {
	bucket, known := shard.buckets[index]
	if !known {
		bucket = &bucketState{}
		shard.buckets[index] = bucket
	}
	return bucket
}

// epoch is the origin of the stored times: a duration since epoch takes less memory than a time.Time.
var epoch = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

func sinceEpoch(now time.Time) time.Duration { return now.Sub(epoch) }

// Len returns the number of open flows.
func (owned *OwnedFlows) Len() int { return int(owned.flows.Load()) }

// AssignmentCount returns the number of assignments.
func (owned *OwnedFlows) AssignmentCount() int { return int(owned.assignments.Load()) }

// BucketLen returns the number of open flows of a bucket.
func (owned *OwnedFlows) BucketLen(bucket model.BucketIndex) int {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if known := shard.buckets[bucket]; known != nil {
		return known.flows
	}
	return 0
}

// Touch reports whether the target owns the flow, and restarts its idle timeout.
func (owned *OwnedFlows) Touch(now time.Time, bucket model.BucketIndex, flow model.FiveTuple) bool {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	entry, exists := shard.flows[flow]
	if !exists {
		return false
	}
	entry.lastSeen = sinceEpoch(now)
	shard.flows[flow] = entry
	return true
}

// Open opens a flow by a decision of revision decided, and removes its assignment, if any.
func (owned *OwnedFlows) Open(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple, decided model.Revision,
) OpenResult {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, exists := shard.flows[flow]; exists {
		return OpenExisting
	}
	state := shard.bucket(bucket)
	if decided < state.fence.Revision {
		return OpenFenced
	}
	if owned.flows.Add(1) > int64(owned.options.MaximumFlows) {
		owned.flows.Add(-1)
		return OpenFull
	}
	state.flows++
	shard.flows[flow] = ownedFlow{bucket: bucket, lastSeen: sinceEpoch(now)}
	// The flow must be counted first: removing the last entry of a bucket discards its state.
	owned.removeAssignment(shard, flow)
	return OpenNew
}

// Close ends a flow and reports whether it was open.
func (owned *OwnedFlows) Close(bucket model.BucketIndex, flow model.FiveTuple) bool {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	return owned.close(shard, flow)
}

// close is Close for a caller that holds the shard's lock.
func (owned *OwnedFlows) close(shard *flowShard, flow model.FiveTuple) bool {
	entry, exists := shard.flows[flow]
	if !exists {
		return false
	}
	delete(shard.flows, flow)
	owned.flows.Add(-1)
	state := shard.bucket(entry.bucket)
	state.flows--
	shard.removeBucketIfUnused(entry.bucket, state)
	return true
}

// removeBucketIfUnused discards the state of a bucket without flows, assignments and fence.
func (shard *flowShard) removeBucketIfUnused(index model.BucketIndex, state *bucketState) {
	if state.flows == 0 && state.assignments == 0 && state.fence.Revision == 0 {
		delete(shard.buckets, index)
	}
}

// Fence returns the fence of the bucket.
func (owned *OwnedFlows) Fence(bucket model.BucketIndex) Fence {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if state := shard.buckets[bucket]; state != nil {
		return state.fence
	}
	return Fence{}
}

// RaiseFence keeps decisions older than revision from opening flows of the bucket, and stores the
// chain of that revision. It has no effect when the fence is at revision or later already.
func (owned *OwnedFlows) RaiseFence(bucket model.BucketIndex, revision model.Revision, chain []model.TargetID) {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	state := shard.bucket(bucket)
	if revision > state.fence.Revision {
		state.fence = Fence{Revision: revision, Chain: append([]model.TargetID(nil), chain...)}
	}
}

// FenceEmpty returns a report for each bucket among candidates that has neither flows nor
// assignments, as of the applied revision at. It fences each of these buckets at that revision.
func (owned *OwnedFlows) FenceEmpty(at model.Revision, candidates []model.BucketIndex) []model.BucketEmpty {
	var empty []model.BucketEmpty
	for _, bucket := range candidates {
		if !owned.fenceIfEmpty(bucket, at) {
			continue
		}
		empty = append(empty, model.BucketEmpty{
			Service: owned.options.Service,
			Target:  owned.options.Target,
			Bucket:  bucket,
			At:      at,
		})
	}
	return empty
}

// fenceIfEmpty fences the bucket at revision at if it has neither flows nor assignments, and reports
// whether that is so.
func (owned *OwnedFlows) fenceIfEmpty(bucket model.BucketIndex, at model.Revision) bool {
	shard := owned.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	state := shard.bucket(bucket)
	if state.flows > 0 || state.assignments > 0 {
		return false
	}
	if at > state.fence.Revision {
		state.fence = Fence{Revision: at}
	}
	return true
}

// Expire ends the flows that were idle for IdleTimeout and returns them, and removes the assignments
// that were not looked up for AssignmentLifetime.
func (owned *OwnedFlows) Expire(now time.Time) []model.FiveTuple {
	var expired []model.FiveTuple
	for index := range owned.shards {
		expired = owned.expireShard(&owned.shards[index], sinceEpoch(now), expired)
	}
	return expired
}

func (owned *OwnedFlows) expireShard(
	shard *flowShard, now time.Duration, expired []model.FiveTuple,
) []model.FiveTuple {
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for flow, entry := range shard.flows {
		if now-entry.lastSeen >= owned.options.IdleTimeout {
			owned.close(shard, flow)
			expired = append(expired, flow)
		}
	}
	for flow, existing := range shard.assignments {
		if now-existing.lastSeen >= owned.options.AssignmentLifetime {
			owned.removeAssignment(shard, flow)
		}
	}
	return expired
}
