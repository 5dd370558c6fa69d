package requests

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// These tests guard against counting a request at its target while its packets still wait in the
// queue for the balancer's own link, which uploads can fill. That happened on narrow links with the
// targets at a quarter of their load: balancers refused calls as overloaded with three to eleven open
// requests and an expected request time above 0.6 of the objective, at targets that served 0.4
// requests on average. The wait also went into the serving time that the balancer learned (63 ms
// where targets take 42 ms), and a request that waited for a second counted as unanswered by a
// target that had never received it.

func TestRequestsInTheLinkQueueDoNotCountAtTheirTarget(t *testing.T) {
	listener := newListenerRecorder()
	watcher := NewWatcher(listener)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	watcher.Queued(openingSegment(1), start)
	require.Equal(t, 0, listener.open[7])
	require.Equal(t, 1, listener.waiting[7])
	watcher.Dequeued(openingSegment(1), start.Add(80*time.Millisecond))
	watcher.Dequeued(openingSegment(1), start.Add(90*time.Millisecond))
	require.Equal(t, 1, listener.open[7])
	require.Equal(t, 0, listener.waiting[7])

	request := requestPacket(1, 1, 1).segment
	watcher.PacketForwarded(request, targetOf(7), start.Add(100*time.Millisecond))
	watcher.Queued(request, start.Add(100*time.Millisecond))
	require.Equal(t, 0, listener.open[7])
	require.Equal(t, 1, listener.waiting[7])
	watcher.Dequeued(openingSegment(1), start.Add(110*time.Millisecond))
	require.Equal(t, 1, listener.waiting[7], "a late copy of the opening packet does not contain the request")
	watcher.Dequeued(request, start.Add(200*time.Millisecond))
	require.Equal(t, 1, listener.open[7])
	watcher.PacketForwarded(acknowledgement(1, 100, 50).segment, targetOf(7), start.Add(240*time.Millisecond))
	require.Equal(t, 40*time.Millisecond, listener.lastDuration, "the time in the queue does not count as the target's")
	require.Equal(t, 0, listener.open[7])
	require.Equal(t, 1, listener.answered[7])
}

func TestRequestsThatNeverLeaveTheQueueAreWithdrawn(t *testing.T) {
	cases := []struct {
		name string
		end  func(watcher *Watcher)
	}{
		{"a copy of the opening packet goes to another target", func(watcher *Watcher) {
			watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
			watcher.Queued(openingSegment(1), start)
			watcher.OpeningForwarded(openingSegment(1), targetOf(8), start.Add(200*time.Millisecond))
			watcher.PacketForwarded(closingPacket(1, 1, 1).segment, targetOf(8), start.Add(250*time.Millisecond))
		}},
		{"the opening packet is lost", func(watcher *Watcher) {
			watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
			watcher.Queued(openingSegment(1), start)
			watcher.Reconcile(start.Add(openingTimeout))
		}},
		{"the request is lost", func(watcher *Watcher) {
			watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), start)
			watcher.Queued(requestPacket(1, 1, 1).segment, start)
			watcher.Reconcile(start.Add(AnswerTimeout))
		}},
		{"the caller gives up", func(watcher *Watcher) {
			watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), start)
			watcher.Queued(requestPacket(1, 1, 1).segment, start)
			watcher.PacketForwarded(closingPacket(1, 100, 1).segment, targetOf(7), start.Add(time.Millisecond))
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			listener := newListenerRecorder()
			test.end(NewWatcher(listener))
			require.Zero(t, listener.open[7])
			require.Zero(t, listener.waiting[7])
			require.Zero(t, listener.unanswered[7], "a target that never received a request did not leave it unanswered")
			require.Equal(t, 1, listener.withdrawn[7])
		})
	}
}

