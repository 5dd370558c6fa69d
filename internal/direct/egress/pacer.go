package egress

import "time"

// burstTime is how far sending may run ahead of the link.
const burstTolerance = 4 * time.Millisecond

// Link is what an egress sends by.
type Link struct {
	// BytesPerSecond is the rate to send at; zero means that the link has no bound.
	BytesPerSecond float64
	// DatagramOverhead is the number of bytes that the link takes for a datagram besides
	// its content: heads and framing. Where it is too small, many small datagrams pass
	// the pacer faster than the link carries them, and wait or get lost behind it, where
	// nobody decides which ones.
	DatagramOverhead int
}

// pacer tells when the next datagram may be sent, so that no more is under way
// than the link carries: the generic cell rate algorithm (ITU-T I.371) with the
// time of a burst as its tolerance. The zero value does not pace.
type pacer struct {
	link Link
	// clearAt is when the link has carried all that was sent.
	idleAt time.Time
}

// wait returns how long the next datagram has to wait at now.
func (pacer *pacer) wait(now time.Time) time.Duration {
	if pacer.link.BytesPerSecond == 0 {
		return 0
	}
	return max(pacer.idleAt.Add(-burstTolerance).Sub(now), 0)
}

// sent records that a datagram of size bytes was sent at now.
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
