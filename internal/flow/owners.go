package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/model"
)

// ownerShards is the number of shards, each under its own lock. A bucket lies
// in one shard, so that opening a flow, fencing a bucket and reporting it
// empty exclude each other.
const ownerShards = 64

// Defaults of OwnedFlowsOptions.
const (
	DefaultMaximumFlows       = 65536
	DefaultIdleTimeout        = time.Minute
	DefaultAssignmentLifetime = 2 * time.Minute
)

// OwnedFlowsOptions configures OwnedFlows.
type OwnedFlowsOptions struct {
	// Service and Target are what the flows belong to.
	Service model.ServiceID
	Target  model.TargetID
	// MaximumFlows bounds the open flows, and separately the assignments. A
	// flow above it is refused; an open flow is never evicted.
	MaximumFlows int
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
	// AssignmentLifetime is how long an assignment is remembered after its
	// last use. It must be longer than a caller repeats an opening packet.
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

// OwnedFlows has the flows that one target owns, and the assignments it made: the
// flows whose opening packet it gave to another target.
//
// Invariants:
//
//   - A flow is opened only by a decision of a revision at or after the fence
//     of its bucket. The fence rises when another target asked, at a newer
//     revision, whether this target owns a flow, and when the bucket was
//     reported empty. So a decision made before either cannot open a flow
//     after it.
//   - A bucket is reported empty only while it has neither flows nor
//     assignments.
//   - An open flow ends only by Close or by its idle time.
type OwnedFlows struct {
	options     OwnedFlowsOptions
	flows       atomic.Int64
	assignments atomic.Int64
	shards      [ownerShards]ownerShard
}

type ownerShard struct {
	lock        sync.Mutex
	flows       map[model.FiveTuple]ownedFlow
	assignments map[model.FiveTuple]assignment
	buckets     map[model.BucketIndex]*ownedBucket
}

type ownedFlow struct {
	bucket   model.BucketIndex
	lastSeen time.Duration
}

type assignment struct {
	bucket   model.BucketIndex
	target   model.TargetID
	lastSeen time.Duration
}

// ownedBucket is what a target knows of one bucket.
type ownedBucket struct {
	flows       int
	assignments int
	fence       Fence
}

// Fence is the newest row of a bucket that a target knows from others.
type Fence struct {
	// Revision is the lowest revision at which a flow may be opened.
	Revision model.Revision
	// Chain is the chain of the bucket at Revision, or nil when the fence
	// comes from the target's own report of an empty bucket.
	Chain []model.TargetID
}

// OpenResult is the outcome of opening a flow.
type OpenResult uint8

// The outcomes of opening a flow.
const (
	// OpenNew tells that the flow is open now.
	OpenNew OpenResult = iota + 1
	// OpenExisting tells that the target owned the flow already.
	OpenExisting
	// OpenFenced tells that the decision is older than the bucket's fence and
	// has to be made again.
	OpenFenced
	// OpenFull tells that the target has as many flows as it may have.
	OpenFull
)

// NewOwnedFlows returns an empty set of flows.
func NewOwnedFlows(options OwnedFlowsOptions) *OwnedFlows {
	owners := &OwnedFlows{options: options.withDefaults()}
	for index := range owners.shards {
		shard := &owners.shards[index]
		shard.flows = make(map[model.FiveTuple]ownedFlow)
		shard.assignments = make(map[model.FiveTuple]assignment)
		shard.buckets = make(map[model.BucketIndex]*ownedBucket)
	}
	return owners
}

func (owners *OwnedFlows) shard(bucket model.BucketIndex) *ownerShard {
	return &owners.shards[bucket%ownerShards]
}

func (shard *ownerShard) bucket(index model.BucketIndex) *ownedBucket {
	bucket, known := shard.buckets[index]
	if !known {
		bucket = &ownedBucket{}
		shard.buckets[index] = bucket
	}
	return bucket
}

// epoch is the origin of the stored times, which keeps an entry small.
var epoch = time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC)

func sinceEpoch(now time.Time) time.Duration { return now.Sub(epoch) }

// Len returns the number of open flows.
func (owners *OwnedFlows) Len() int { return int(owners.flows.Load()) }

// AssignmentCount returns the number of remembered assignments.
func (owners *OwnedFlows) AssignmentCount() int { return int(owners.assignments.Load()) }

// BucketLen returns the number of open flows of a bucket.
func (owners *OwnedFlows) BucketLen(bucket model.BucketIndex) int {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if known := shard.buckets[bucket]; known != nil {
		return known.flows
	}
	return 0
}

