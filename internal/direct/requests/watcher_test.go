package requests

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is one packet of a flow, or a pause before the next one.
type step struct {
	segment steer.Segment
	target  Target
	wait    time.Duration
}

func packet(port uint16, sequence, acknowledgement uint32, change func(segment *steer.Segment)) step {
	segment := steer.Segment{
		Caller:   netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port),
		Service:  netip.MustParseAddrPort("198.18.0.1:443"),
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
	if change != nil {
		change(&segment)
	}
	return step{segment: segment, target: targetOf(7)}
}

func targetOf(number int) Target {
	return Target{Token: directory.Token(number), ID: directory.TargetID(number) + 1000}
}

// listenerRecorder counts the notifications of a listener by target.
type listenerRecorder struct {
	open, answered, unanswered, withdrawn, waiting map[directory.Token]int
	// lastDuration is the duration reported for the request that ended last.
	lastDuration time.Duration
	// contiguous and gaps count data packets that were contiguous with earlier ones, or were not.
	contiguous, gaps int
}

func newListenerRecorder() *listenerRecorder {
	return &listenerRecorder{
		open: make(map[directory.Token]int), waiting: make(map[directory.Token]int), answered: make(map[directory.Token]int),
		unanswered: make(map[directory.Token]int), withdrawn: make(map[directory.Token]int),
	}
}

func (recorder *listenerRecorder) Began(target Target, _ time.Time) { recorder.open[target.Token]++ }

func (recorder *listenerRecorder) Ended(target Target, ending Ending, took time.Duration) {
	recorder.lastDuration = took
	recorder.open[target.Token]--
	switch ending {
	case Answered:
		recorder.answered[target.Token]++
	case Unanswered:
		recorder.unanswered[target.Token]++
	case Withdrawn:
		recorder.withdrawn[target.Token]++
	}
}

func (recorder *listenerRecorder) Receiving(target Target, receiving bool) {
	if receiving {
		recorder.open[target.Token]--
	} else {
		recorder.open[target.Token]++
	}
}

// Waiting implements Listener.
func (recorder *listenerRecorder) Waiting(target Target, waiting bool) {
	if waiting {
		recorder.open[target.Token]--
		recorder.waiting[target.Token]++
	} else {
		recorder.open[target.Token]++
		recorder.waiting[target.Token]--
	}
}

func (recorder *listenerRecorder) SequenceChecked(contiguous bool) {
	if contiguous {
		recorder.contiguous++
	} else {
		recorder.gaps++
	}
}

func requestPacket(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.HasData = true })
}

func acknowledgement(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, nil)
}

func closingPacket(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.Closing = true })
}

func wait(duration time.Duration) step { return step{wait: duration} }

