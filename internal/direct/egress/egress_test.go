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

// largest is the content of a full packet, in bytes.
const largest = 1240

func flowOf(port int) Flow {
	return Flow{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(port)),
		Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// data returns a datagram of flow port with the number-th piece of data.
func data(port int, number uint32, size int) Datagram {
	content := make([]byte, size)
	content[0] = byte(number)
	return Datagram{Flow: flowOf(port), To: target, Sequence: number, HasData: true, Content: content}
}

// link is a stand-in of the machine's link: it loses what comes while more
// than its queue holds waits, as links do.
type link struct {
	bytesPerSecond float64
	queue          time.Duration
	now            time.Time
	clearAt        time.Time
	carried        []int
	lost           int
}

func (link *link) write(content []byte, _ netip.AddrPort) {
	if link.clearAt.Before(link.now) {
		link.clearAt = link.now
	}
	if link.clearAt.Sub(link.now) > link.queue {
		link.lost++
		return
	}
	seconds := float64(len(content)+datagramOverhead) / link.bytesPerSecond
	link.clearAt = link.clearAt.Add(time.Duration(seconds * float64(time.Second)))
	link.carried = append(link.carried, len(content))
}

// datagramOverhead is the size of the IP and UDP heads, in bytes, which is all that the
// links of most tests add to a datagram.
const datagramOverhead = 28

// linkOf returns a link of a rate in bytes a second; zero has no bound.
func linkOf(rate float64) Link { return Link{BytesPerSecond: rate, DatagramOverhead: datagramOverhead} }

// narrow is 2.6 Mbit/s in bytes a second.
const narrowRate = 2.6e6 / 8

// drain flushes at the times that the egress asks for.
func drain(egress *Egress, link *link) {
	for wait := egress.Flush(link.now); wait > 0; wait = egress.Flush(link.now) {
		link.now = link.now.Add(wait)
	}
}

// TestBurstIsNotLostOnANarrowLink: a caller's window of 16 packets comes at
// once; the link's own queue holds a few of them.
func TestBurstIsNotLostOnANarrowLink(t *testing.T) {
	for _, paced := range []bool{false, true} {
		link := &link{bytesPerSecond: narrowRate, queue: 10 * time.Millisecond, now: start}
		rate := 0.0
		if paced {
			rate = narrowRate
		}
		egress := New(linkOf(rate), link.write)
		for number := range uint32(16) {
			egress.Send(data(1, number, largest), link.now)
		}
		drain(egress, link)
		if !paced {
			require.Equal(t, 13, link.lost, "without pacing the link loses most of the burst")
			continue
		}
		require.Zero(t, link.lost)
		require.Len(t, link.carried, 16)
		require.InDelta(t, 16*(largest+datagramOverhead)/narrowRate, link.now.Sub(start).Seconds(), 0.01)
		require.Equal(t, Counts{Sent: 16, Waited: 14}, egress.Counts())
	}
}

// TestManySmallDatagramsStayWithinTheLink is the load of callers that ask much and of
// short calls: three quarters of their datagrams are opening packets and acknowledgements
// of 40 bytes, for which Ethernet takes 106. A pacer that counts 68 sends 1.4 times what
// the link carries at nine tenths of its rate.
func TestManySmallDatagramsStayWithinTheLink(t *testing.T) {
	const (
		small         = 40
		ethernetBytes = 66
		share         = 0.9
		seconds       = 2
	)
	onWire := 0
	egress := New(Link{BytesPerSecond: share * narrowRate, DatagramOverhead: settings.Default().Direct.LinkOverhead},
		func(content []byte, _ netip.AddrPort) { onWire += len(content) + ethernetBytes })
	for at := time.Duration(0); at < seconds*time.Second; at += 250 * time.Microsecond {
		now := start.Add(at)
		egress.Flush(now)
		egress.Send(Datagram{Flow: flowOf(int(at / (250 * time.Microsecond))), To: target, Content: make([]byte, small)}, now)
	}
	burst := narrowRate * burstTolerance.Seconds()
	require.LessOrEqual(t, float64(onWire), share*narrowRate*seconds+burst)
	require.GreaterOrEqual(t, float64(onWire), 0.99*share*narrowRate*seconds, "the link is used")
}

func TestShortFlowsDoNotWaitForLongOnes(t *testing.T) {
	var order []byte
	egress := New(linkOf(narrowRate), func(content []byte, _ netip.AddrPort) { order = append(order, content[0]) })
	for number := range uint32(16) {
		egress.Send(data(1, number, largest), start)
	}
	opening := Datagram{Flow: flowOf(2), To: target, Content: append([]byte{99}, make([]byte, 39)...)}
	egress.Send(opening, start)
	now := start
	for wait := egress.Flush(now); wait > 0; wait = egress.Flush(now) {
		now = now.Add(wait)
	}
	require.LessOrEqual(t, indexOf(order, 99), 4,
		"after two datagrams of the link's burst and two of the upload's first turn, the opening packet is next")
}

func indexOf(order []byte, wanted byte) int {
	for index, value := range order {
		if value == wanted {
			return index
		}
	}
	return len(order)
}

// TestLongFlowsGoOneAfterTheOther: data of a flow that waits is repeated by its
// sender, so that of long flows the oldest one goes first, and a younger one while
// that has nothing to send.
func TestLongFlowsGoOneAfterTheOther(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(12) {
		for port := 1; port <= 3; port++ {
			added := data(port, number, largest)
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
		added := data(port, 12, largest)
		require.Equal(t, admitted, queue.enqueue(&added))
	}
	require.Equal(t, flowOf(1), queue.dequeue(start).Flow, "the oldest flow keeps its place while it has nothing to send")
	require.Equal(t, flowOf(3), queue.dequeue(start).Flow)
}

// TestShortFlowsShareTheLink: flows that are not long take turns.
func TestShortFlowsShareTheLink(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(7) {
		for port := 1; port <= 3; port++ {
			added := data(port, number, largest)
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

// TestShortFlowsGoBeforeLongOnes: a short flow waits for one datagram at the most,
// however much long flows have waiting.
func TestShortFlowsGoBeforeLongOnes(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(16) {
		for port := 1; port <= 5; port++ {
			added := data(port, number, largest)
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

// TestRestedLongFlowsAreForgotten: a flow that sends now and then is not long.
func TestRestedLongFlowsAreForgotten(t *testing.T) {
	queue := newFairQueue(queueLimitBytes)
	for number := range uint32(100) {
		added := data(1, number, 200)
		require.Equal(t, admitted, queue.enqueue(&added))
		require.NotNil(t, queue.dequeue(start))
	}
	require.Empty(t, queue.flows, "what a flow sent while nothing else waited does not add up")
	for number := range uint32(12) {
		added := data(2, number, largest)
		require.Equal(t, admitted, queue.enqueue(&added))
	}
	for range 12 {
		require.NotNil(t, queue.dequeue(start))
	}
	require.Nil(t, queue.dequeue(start.Add(longFlowIdleTimeout-time.Millisecond)))
	require.Len(t, queue.flows, 1, "a long flow keeps its place")
	require.Nil(t, queue.dequeue(start.Add(longFlowIdleTimeout)))
	require.Empty(t, queue.flows)
}

func TestRepeatedDataIsSentOnce(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, queue: time.Second, now: start}
	egress := New(linkOf(narrowRate), link.write)
	for number := range uint32(16) {
		egress.Send(data(1, number, largest), link.now)
	}
	for number := uint32(10); number < 16; number++ {
		egress.Send(data(1, number, largest), link.now)
	}
	elsewhere := data(1, 15, largest)
	elsewhere.To = netip.MustParseAddrPort("10.0.0.2:8080")
	egress.Send(elsewhere, link.now)
	drain(egress, link)
	require.Len(t, link.carried, 17, "six repetitions are left out, data to another place is not")
	require.Equal(t, uint64(6), egress.Counts().Repeated)
}

func TestPacketsWithoutDataAreNeverRepetitions(t *testing.T) {
	egress := New(linkOf(1), func([]byte, netip.AddrPort) {})
	acknowledgement := Datagram{Flow: flowOf(1), To: target, Sequence: 5, Content: make([]byte, 40)}
	for range 3 {
		egress.Send(acknowledgement, start)
	}
	require.Equal(t, Counts{Sent: 1, Waited: 2}, egress.Counts())
}

func TestFullQueueRefuses(t *testing.T) {
	egress := New(linkOf(1), func([]byte, netip.AddrPort) {})
	for number := range uint32(1000) {
		egress.Send(data(1, number, largest), start)
	}
	counts := egress.Counts()
	require.Equal(t, uint64(1000), counts.Sent+counts.Waited+counts.Refused)
	require.Equal(t, uint64(queueLimitBytes/largest), counts.Waited)
}

func TestWithoutARateNothingWaits(t *testing.T) {
	link := &link{bytesPerSecond: narrowRate, queue: time.Hour, now: start}
	egress := New(linkOf(0), link.write)
	for number := range uint32(100) {
		egress.Send(data(1, number, largest), start)
	}
	require.Len(t, link.carried, 100)
	require.Zero(t, egress.Flush(start))
}

// TestQueueKeepsEachFlowsOrder: whatever is put and taken, each flow's
// datagrams come out once, in order, and the bytes add up.
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

func TestRunSendsWhatWaits(t *testing.T) {
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
		egress.Send(data(1, number, largest), time.Now())
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
	datagram := data(1, 1, largest)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		egress.Send(datagram, now)
	}
}

// TestWhatWaitsIsNotRepeated: on a full link, copies of opening packets and acknowledgements
// that a later one includes are not carried.
func TestWhatWaitsIsNotRepeated(t *testing.T) {
	acknowledges := func(port int, number uint32) Datagram {
		return Datagram{Flow: flowOf(port), To: target, PureAcknowledgement: true, Acknowledgement: number, Content: []byte{byte(number), 0}}
	}
	opens := func(port int, to netip.AddrPort, copies byte) Datagram {
		return Datagram{Flow: flowOf(port), To: to, Opening: true, Content: []byte{copies, 1}}
	}
	elsewhere := netip.MustParseAddrPort("10.0.0.2:8080")
	closing := Datagram{Flow: flowOf(2), To: target, Content: []byte{9, 2}}
	cases := []struct {
		name string
		sent []Datagram
		want []byte
	}{
		{"later acknowledgements", []Datagram{acknowledges(2, 10), acknowledges(2, 20), acknowledges(2, 20)}, []byte{20}},
		{"an earlier acknowledgement", []Datagram{acknowledges(2, 20), acknowledges(2, 10)}, []byte{20, 10}},
		{"acknowledgements of two flows", []Datagram{acknowledges(2, 10), acknowledges(3, 20)}, []byte{10, 20}},
		{"an acknowledgement that also closes", []Datagram{acknowledges(2, 10), closing}, []byte{10, 9}},
		{"copies of an opening packet", []Datagram{opens(2, target, 1), opens(2, elsewhere, 2)}, []byte{2}},
		{"opening packets of two flows", []Datagram{opens(2, target, 1), opens(3, target, 2)}, []byte{1, 2}},
		{"an opening packet and an acknowledgement", []Datagram{opens(2, target, 1), acknowledges(2, 10)}, []byte{1, 10}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var carried []byte
			egress := New(linkOf(narrowRate), func(content []byte, _ netip.AddrPort) {
				if len(content) == 2 {
					carried = append(carried, content[0])
				}
			})
			for number := range uint32(4) {
				egress.Send(data(1, number, largest), start)
			}
			for _, datagram := range test.sent {
				egress.Send(datagram, start)
			}
			egress.Flush(start.Add(time.Second))
			for at := start.Add(time.Second); egress.Flush(at) > 0; at = at.Add(time.Millisecond) {
			}
			require.Equal(t, test.want, carried)
		})
	}
}

// TestShortWaitCountsShortFlowsAlone: an upload in front of the link is none of it, from the
// moment on at which it counts as long.
func TestShortWaitCountsShortFlowsAlone(t *testing.T) {
	egress := New(linkOf(narrowRate), func([]byte, netip.AddrPort) {})
	for number := range uint32(20) {
		egress.Send(data(1, number, largest), start)
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