// Touch tells whether the target owns the flow, and restarts its idle time.
func (owners *OwnedFlows) Touch(now time.Time, bucket model.BucketIndex, flow model.FiveTuple) bool {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	owned, exists := shard.flows[flow]
	if !exists {
		return false
	}
	owned.lastSeen = sinceEpoch(now)
	shard.flows[flow] = owned
	return true
}

// Open opens a flow by a decision of revision decided.
func (owners *OwnedFlows) Open(
	now time.Time, bucket model.BucketIndex, flow model.FiveTuple, decided model.Revision,
) OpenResult {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, exists := shard.flows[flow]; exists {
		return OpenExisting
	}
	state := shard.bucket(bucket)
	if decided < state.fence.Revision {
		return OpenFenced
	}
	if owners.flows.Add(1) > int64(owners.options.MaximumFlows) {
		owners.flows.Add(-1)
		return OpenFull
	}
	state.flows++
	shard.flows[flow] = ownedFlow{bucket: bucket, lastSeen: sinceEpoch(now)}
	// Only now: forgetting the last entry of a bucket drops its counts.
	owners.forget(shard, flow)
	return OpenNew
}

// Close ends a flow and tells whether it was open.
func (owners *OwnedFlows) Close(bucket model.BucketIndex, flow model.FiveTuple) bool {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	return owners.close(shard, flow)
}

func (owners *OwnedFlows) close(shard *ownerShard, flow model.FiveTuple) bool {
	owned, exists := shard.flows[flow]
	if !exists {
		return false
	}
	delete(shard.flows, flow)
	owners.flows.Add(-1)
	state := shard.bucket(owned.bucket)
	state.flows--
	shard.release(owned.bucket, state)
	return true
}

// release forgets a bucket that has no flows, no assignments and no fence.
func (shard *ownerShard) release(index model.BucketIndex, state *ownedBucket) {
	if state.flows == 0 && state.assignments == 0 && state.fence.Revision == 0 {
		delete(shard.buckets, index)
	}
}

// Fence returns the newest row of the bucket that others told.
func (owners *OwnedFlows) Fence(bucket model.BucketIndex) Fence {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if state := shard.buckets[bucket]; state != nil {
		return state.fence
	}
	return Fence{}
}

// RaiseFence keeps decisions older than revision from opening flows of the
// bucket, and remembers the chain of that revision.
func (owners *OwnedFlows) RaiseFence(bucket model.BucketIndex, revision model.Revision, chain []model.TargetID) {
	shard := owners.shard(bucket)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	state := shard.bucket(bucket)
	if revision > state.fence.Revision {
		state.fence = Fence{Revision: revision, Chain: append([]model.TargetID(nil), chain...)}
	}
}

// FenceEmpty returns the buckets among candidates that have neither flows nor
// assignments, as of the applied revision at. Each reported bucket is fenced
// at that revision.
func (owners *OwnedFlows) FenceEmpty(at model.Revision, candidates []model.BucketIndex) []model.BucketEmpty {
	var empty []model.BucketEmpty
	for _, bucket := range candidates {
		if !owners.fenceIfEmpty(bucket, at) {
			continue
		}
		empty = append(empty, model.BucketEmpty{
			Service: owners.options.Service,
			Target:  owners.options.Target,
			Bucket:  bucket,
			At:      at,
		})
	}
	return empty
}

func (owners *OwnedFlows) fenceIfEmpty(bucket model.BucketIndex, at model.Revision) bool {
	shard := owners.shard(bucket)
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

// Expire ends the flows that were idle for too long and returns them, and
// forgets old assignments.
func (owners *OwnedFlows) Expire(now time.Time) []model.FiveTuple {
	var expired []model.FiveTuple
	for index := range owners.shards {
		expired = owners.expireShard(&owners.shards[index], sinceEpoch(now), expired)
	}
	return expired
}

func (owners *OwnedFlows) expireShard(
	shard *ownerShard, now time.Duration, expired []model.FiveTuple,
) []model.FiveTuple {
	shard.lock.Lock()
	defer shard.lock.Unlock()
	for flow, owned := range shard.flows {
		if now-owned.lastSeen >= owners.options.IdleTimeout {
			owners.close(shard, flow)
			expired = append(expired, flow)
		}
	}
	for flow, made := range shard.assignments {
		if now-made.lastSeen >= owners.options.AssignmentLifetime {
			owners.forget(shard, flow)
		}
	}
	return expired
}
