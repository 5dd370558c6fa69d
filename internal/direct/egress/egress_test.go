package egress

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	target = netip.MustParseAddrPort("10.0.0.1:8080")
)

// fullPacketBytes is the size of the content of a full packet.
const fullPacketBytes = 1240

func flowOf(port int) Flow {
	return Flow{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)),
		Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// data returns a datagram of the flow from the caller's port, with number as its sequence number and size
// bytes of data.
func data(port int, number uint32, size int) Datagram {
	content := make([]byte, size)
	content[0] = byte(number)
	return Datagram{Flow: flowOf(port), To: target, Sequence: number, HasData: true, Content: content}
}

// link simulates the machine's link: it drops datagrams when its queue is full.
type link struct {
	bytesPerSecond float64
	// maxQueueDelay is the transmission time of what the link's queue holds when it is full.
	maxQueueDelay time.Duration
	now           time.Time
	idleAt        time.Time
	transmitted   []int
	lost          int
}

func (link *link) write(content []byte, _ netip.AddrPort) {
	if link.idleAt.Before(link.now) {
		link.idleAt = link.now
	}
	if link.idleAt.Sub(link.now) > link.maxQueueDelay {
		link.lost++
		return
	}
	seconds := float64(len(content)+datagramOverhead) / link.bytesPerSecond
	link.idleAt = link.idleAt.Add(time.Duration(seconds * float64(time.Second)))
	link.transmitted = append(link.transmitted, len(content))
}

// datagramOverhead is the size of the IP and UDP headers, in bytes, which is all that the links of
// most tests add to a datagram.
const datagramOverhead = 28

// linkOf returns a link with a rate in bytes per second; zero means no limit.
func linkOf(rate float64) Link { return Link{BytesPerSecond: rate, DatagramOverhead: datagramOverhead} }

// narrowRate is 2.6 Mbit/s in bytes per second.
const narrowRate = 2.6e6 / 8

// drain flushes the egress at the times that it returns, until its queue is empty.
func drain(egress *Egress, link *link) {
	for wait := egress.Flush(link.now); wait > 0; wait = egress.Flush(link.now) {
		link.now = link.now.Add(wait)
	}
}

// TestBurstIsNotLostOnANarrowLink: a caller's window of 16 packets arrives at once, of which the link's
// own queue can hold a few.
func TestBurstIsNotLostOnANarrowLink(t *testing.T) {
	for _, paced := range []bool{false, true} {
		link := &link{bytesPerSecond: narrowRate, maxQueueDelay: 10 * time.Millisecond, now: start}
		rate := 0.0
		if paced {
			rate = narrowRate
		}
		egress := New(linkOf(rate), link.write)
		for number := range uint32(16) {
			egress.Send(data(1, number, fullPacketBytes), link.now)
		}
		drain(egress, link)
		if !paced {
			require.Equal(t, 13, link.lost, "without pacing the link loses most of the burst")
			continue
		}
		require.Zero(t, link.lost)
		require.Len(t, link.transmitted, 16)
		require.InDelta(t, 16*(fullPacketBytes+datagramOverhead)/narrowRate, link.now.Sub(start).Seconds(), 0.01)
		require.Equal(t, Counts{Sent: 16, Waited: 14}, egress.Counts())
	}
}

// TestSmallDatagramsDoNotExceedTheLinkRate covers callers with many short requests: three quarters of
// their datagrams are opening packets and acknowledgements of 40 bytes, which take 106 bytes on
// Ethernet. A pacer that counts 68 bytes and is set to nine tenths of the link's rate sends 1.4 times
// what the link can transmit.
func TestSmallDatagramsDoNotExceedTheLinkRate(t *testing.T) {
	const (
		small         = 40
		ethernetBytes = 66
		share         = 0.9
		seconds       = 2
	)
	wireBytes := 0
	egress := New(Link{BytesPerSecond: share * narrowRate, DatagramOverhead: settings.Default().Direct.LinkOverhead},
		func(content []byte, _ netip.AddrPort) { wireBytes += len(content) + ethernetBytes })
	for at := time.Duration(0); at < seconds*time.Second; at += 250 * time.Microsecond {
		now := start.Add(at)
		egress.Flush(now)
		egress.Send(Datagram{Flow: flowOf(int(at / (250 * time.Microsecond))), To: target, Content: make([]byte, small)}, now)
	}
	burst := narrowRate * burstTolerance.Seconds()
	require.LessOrEqual(t, float64(wireBytes), share*narrowRate*seconds+burst)
	require.GreaterOrEqual(t, float64(wireBytes), 0.99*share*narrowRate*seconds, "the link is fully used")
}

