package egress

import "time"

// burstTolerance is how far sending may run ahead of the link.
const burstTolerance = 4 * time.Millisecond

// Link describes the link that an egress sends over.
type Link struct {
	// BytesPerSecond is the rate to send at; zero means that the link is not limited.
	BytesPerSecond float64
	// DatagramOverhead is the number of bytes that each datagram takes on the link besides its
	// content: headers and framing. If it is too small, many small datagrams pass the pacer faster
	// than the link transmits them, and wait or are lost behind the pacer, regardless of priority.
	DatagramOverhead int
}

// pacer limits the rate of datagrams to that of the link, by the generic cell rate algorithm (ITU-T
// I.371) with burstTolerance as its tolerance. The zero value does not limit.
type pacer struct {
	link Link
	// idleAt is when the link has transmitted everything that was sent.
	idleAt time.Time
}

// wait returns how long the next datagram has to wait, counted from now.
func (pacer *pacer) wait(now time.Time) time.Duration {
	if pacer.link.BytesPerSecond == 0 {
		return 0
	}
	return max(pacer.idleAt.Add(-burstTolerance).Sub(now), 0)
}

// sent records that a datagram with size bytes of content was sent at now.
func (pacer *pacer) sent(now time.Time, size int) {
	if pacer.link.BytesPerSecond == 0 {
		return
	}
	if pacer.idleAt.Before(now) {
		pacer.idleAt = now
	}
	seconds := float64(size+pacer.link.DatagramOverhead) / pacer.link.BytesPerSecond
	pacer.idleAt = pacer.idleAt.Add(time.Duration(seconds * float64(time.Second)))
}
