package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// told is a follower that notes the numbers of datagrams, and the times since the start.
type queueRecorder struct {
	queued, dequeued     []uint32
	queuedAt, dequeuedAt []time.Duration
}

// Waits implements Follower.
func (told *queueRecorder) Queued(datagram *Datagram, now time.Time) {
	told.queued = append(told.queued, datagram.Sequence)
	told.queuedAt = append(told.queuedAt, now.Sub(start))
}

// Left implements Follower.
func (told *queueRecorder) Dequeued(datagram *Datagram, now time.Time) {
	told.dequeued = append(told.dequeued, datagram.Sequence)
	told.dequeuedAt = append(told.dequeuedAt, now.Sub(start))
}

func trackedData(port int, number uint32) Datagram {
	datagram := data(port, number, largest)
	datagram.Tracked = true
	return datagram
}

// TestWaitingAndLeavingAreTold: whoever counts a request at its target has to know whether its
// packet waits and when it left, also when a repetition took the packet's place. What is
// written at once did not wait, and what never leaves is never told to have left.
func TestWaitingAndLeavingAreTold(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, queue: time.Second, now: start}
	egress, told := New(linkOf(narrowRate), link.write), &queueRecorder{}
	egress.ObserveQueue(told)
	for number := range uint32(2) {
		egress.Send(trackedData(1, number+1), link.now)
	}
	require.Empty(t, told.queued, "a burst is written at once")
	egress.Send(trackedData(1, 3), link.now)
	egress.Send(trackedData(1, 4), link.now)
	egress.Send(data(1, 5, largest), link.now)
	egress.Send(data(1, 4, largest), link.now)
	require.Equal(t, []uint32{3, 4}, told.queued)
	require.Equal(t, []time.Duration{0, 0}, told.queuedAt)
	require.Empty(t, told.dequeued)
	drain(egress, link)
	seconds := float64(largest+datagramOverhead) / narrowRate
	spacing := time.Duration(seconds * float64(time.Second))
	require.Equal(t, []uint32{3, 4}, told.dequeued, "a repetition that nobody asked for takes the place of one that is followed")
	require.Equal(t, told.dequeuedAt[0]+spacing, told.dequeuedAt[1], "each when it leaves")
	require.Equal(t, uint64(1), egress.Counts().Repeated)
}

func TestWhatNeverLeavesIsNotToldToHaveLeft(t *testing.T) {
	egress, told := New(linkOf(1), func([]byte, netip.AddrPort) {}), &queueRecorder{}
	egress.ObserveQueue(told)
	for number := range uint32(1000) {
		egress.Send(trackedData(1, number), start)
	}
	require.NotZero(t, egress.Counts().Refused)
	require.Len(t, told.queued, 999, "what finds the queue full has not reached its target either")
	require.Empty(t, told.dequeued)
}