func TestShortFlowsDoNotWaitForLongOnes(t *testing.T) {
	var order []byte
	egress := New(linkOf(narrowRate), func(content []byte, _ netip.AddrPort) { order = append(order, content[0]) })
	for number := range uint32(16) {
		egress.Send(data(1, number, fullPacketBytes), start)
	}
	opening := Datagram{Flow: flowOf(2), To: target, Content: append([]byte{99}, make([]byte, 39)...)}
	egress.Send(opening, start)
	now := start
	for wait := egress.Flush(now); wait > 0; wait = egress.Flush(now) {
		now = now.Add(wait)
	}
	require.LessOrEqual(t, indexOf(order, 99), 4,
		"the opening packet follows two datagrams of the initial burst and two of the upload's first round")
}

func indexOf(order []byte, wanted byte) int {
	for index, value := range order {
		if value == wanted {
			return index
		}
	}
	return len(order)
}

// TestLongFlowsAreServedOneAfterTheOther: senders retransmit data that waits for long, so the oldest long
// flow is served first, and a younger one only while the oldest has nothing queued.
func TestLongFlowsAreServedOneAfterTheOther(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(12) {
		for port := 1; port <= 3; port++ {
			added := data(port, number, fullPacketBytes)
			require.Equal(t, admitted, queue.enqueue(&added))
		}
	}
	for port := 1; port <= 3; port++ {
		for number := range uint32(12) {
			taken := queue.dequeue(start)
			require.Equal(t, flowOf(port), taken.Flow)
			require.Equal(t, number, taken.Sequence)
		}
	}
	for _, port := range []int{3, 1} {
		added := data(port, 12, fullPacketBytes)
		require.Equal(t, admitted, queue.enqueue(&added))
	}
	require.Equal(t, flowOf(1), queue.dequeue(start).Flow, "the oldest flow keeps its position while it has nothing queued")
	require.Equal(t, flowOf(3), queue.dequeue(start).Flow)
}

// TestShortFlowsShareTheLink: flows that are not long are served by round robin.
func TestShortFlowsShareTheLink(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(7) {
		for port := 1; port <= 3; port++ {
			added := data(port, number, fullPacketBytes)
			require.Equal(t, admitted, queue.enqueue(&added))
		}
	}
	counts := make(map[Flow]int)
	for range 15 {
		counts[queue.dequeue(start).Flow]++
	}
	for port := 1; port <= 3; port++ {
		require.InDelta(t, 5, counts[flowOf(port)], 1, "flow %d", port)
	}
}

// TestShortFlowsHavePriorityOverLongOnes: a short flow waits for one datagram at the most, however much
// data of long flows is queued.
func TestShortFlowsHavePriorityOverLongOnes(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(16) {
		for port := 1; port <= 5; port++ {
			added := data(port, number, fullPacketBytes)
			require.Equal(t, admitted, queue.enqueue(&added))
		}
	}
	for range 20 {
		require.NotNil(t, queue.dequeue(start))
	}
	for round := range uint32(5) {
		for number := range uint32(3) {
			added := data(9, 3*round+number, 100)
			require.Equal(t, admitted, queue.enqueue(&added))
		}
		for range 3 {
			require.Equal(t, flowOf(9), queue.dequeue(start).Flow, "round %d", round)
		}
		require.NotEqual(t, flowOf(9), queue.dequeue(start).Flow)
	}
}