// TestQueuedRetransmissionsDoNotWithdrawARequest: the target has received the first copy, whether
// or not a further one is queued, and the timeout of an unresponsive target runs from that copy.
func TestQueuedRetransmissionsDoNotWithdrawARequest(t *testing.T) {
	listener := newListenerRecorder()
	watcher := NewWatcher(listener)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), start)
	again := start.Add(200 * time.Millisecond)
	watcher.OpeningForwarded(openingSegment(1), targetOf(7), again)
	watcher.Queued(openingSegment(1), again)
	require.Equal(t, 1, listener.open[7])

	requestedAt := start.Add(300 * time.Millisecond)
	watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), requestedAt)
	for _, later := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
		again = requestedAt.Add(later)
		watcher.PacketForwarded(requestPacket(1, 1, 1).segment, targetOf(7), again)
		watcher.Queued(requestPacket(1, 1, 1).segment, again)
		require.Equal(t, 1, listener.open[7])
		require.Zero(t, listener.waiting[7])
		watcher.Dequeued(requestPacket(1, 1, 1).segment, again.Add(50*time.Millisecond))
	}
	watcher.Reconcile(requestedAt.Add(AnswerTimeout))
	require.Equal(t, 1, listener.unanswered[7])
	require.Zero(t, listener.open[7])
}

// TestLongRequestsCountAsQueuedOnlyOnceReceived: a request whose data is still being received does
// not count at its target, whether its latest packet is queued or not. Once all data was received,
// it counts as queued until its last packet was sent.
func TestLongRequestsCountAsQueuedOnlyOnceReceived(t *testing.T) {
	listener := newListenerRecorder()
	watcher := NewWatcher(listener)
	now := start
	send := func(sequence, length uint32) {
		now = now.Add(time.Millisecond)
		watcher.PacketForwarded(dataPacket(1, sequence, length).segment, targetOf(7), now)
		watcher.Queued(dataPacket(1, sequence, length).segment, now)
	}
	for number := range uint32(LongRequestBytes/fullPacketBytes + 2) {
		send(1+number*fullPacketBytes, fullPacketBytes)
		require.Zero(t, listener.open[7])
	}
	require.Zero(t, listener.waiting[7])
	send(1+LongRequestBytes+2*fullPacketBytes, 70)
	require.Equal(t, 1, listener.waiting[7])
	watcher.Dequeued(dataPacket(1, 1+LongRequestBytes+2*fullPacketBytes, 70).segment, now.Add(time.Second))
	require.Zero(t, listener.waiting[7])
	require.Equal(t, 1, listener.open[7])
}

// TestListenerCountsReturnToZero: in whatever order packets are forwarded, queued, dequeued or lost,
// each request ends once, and no request remains counted as open or waiting.
func TestListenerCountsReturnToZero(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(36))
	properties.Property("counts return to zero", prop.ForAll(func(steps []uint) bool {
		listener := newListenerRecorder()
		watcher := NewWatcher(listener)
		now := start
		for _, step := range steps {
			now = now.Add(time.Duration(step%7) * 40 * time.Millisecond)
			port := uint16(step / 7 % 3)
			target := targetOf(7 + int(step/21%2))
			sequence := uint32(step/42%12) * fullPacketBytes
			piece := dataPacket(port, sequence, fullPacketBytes-uint32(step/504%2)*100).segment
			switch step / 1008 % 8 {
			case 0:
				watcher.OpeningForwarded(openingSegment(port), target, now)
			case 1:
				watcher.Queued(openingSegment(port), now)
			case 2:
				watcher.Dequeued(openingSegment(port), now)
			case 3:
				watcher.PacketForwarded(piece, target, now)
			case 4:
				watcher.Queued(piece, now)
			case 5:
				watcher.Dequeued(piece, now)
			case 6:
				watcher.PacketForwarded(closingPacket(port, sequence, uint32(step%2)).segment, target, now)
			case 7:
				watcher.Reconcile(now)
			}
		}
		watcher.Reconcile(now.Add(receiveStallTimeout))
		for _, token := range []directory.Token{7, 8} {
			if listener.open[token] != 0 || listener.waiting[token] != 0 {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.UIntRange(0, 8063))))
	properties.TestingRun(t)
}
