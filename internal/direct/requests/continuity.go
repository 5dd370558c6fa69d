package requests

import (
	"time"

	"merlinpaddle/internal/direct/steer"
)

const (
	// maxSampledFlows bounds the flows of one shard whose data is checked for gaps.
	maxSampledFlows = 32
	// sampleIdleTimeout is how long an idle flow stays in the sample.
	sampleIdleTimeout = 5 * time.Second
)

// sample is a flow whose data is checked for gaps. If a balancer receives all packets of a flow,
// the sequence numbers of its data have no gaps except for lost packets.
type sample struct {
	// nextSequence is the sequence number that follows the highest data seen.
	nextSequence uint32
	seenAt       time.Time
}

// checkSequence records a packet of an open flow in the sample. checked reports whether the packet
// has data that could be compared with earlier packets, and contiguous whether there is no gap
// between them.
func (shard *shard) checkSequence(key flowKey, segment steer.Segment, now time.Time) (contiguous, checked bool) {
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

// removeIdleSamples removes idle flows from the sample.
func (shard *shard) removeIdleSamples(now time.Time) {
	for key, known := range shard.samples {
		if now.Sub(known.seenAt) >= sampleIdleTimeout {
			delete(shard.samples, key)
		}
	}
}

// maxGapShare is the largest share of data packets after a gap with which a balancer still counts
// as receiving its flows completely.
const maxGapShare = 0.2

// Continuity estimates whether a balancer receives all packets of its flows. If routers spray the
// packets of one flow over several balancers, one balancer sees the request and another the
// acknowledgement of its answer, so what each observes of a request is unreliable. The zero value
// assumes that flows are received completely. It is safe for concurrent use.
type Continuity struct {
	gaps Share
}

// Note records whether a data packet was contiguous with the earlier data of its flow.
func (continuity *Continuity) Note(contiguous bool) { continuity.gaps.Note(!contiguous) }

// Complete reports whether the balancer receives its flows completely.
func (continuity *Continuity) Complete() bool { return continuity.gaps.Value() <= maxGapShare }

// Gaps returns the share of data packets that came after a gap, and the number of samples.
func (continuity *Continuity) Gaps() (share float64, samples int) {
	return continuity.gaps.Value(), continuity.gaps.Samples()
}