// TestIdleLongFlowsAreRemoved: a flow that sends only occasionally does not count as long, and a long flow
// is removed once it has been idle for longFlowIdleTimeout.
func TestIdleLongFlowsAreRemoved(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(100) {
		added := data(1, number, 200)
		require.Equal(t, admitted, queue.enqueue(&added))
		require.NotNil(t, queue.dequeue(start))
	}
	require.Empty(t, queue.flows, "datagrams that were sent while nothing else was queued do not accumulate")
	for number := range uint32(12) {
		added := data(2, number, fullPacketBytes)
		require.Equal(t, admitted, queue.enqueue(&added))
	}
	for range 12 {
		require.NotNil(t, queue.dequeue(start))
	}
	require.Nil(t, queue.dequeue(start.Add(longFlowIdleTimeout-time.Millisecond)))
	require.Len(t, queue.flows, 1, "a long flow keeps its position")
	require.Nil(t, queue.dequeue(start.Add(longFlowIdleTimeout)))
	require.Empty(t, queue.flows)
}

func TestRetransmittedDataIsSentOnce(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, maxQueueDelay: time.Second, now: start}
	egress := New(linkOf(narrowRate), link.write)
	for number := range uint32(16) {
		egress.Send(data(1, number, fullPacketBytes), link.now)
	}
	for number := uint32(10); number < 16; number++ {
		egress.Send(data(1, number, fullPacketBytes), link.now)
	}
	otherTarget := data(1, 15, fullPacketBytes)
	otherTarget.To = netip.MustParseAddrPort("10.0.0.2:8080")
	egress.Send(otherTarget, link.now)
	drain(egress, link)
	require.Len(t, link.transmitted, 17, "six retransmissions are not sent again, data to another destination is")
	require.Equal(t, uint64(6), egress.Counts().Repeated)
}

func TestPacketsWithoutDataAreNeverRetransmissions(t *testing.T) {
	egress := New(linkOf(1), func([]byte, netip.AddrPort) {})
	acknowledgement := Datagram{Flow: flowOf(1), To: target, Sequence: 5, Content: make([]byte, 40)}
	for range 3 {
		egress.Send(acknowledgement, start)
	}
	require.Equal(t, Counts{Sent: 1, Waited: 2}, egress.Counts())
}

func TestFullQueueRefusesDatagrams(t *testing.T) {
	egress := New(linkOf(1), func([]byte, netip.AddrPort) {})
	for number := range uint32(1000) {
		egress.Send(data(1, number, fullPacketBytes), start)
	}
	counts := egress.Counts()
	require.Equal(t, uint64(1000), counts.Sent+counts.Waited+counts.Refused)
	require.Equal(t, uint64(queueLimitBytes/fullPacketBytes), counts.Waited)
}

func TestNothingIsQueuedWithoutARateLimit(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, maxQueueDelay: time.Hour, now: start}
	egress := New(linkOf(0), link.write)
	for number := range uint32(100) {
		egress.Send(data(1, number, fullPacketBytes), start)
	}
	require.Len(t, link.transmitted, 100)
	require.Zero(t, egress.Flush(start))
}

// TestQueueKeepsEachFlowsOrder: for any sequence of operations, each flow's datagrams are dequeued once
// and in order, and the byte counts return to zero.
func TestQueueKeepsEachFlowsOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4711)
	properties := gopter.NewProperties(parameters)
	properties.Property("order", prop.ForAll(func(steps []int) bool {
		queue := newFairQueue(queueLimitBytes)
		next, seen, waiting := make(map[int]uint32), make(map[Flow]uint32), 0
		for _, step := range steps {
			if step >= 5 {
				if taken := queue.dequeue(start); taken != nil {
					waiting--
					if taken.Sequence != seen[taken.Flow] {
						return false
					}
					seen[taken.Flow]++
				}
				continue
			}
			added := data(step, next[step], 40+300*step)
			next[step]++
			waiting++
			if queue.enqueue(&added) != admitted {
				return false
			}
		}
		for taken := queue.dequeue(start); taken != nil; taken = queue.dequeue(start) {
			waiting--
			if taken.Sequence != seen[taken.Flow] {
				return false
			}
			seen[taken.Flow]++
		}
		if waiting != 0 || queue.bytes != 0 || len(queue.flows) != queue.longFlows.Len() {
			return false
		}
		queue.dequeue(start.Add(longFlowIdleTimeout))
		return len(queue.flows) == 0
	}, gen.SliceOfN(200, gen.IntRange(0, 9))))
	properties.TestingRun(t)
}