func TestRequestsAreCountedByTheirEnding(t *testing.T) {
	other := requestPacket(1, 1, 1)
	other.target = targetOf(8)
	cases := []struct {
		name                 string
		steps                []step
		answered, unanswered int
	}{
		{"answered", []step{requestPacket(1, 1, 1), acknowledgement(1, 100, 50)}, 1, 0},
		{"answered by the next request's acknowledgement", []step{requestPacket(1, 1, 1), requestPacket(1, 100, 50)}, 1, 0},
		{"answered and closed", []step{requestPacket(1, 1, 1), closingPacket(1, 100, 50)}, 1, 0},
		{"two requests", []step{requestPacket(1, 1, 1), acknowledgement(1, 100, 50), requestPacket(1, 100, 50), acknowledgement(1, 200, 90)}, 2, 0},
		{"sequence numbers wrap around", []step{requestPacket(1, 1, 0xFFFFFFF0), acknowledgement(1, 100, 0x10)}, 1, 0},
		{"not yet answered", []step{requestPacket(1, 1, 1), wait(AnswerTimeout - time.Millisecond)}, 0, 0},
		{"no answer within the timeout", []step{requestPacket(1, 1, 1), wait(AnswerTimeout)}, 0, 1},
		{"long upload, answered", []step{requestPacket(1, 1, 1), wait(AnswerTimeout / 2), requestPacket(1, 1201, 1), wait(AnswerTimeout - time.Millisecond), acknowledgement(1, 2401, 50)}, 1, 0},
		{"retransmitted data does not extend the timeout", []step{requestPacket(1, 1, 1), wait(AnswerTimeout / 2), requestPacket(1, 1, 1), wait(AnswerTimeout / 2)}, 0, 1},
		{"caller gives up", []step{requestPacket(1, 1, 1), closingPacket(1, 100, 1)}, 0, 1},
		{"caller aborts", []step{requestPacket(1, 1, 1), packet(1, 100, 1, func(segment *steer.Segment) { segment.Abort = true })}, 0, 1},
		{"flow without a request", []step{acknowledgement(1, 1, 1), closingPacket(1, 1, 1)}, 0, 0},
		{"caller's port reused by a flow to another target", []step{other, closingPacket(1, 5, 5)}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder := newListenerRecorder()
			watcher := NewWatcher(recorder)
			now := start
			for _, step := range test.steps {
				now = now.Add(step.wait)
				if step.wait > 0 {
					watcher.Reconcile(now)
					continue
				}
				watcher.PacketForwarded(step.segment, step.target, now)
			}
			require.Equal(t, test.answered, recorder.answered[7])
			require.Equal(t, test.unanswered, recorder.unanswered[7])
		})
	}
}

// openingSegment returns an opening packet of the flow from the caller's port.
func openingSegment(port uint16) steer.Segment {
	segment := packet(port, 0, 0, nil).segment
	segment.Opening = true
	return segment
}

func TestOpeningPacketsCountAsOpenUntilTheRequestEnds(t *testing.T) {
	recorder := newListenerRecorder()
	watcher := NewWatcher(recorder)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	require.Equal(t, 1, recorder.open[7], "a copy to the same target is the same request")
	require.Equal(t, [steer.TrackedAttempts]directory.Token{7}, previousTargets(watcher))
	watcher.OpeningForwarded(openingSegment(1), targetOf(8), start.Add(200*time.Millisecond))
	require.Equal(t, 0, recorder.open[7])
	require.Equal(t, 1, recorder.open[8])
	require.Equal(t, [steer.TrackedAttempts]directory.Token{8, 7}, previousTargets(watcher))
	watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), start.Add(210*time.Millisecond))
	require.Equal(t, 1, recorder.open[7], "the flow opened at the first target after all")
	require.Equal(t, 0, recorder.open[8])
	require.Zero(t, previousTargets(watcher), "an open flow has no previous targets")
	watcher.PacketForwarded(acknowledgement(1, 100, 50).segment, targetOf(7), start.Add(250*time.Millisecond))
	require.Equal(t, 0, recorder.open[7])
	require.Equal(t, 1, recorder.answered[7])
	require.Equal(t, 1, recorder.withdrawn[8])
}

// previousTargets returns the previous targets of the first flow.
func previousTargets(watcher *Watcher) [steer.TrackedAttempts]directory.Token {
	targets, _ := watcher.PreviousTargets(openingSegment(1))
	return targets
}

// TestFlowsAreSeenWhileTheirRequestIsOpen: a delayed copy of an opening packet must not be refused
// once its flow may be open.
func TestFlowsAreSeenWhileTheirRequestIsOpen(t *testing.T) {
	watcher := NewWatcher(newListenerRecorder())
	seen := func() bool {
		_, seen := watcher.PreviousTargets(openingSegment(1))
		return seen
	}
	require.False(t, seen())
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	require.True(t, seen())
	watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), start)
	require.True(t, seen())
	watcher.PacketForwarded(closingPacket(1, 100, 1).segment, targetOf(7), start)
	require.False(t, seen())
}

