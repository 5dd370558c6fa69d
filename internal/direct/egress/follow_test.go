package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// queueRecorder is a QueueObserver that records the sequence numbers of datagrams, and the times since
// the start.
type queueRecorder struct {
	queued, dequeued     []uint32
	queuedAt, dequeuedAt []time.Duration
}

// Queued implements QueueObserver.
func (recorder *queueRecorder) Queued(datagram *Datagram, now time.Time) {
	recorder.queued = append(recorder.queued, datagram.Sequence)
	recorder.queuedAt = append(recorder.queuedAt, now.Sub(start))
}

// Dequeued implements QueueObserver.
func (recorder *queueRecorder) Dequeued(datagram *Datagram, now time.Time) {
	recorder.dequeued = append(recorder.dequeued, datagram.Sequence)
	recorder.dequeuedAt = append(recorder.dequeuedAt, now.Sub(start))
}

func trackedData(port int, number uint32) Datagram {
	datagram := data(port, number, fullPacketBytes)
	datagram.Tracked = true
	return datagram
}

// TestTrackedDatagramsAreReported: requests are counted at their target only while no packet of theirs is
// queued, so the observer must be notified when a tracked datagram is queued and when it is sent, also
// when a retransmission superseded it. Datagrams that are written at once are not reported.
func TestTrackedDatagramsAreReported(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, maxQueueDelay: time.Second, now: start}
	egress, recorder := New(linkOf(narrowRate), link.write), &queueRecorder{}
	egress.ObserveQueue(recorder)
	for number := range uint32(2) {
		egress.Send(trackedData(1, number+1), link.now)
	}
	require.Empty(t, recorder.queued, "a burst is written at once")
	egress.Send(trackedData(1, 3), link.now)
	egress.Send(trackedData(1, 4), link.now)
	egress.Send(data(1, 5, fullPacketBytes), link.now)
	egress.Send(data(1, 4, fullPacketBytes), link.now)
	require.Equal(t, []uint32{3, 4}, recorder.queued)
	require.Equal(t, []time.Duration{0, 0}, recorder.queuedAt)
	require.Empty(t, recorder.dequeued)
	drain(egress, link)
	seconds := float64(fullPacketBytes+datagramOverhead) / narrowRate
	spacing := time.Duration(seconds * float64(time.Second))
	require.Equal(t, []uint32{3, 4}, recorder.dequeued, "an untracked retransmission takes over the tracking of the datagram that it supersedes")
	require.Equal(t, recorder.dequeuedAt[0]+spacing, recorder.dequeuedAt[1], "each is reported when it is sent")
	require.Equal(t, uint64(1), egress.Counts().Repeated)
}

func TestDatagramsThatAreNotSentAreNotReportedAsDequeued(t *testing.T) {
	egress, recorder := New(linkOf(1), func([]byte, netip.AddrPort) {}), &queueRecorder{}
	egress.ObserveQueue(recorder)
	for number := range uint32(1000) {
		egress.Send(trackedData(1, number), start)
	}
	require.NotZero(t, egress.Counts().Refused)
	require.Len(t, recorder.queued, 999, "a datagram that is refused by a full queue has not reached its target either")
	require.Empty(t, recorder.dequeued)
}
