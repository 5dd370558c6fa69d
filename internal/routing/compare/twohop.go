package compare

import (
	"slices"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// hop is one bucket of twoHop. Former is the head before Head, or zero. targetsChanged counts the
// bytes of hops in gob encoding, which writes the names of the type and its fields.
type hop struct {
	Bucket model.BucketIndex
	Head   model.TargetID
	Former model.TargetID
}

// twoHop is an algorithm with chains of two targets. Balancers keep no flow state. A head that does
// not own a flow forwards the packet to the bucket's previous head, which forwards nothing.
type twoHop struct {
	*hashing
	// tables has the buckets, in place of the memberships of hashing.
	tables *propagation[[]hop]
}

func newTwoHop(run *run) *twoHop {
	twoHop := &twoHop{hashing: newHashing(run)}
	first := make([]hop, max(routing.MinimumBuckets, model.BucketsPerTarget*run.options.Targets))
	twoHop.tables = newPropagation(run, twoHop.assignHeads(first, run.membership()))
	return twoHop
}

// assignHeads returns the buckets with the heads that current chooses. Where the head changes, the
// previous one becomes Former.
func (twoHop *twoHop) assignHeads(before []hop, current members) []hop {
	after := slices.Clone(before)
	for index := range after {
		bucket := &after[index]
		head := current.choose(uint64(index))
		if head == bucket.Head {
			continue
		}
		*bucket = hop{Bucket: model.BucketIndex(index), Head: head, Former: bucket.Head}
	}
	return after
}

func (twoHop *twoHop) targetsChanged() {
	before := twoHop.tables.newest
	after := twoHop.assignHeads(before, twoHop.run.membership())
	var changed []hop
	for index := range after {
		if after[index] != before[index] {
			changed = append(changed, after[index])
		}
	}
	twoHop.counter.add(twoHop.run.targetRecord())
	twoHop.counter.add(changed)
	twoHop.tables.publish(after)
}

func (twoHop *twoHop) balancerJoined(balancer *balancerNode) {
	twoHop.tables.join(balancerID(balancer))
}

func (twoHop *twoHop) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	buckets := twoHop.tables.appliedBy(balancerID(balancer))
	bucket := buckets[routing.BucketOf(flow.hash, len(buckets))]
	first := twoHop.deliver(bucket.Head, flow, opening)
	if first.verdict != verdictReset || bucket.Former == 0 {
		return first
	}
	second := twoHop.deliver(bucket.Former, flow, false)
	second.passes = 1
	return second
}

// hopBytes is the memory of a bucket in a table, in bytes: two target IDs.
const hopBytes = 8

func (twoHop *twoHop) state() StateBytes {
	state := twoHop.hashing.state()
	state.Table += float64(len(twoHop.tables.newest)) * hopBytes
	return state
}