func TestFlowWithoutARequestIsWithdrawn(t *testing.T) {
	recorder := newListenerRecorder()
	watcher := NewWatcher(recorder)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	watcher.Reconcile(start.Add(openingTimeout - time.Millisecond))
	require.Equal(t, 1, recorder.open[7])
	watcher.Reconcile(start.Add(openingTimeout))
	require.Equal(t, 0, recorder.open[7])
	require.Equal(t, 1, recorder.withdrawn[7])
	require.Zero(t, recorder.unanswered[7], "a target that did not open the flow left no request unanswered")
}

// dataPacket returns a packet with data of a sequence number and a length.
func dataPacket(port uint16, sequence, length uint32) step {
	return packet(port, sequence, 1, func(segment *steer.Segment) {
		segment.HasData = true
		segment.Length = length
	})
}

func TestSequenceGapsAreReported(t *testing.T) {
	cases := []struct {
		name             string
		steps            []step
		contiguous, gaps int
	}{
		{"first data is not checked", []step{dataPacket(1, 100, 50)}, 0, 0},
		{"contiguous data", []step{dataPacket(1, 100, 50), dataPacket(1, 150, 50), dataPacket(1, 200, 10)}, 2, 0},
		{"retransmitted data", []step{dataPacket(1, 100, 50), dataPacket(1, 100, 50)}, 1, 0},
		{"data out of order", []step{dataPacket(1, 100, 50), dataPacket(1, 200, 50), dataPacket(1, 150, 50), dataPacket(1, 250, 50)}, 2, 1},
		{"data that passed through another balancer", []step{dataPacket(1, 100, 50), dataPacket(1, 200, 50), dataPacket(1, 300, 50)}, 0, 2},
		{"sequence numbers wrap around", []step{dataPacket(1, 0xFFFFFFF0, 32), dataPacket(1, 16, 50)}, 1, 0},
		{"a flow that was idle", []step{dataPacket(1, 100, 50), wait(sampleIdleTimeout), dataPacket(1, 300, 50)}, 0, 0},
		{"another flow from the same port", []step{dataPacket(1, 100, 50), closingPacket(1, 150, 1), dataPacket(1, 900, 50)}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			recorder := newListenerRecorder()
			watcher := NewWatcher(recorder)
			now := start
			for _, step := range test.steps {
				now = now.Add(step.wait)
				if step.wait > 0 {
					watcher.Reconcile(now)
					continue
				}
				watcher.PacketForwarded(step.segment, step.target, now)
			}
			require.Equal(t, test.contiguous, recorder.contiguous)
			require.Equal(t, test.gaps, recorder.gaps)
		})
	}
}

// sizeRecorder records the size reported last for each route.
type sizeRecorder struct{ growing, completed map[netip.AddrPort]int }

func (recorder *sizeRecorder) RequestGrowing(route netip.AddrPort, bytes int) {
	recorder.growing[route] = bytes
}

func (recorder *sizeRecorder) RequestCompleted(route netip.AddrPort, bytes int) {
	recorder.completed[route] = bytes
}

// fullPacketBytes is the number of data bytes in a full packet.
const fullPacketBytes = 1200

