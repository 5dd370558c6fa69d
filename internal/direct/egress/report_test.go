package egress

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingIsReported: whoever counts a request at its target has to know when its packet
// left, also when a repetition took the packet's place; what never leaves is never reported.
func TestLeavingIsReported(t *testing.T) {
	link := &link{bytesPerSecond: narrow, queue: time.Second, now: start}
	egress := New(linkOf(narrow), link.write)
	var reported []uint32
	egress.Report(func(datagram *Datagram, now time.Time) {
		require.Equal(t, link.now, now)
		reported = append(reported, datagram.Sequence)
	})
	require.False(t, egress.Waits(link.now))
	egress.Send(data(1, 1, largest), link.now)
	egress.Send(data(1, 2, largest), link.now)
	require.True(t, egress.Waits(link.now))
	for _, number := range []uint32{3, 4} {
		known := data(1, number, largest)
		known.Reported = true
		egress.Send(known, link.now)
	}
	egress.Send(data(1, 5, largest), link.now)
	egress.Send(data(1, 4, largest), link.now)
	require.Empty(t, reported)
	drain(egress, link)
	require.Equal(t, []uint32{3, 4}, reported)
	require.Equal(t, uint64(1), egress.Counts().Repeated)

	full := New(linkOf(1), func([]byte, netip.AddrPort) {})
	full.Report(func(*Datagram, time.Time) { t.Fatal("nothing leaves") })
	for number := range uint32(1000) {
		kept := data(1, number, largest)
		kept.Reported = number > 0
		full.Send(kept, start)
	}
	require.NotZero(t, full.Counts().Refused)
}
