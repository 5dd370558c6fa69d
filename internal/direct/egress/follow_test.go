package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// told is a follower that notes the numbers of datagrams, and the times since the start.
type told struct {
	waits, left     []uint32
	waitsAt, leftAt []time.Duration
}

// Waits implements Follower.
func (told *told) Queued(datagram *Datagram, now time.Time) {
	told.waits = append(told.waits, datagram.Sequence)
	told.waitsAt = append(told.waitsAt, now.Sub(start))
}

// Left implements Follower.
func (told *told) Dequeued(datagram *Datagram, now time.Time) {
	told.left = append(told.left, datagram.Sequence)
	told.leftAt = append(told.leftAt, now.Sub(start))
}

func followed(port int, number uint32) Datagram {
	datagram := data(port, number, largest)
	datagram.Tracked = true
	return datagram
}

// TestWaitingAndLeavingAreTold: whoever counts a request at its target has to know whether its
// packet waits and when it left, also when a repetition took the packet's place. What is
// written at once did not wait, and what never leaves is never told to have left.
func TestWaitingAndLeavingAreTold(t *testing.T) {
	link := &link{bytesPerSecond: narrow, queue: time.Second, now: start}
	egress, told := New(linkOf(narrow), link.write), &told{}
	egress.ObserveQueue(told)
	for number := range uint32(2) {
		egress.Send(followed(1, number+1), link.now)
	}
	require.Empty(t, told.waits, "a burst is written at once")
	egress.Send(followed(1, 3), link.now)
	egress.Send(followed(1, 4), link.now)
	egress.Send(data(1, 5, largest), link.now)
	egress.Send(data(1, 4, largest), link.now)
	require.Equal(t, []uint32{3, 4}, told.waits)
	require.Equal(t, []time.Duration{0, 0}, told.waitsAt)
	require.Empty(t, told.left)
	drain(egress, link)
	seconds := float64(largest+datagramOverhead) / narrow
	spacing := time.Duration(seconds * float64(time.Second))
	require.Equal(t, []uint32{3, 4}, told.left, "a repetition that nobody asked for takes the place of one that is followed")
	require.Equal(t, told.leftAt[0]+spacing, told.leftAt[1], "each when it leaves")
	require.Equal(t, uint64(1), egress.Counts().Repeated)
}

func TestWhatNeverLeavesIsNotToldToHaveLeft(t *testing.T) {
	egress, told := New(linkOf(1), func([]byte, netip.AddrPort) {}), &told{}
	egress.ObserveQueue(told)
	for number := range uint32(1000) {
		egress.Send(followed(1, number), start)
	}
	require.NotZero(t, egress.Counts().Refused)
	require.Len(t, told.waits, 999, "what finds the queue full has not reached its target either")
	require.Empty(t, told.left)
}