// TestLongRequestsDoNotCountAtTheirTargetWhileReceiving: the target begins to work once all data
// was received, and the time until then is the link's.
func TestLongRequestsDoNotCountAtTheirTargetWhileReceiving(t *testing.T) {
	listener := newListenerRecorder()
	watcher := NewWatcher(listener)
	sizes := &sizeRecorder{growing: make(map[netip.AddrPort]int), completed: make(map[netip.AddrPort]int)}
	watcher.ObserveSizes(sizes)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	now := start
	send := func(sequence, length uint32) {
		now = now.Add(100 * time.Millisecond)
		step := dataPacket(1, sequence, length)
		watcher.PacketForwarded(step.segment, step.target, now)
	}
	for number := range uint32(LongRequestBytes / fullPacketBytes) {
		send(1+number*fullPacketBytes, fullPacketBytes)
		require.Equal(t, 1, listener.open[7], "a request counts at its target until it is long")
	}
	send(1+LongRequestBytes, fullPacketBytes)
	require.Zero(t, listener.open[7])
	progress := func() Progress {
		var found []Progress
		watcher.EachOpen(func(progress Progress) { found = append(found, progress) })
		require.Len(t, found, 1)
		return found[0]
	}
	route := openingSegment(1).Service
	require.Equal(t, Progress{Route: route, ReceivedBytes: LongRequestBytes + fullPacketBytes, LastAt: now}, progress())
	send(1+LongRequestBytes, fullPacketBytes)
	require.Equal(t, Progress{Route: route, ReceivedBytes: LongRequestBytes + fullPacketBytes, LastAt: now}, progress(), "retransmitted data is not new data")
	send(1+LongRequestBytes+fullPacketBytes, 70)
	require.Equal(t, 1, listener.open[7], "the last packet is not full")
	require.Equal(t, Progress{Route: route, ReceivedBytes: LongRequestBytes + fullPacketBytes + 70, Complete: true, LastAt: now}, progress())
	now = now.Add(20 * time.Millisecond)
	watcher.PacketForwarded(acknowledgement(1, LongRequestBytes+fullPacketBytes+71, 50).segment, targetOf(7), now)
	require.Zero(t, listener.open[7])
	require.Equal(t, 20*time.Millisecond, listener.lastDuration, "the duration excludes the time of the link")
	require.Equal(t, map[netip.AddrPort]int{route: LongRequestBytes + fullPacketBytes}, sizes.growing)
	require.Equal(t, map[netip.AddrPort]int{route: LongRequestBytes + fullPacketBytes + 70}, sizes.completed)
}

// TestLongRequestsThatEndEarlyLeaveNoCounts: each request ends once and is removed from the counts,
// whichever way it ends.
func TestLongRequestsThatEndEarlyLeaveNoCounts(t *testing.T) {
	endings := []struct {
		name string
		end  func(watcher *Watcher)
	}{
		{"closed", func(watcher *Watcher) {
			watcher.PacketForwarded(closingPacket(1, 99_999, 1).segment, targetOf(7), start)
		}},
		{"no more data", func(watcher *Watcher) { watcher.Reconcile(start.Add(receiveIdleTimeout)) }},
		{"moved to another target", func(watcher *Watcher) {
			watcher.PacketForwarded(closingPacket(1, 99_999, 1).segment, targetOf(8), start)
		}},
	}
	for _, test := range endings {
		t.Run(test.name, func(t *testing.T) {
			listener := newListenerRecorder()
			watcher := NewWatcher(listener)
			for number := range uint32(12) {
				step := dataPacket(1, 1+number*fullPacketBytes, fullPacketBytes)
				watcher.PacketForwarded(step.segment, step.target, start)
			}
			require.Zero(t, listener.open[7])
			test.end(watcher)
			require.Zero(t, listener.open[7])
			require.Zero(t, listener.open[8])
			require.Equal(t, 1, listener.unanswered[7]+listener.withdrawn[7])
		})
	}
}

// TestLongRequestsMayStallForAWhile: retransmitted data shows that a long request continues, until
// it has sent nothing new for receiveStallTimeout.
func TestLongRequestsMayStallForAWhile(t *testing.T) {
	listener := newListenerRecorder()
	watcher := NewWatcher(listener)
	for number := range uint32(12) {
		step := dataPacket(1, 1+number*fullPacketBytes, fullPacketBytes)
		watcher.PacketForwarded(step.segment, step.target, start)
	}
	open := func() (count int) {
		watcher.EachOpen(func(Progress) { count++ })
		return count
	}
	retransmitted := dataPacket(1, 1+11*fullPacketBytes, fullPacketBytes)
	for after := time.Second; after < receiveStallTimeout; after += time.Second {
		watcher.Reconcile(start.Add(after))
		require.Equal(t, 1, open(), "after %s", after)
		watcher.PacketForwarded(retransmitted.segment, retransmitted.target, start.Add(after))
	}
	watcher.Reconcile(start.Add(receiveStallTimeout))
	require.Zero(t, open())
	require.Equal(t, 1, listener.unanswered[7])
}

