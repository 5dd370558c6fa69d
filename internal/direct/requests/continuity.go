package requests

import (
	"time"

	"merlinpaddle/internal/direct/steer"
)

const (
	// sampledFlows bounds the flows of one shard whose data is checked for gaps.
	maxSampledFlows = 32
	// sampledFor is how long a flow that rests stays in the sample.
	sampleIdleTimeout = 5 * time.Second
)

// sample is a flow whose data is checked for gaps: where a balancer gets all
// packets of a flow, the numbers of its data have none, but for lost packets.
type sample struct {
	// next is the number that follows the highest data seen.
	nextSequence uint32
	seenAt       time.Time
}

// check takes a packet of an open flow into the sample. It returns whether the
// packet follows the one before, and whether that can be told.
func (shard *shard) checkSequence(key flowKey, segment steer.Segment, now time.Time) (whole, told bool) {
	known, sampled := shard.samples[key]
	if segment.Closing || segment.Abort {
		delete(shard.samples, key)
		return false, false
	}
	if !sampled && len(shard.samples) >= maxSampledFlows {
		return false, false
	}
	end := segment.Sequence + segment.Length
	ahead := int32(segment.Sequence-known.nextSequence) > 0
	if !sampled || int32(end-known.nextSequence) > 0 {
		known.nextSequence = end
	}
	known.seenAt = now
	shard.samples[key] = known
	return !ahead, sampled && segment.HasData
}

// dropRested takes flows that rest out of the sample.
func (shard *shard) removeIdleSamples(now time.Time) {
	for key, known := range shard.samples {
		if now.Sub(known.seenAt) >= sampleIdleTimeout {
			delete(shard.samples, key)
		}
	}
}

// gapsMost is the largest share of data behind a gap with which flows count as
// whole.
const maxGapShare = 0.2

// Continuity tells whether a balancer gets all packets of its flows. Where
// routers spray the packets of one flow over balancers, one sees the request and
// another one the acknowledgement of its answer, and what each sees of a request
// says little. The zero value takes flows for whole. It is safe for many
// goroutines.
type Continuity struct {
	gaps Share
}

// Note takes in whether data followed what was seen of its flow before.
func (continuity *Continuity) Note(whole bool) { continuity.gaps.Note(!whole) }

// Whole tells whether flows come whole.
func (continuity *Continuity) Complete() bool { return continuity.gaps.Value() <= maxGapShare }

// Gaps returns the share of data that came behind a gap, and how many cases it is of.
func (continuity *Continuity) Gaps() (share float64, cases int) {
	return continuity.gaps.Value(), continuity.gaps.Samples()
}
