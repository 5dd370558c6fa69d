package egress

import "time"

const (
	// datagramOverhead is the size of the IP and UDP heads, in bytes.
	datagramOverhead = 28
	// burstTime is how far sending may run ahead of the link.
	burstTime = 4 * time.Millisecond
)

// pacer tells when the next datagram may be sent, so that no more is under way
// than the link carries: the generic cell rate algorithm (ITU-T I.371) with the
// time of a burst as its tolerance. The zero value does not pace.
type pacer struct {
	// bytesPerSecond is the link's rate; zero means that it has no bound.
	bytesPerSecond float64
	// clearAt is when the link has carried all that was sent.
	clearAt time.Time
}

// wait returns how long the next datagram has to wait at now.
func (pacer *pacer) wait(now time.Time) time.Duration {
	if pacer.bytesPerSecond == 0 {
		return 0
	}
	return max(pacer.clearAt.Add(-burstTime).Sub(now), 0)
}

// sent records that a datagram of size bytes was sent at now.
func (pacer *pacer) sent(now time.Time, size int) {
	if pacer.bytesPerSecond == 0 {
		return
	}
	if pacer.clearAt.Before(now) {
		pacer.clearAt = now
	}
	seconds := float64(size+datagramOverhead) / pacer.bytesPerSecond
	pacer.clearAt = pacer.clearAt.Add(time.Duration(seconds * float64(time.Second)))
}