func TestTrackedFlowsAreBounded(t *testing.T) {
	recorder := newListenerRecorder()
	watcher := NewWatcher(recorder)
	for port := range uint16(maxTrackedFlows + 500) {
		step := requestPacket(port+1, 1, 1)
		watcher.PacketForwarded(step.segment, step.target, start)
		watcher.OpeningForwarded(openingSegment(port+1), targetOf(8), start)
	}
	require.Equal(t, maxTrackedFlows, recorder.open[7]+recorder.open[8])
	for index := range watcher.shards {
		require.LessOrEqual(t, len(watcher.shards[index].samples), maxSampledFlows)
	}
	watcher.Reconcile(start.Add(AnswerTimeout))
	require.Zero(t, recorder.open[7]+recorder.open[8])
}

func BenchmarkPacketForwarded(b *testing.B) {
	watcher := NewWatcher()
	data, answer := requestPacket(1, 1, 1), acknowledgement(1, 100, 50)
	b.ReportAllocs()
	for b.Loop() {
		watcher.PacketForwarded(data.segment, data.target, start)
		watcher.PacketForwarded(answer.segment, answer.target, start)
	}
}

// TestRequestsOfMovedFlowsAreWithdrawn covers routers that hash flows over the current set of
// balancers: when a balancer is added or removed, nearly all flows move to other balancers. This
// balancer never sees the end of its requests in flight, which must not count as unanswered; the
// requests that arrive after the move belong to flows that it did not open.
func TestRequestsOfMovedFlowsAreWithdrawn(t *testing.T) {
	recorder := newListenerRecorder()
	watcher := NewWatcher(recorder)
	const flows = 20
	for port := uint16(1); port <= flows; port++ {
		watcher.OpeningForwarded(openingSegment(port), targetOf(7), start)
		watcher.PacketForwarded(requestPacket(port, 1, 1).segment, targetOf(7), start)
	}
	moved := start.Add(200 * time.Millisecond)
	for port := uint16(101); port <= 100+flows; port++ {
		watcher.PacketForwarded(requestPacket(port, 1, 1).segment, targetOf(7), moved)
	}
	watcher.Reconcile(moved.Add(time.Millisecond))
	require.Equal(t, flows, recorder.open[7], "requests that arrived after the move are open here")
	require.Equal(t, flows, recorder.withdrawn[7])
	require.Zero(t, recorder.unanswered[7])
	for port := uint16(101); port <= 100+flows; port++ {
		watcher.PacketForwarded(acknowledgement(port, 100, 50).segment, targetOf(7), moved)
	}
	require.Equal(t, flows, recorder.answered[7])
}

// TestAFewUnknownFlowsAreNoMove: one flow in three is unknown because its opening packet passed
// through another balancer.
func TestAFewUnknownFlowsAreNoMove(t *testing.T) {
	recorder := newListenerRecorder()
	watcher := NewWatcher(recorder)
	for port := uint16(1); port <= 60; port++ {
		if port%3 > 0 {
			watcher.OpeningForwarded(openingSegment(port), targetOf(7), start)
		}
		watcher.PacketForwarded(requestPacket(port, 1, 1).segment, targetOf(7), start)
	}
	watcher.Reconcile(start.Add(AnswerTimeout - time.Millisecond))
	require.Equal(t, 60, recorder.open[7])
	watcher.Reconcile(start.Add(AnswerTimeout))
	require.Equal(t, 60, recorder.unanswered[7], "they time out instead of being withdrawn")
}