func TestRunSendsQueuedDatagrams(t *testing.T) {
	var lock sync.Mutex
	sent := 0
	egress := New(linkOf(10e6), func([]byte, netip.AddrPort) {
		lock.Lock()
		defer lock.Unlock()
		sent++
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = egress.Run(ctx) })
	for number := range uint32(100) {
		egress.Send(data(1, number, fullPacketBytes), time.Now())
	}
	require.Eventually(t, func() bool {
		lock.Lock()
		defer lock.Unlock()
		return sent == 100
	}, 20*time.Second, time.Millisecond)
	cancel()
	running.Wait()
}

func BenchmarkSendOnAFreeLink(b *testing.B) {
	egress := New(linkOf(125e6), func([]byte, netip.AddrPort) {})
	datagram := data(1, 1, fullPacketBytes)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		egress.Send(datagram, now)
	}
}

// TestSupersededDatagramsAreNotSent: while datagrams are queued, only the latest copy of an opening packet
// is sent, and acknowledgements that a later one includes are not.
func TestSupersededDatagramsAreNotSent(t *testing.T) {
	acknowledgement := func(port int, number uint32) Datagram {
		return Datagram{Flow: flowOf(port), To: target, PureAcknowledgement: true, Acknowledgement: number, Content: []byte{byte(number), 0}}
	}
	openingPacket := func(port int, to netip.AddrPort, copies byte) Datagram {
		return Datagram{Flow: flowOf(port), To: to, Opening: true, Content: []byte{copies, 1}}
	}
	otherTarget := netip.MustParseAddrPort("10.0.0.2:8080")
	closing := Datagram{Flow: flowOf(2), To: target, Content: []byte{9, 2}}
	cases := []struct {
		name string
		sent []Datagram
		want []byte
	}{
		{"later acknowledgements", []Datagram{acknowledgement(2, 10), acknowledgement(2, 20), acknowledgement(2, 20)}, []byte{20}},
		{"an earlier acknowledgement", []Datagram{acknowledgement(2, 20), acknowledgement(2, 10)}, []byte{20, 10}},
		{"acknowledgements of two flows", []Datagram{acknowledgement(2, 10), acknowledgement(3, 20)}, []byte{10, 20}},
		{"an acknowledgement that also closes", []Datagram{acknowledgement(2, 10), closing}, []byte{10, 9}},
		{"copies of an opening packet", []Datagram{openingPacket(2, target, 1), openingPacket(2, otherTarget, 2)}, []byte{2}},
		{"opening packets of two flows", []Datagram{openingPacket(2, target, 1), openingPacket(3, target, 2)}, []byte{1, 2}},
		{"an opening packet and an acknowledgement", []Datagram{openingPacket(2, target, 1), acknowledgement(2, 10)}, []byte{1, 10}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var transmitted []byte
			egress := New(linkOf(narrowRate), func(content []byte, _ netip.AddrPort) {
				if len(content) == 2 {
					transmitted = append(transmitted, content[0])
				}
			})
			for number := range uint32(4) {
				egress.Send(data(1, number, fullPacketBytes), start)
			}
			for _, datagram := range test.sent {
				egress.Send(datagram, start)
			}
			egress.Flush(start.Add(time.Second))
			for at := start.Add(time.Second); egress.Flush(at) > 0; at = at.Add(time.Millisecond) {
			}
			require.Equal(t, test.want, transmitted)
		})
	}
}

// TestShortWaitCountsOnlyShortFlows: a queued upload is not included once it counts as long.
func TestShortWaitCountsOnlyShortFlows(t *testing.T) {
	egress := New(linkOf(narrowRate), func([]byte, netip.AddrPort) {})
	for number := range uint32(20) {
		egress.Send(data(1, number, fullPacketBytes), start)
	}
	now := start
	for range 12 {
		now = now.Add(egress.Flush(now))
	}
	require.Zero(t, egress.ShortWait())
	for port := 2; port < 12; port++ {
		egress.Send(data(port, 1, 325), now)
	}
	require.InDelta(t, 10*time.Millisecond, egress.ShortWait(), float64(time.Millisecond))
	for wait := egress.Flush(now); wait > 0; wait = egress.Flush(now) {
		now = now.Add(wait)
	}
	require.Zero(t, egress.ShortWait())
	require.True(t, egress.Idle())
}
