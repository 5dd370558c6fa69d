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

// step is one packet of a flow, or a wait before the next one.
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

// book counts what a listener is told.
type book struct {
	open, answered, unanswered, withdrawn, waiting map[directory.Token]int
	// took is the time of the request that ended last.
	took time.Duration
	// whole and gaps count data that followed what was seen before, or did not.
	whole, gaps int
}

func newBook() *book {
	return &book{
		open: make(map[directory.Token]int), waiting: make(map[directory.Token]int), answered: make(map[directory.Token]int),
		unanswered: make(map[directory.Token]int), withdrawn: make(map[directory.Token]int),
	}
}

func (book *book) Began(target Target, _ time.Time) { book.open[target.Token]++ }

func (book *book) Ended(target Target, ending Ending, took time.Duration) {
	book.took = took
	book.open[target.Token]--
	switch ending {
	case Answered:
		book.answered[target.Token]++
	case Unanswered:
		book.unanswered[target.Token]++
	case Withdrawn:
		book.withdrawn[target.Token]++
	}
}

func (book *book) Receiving(target Target, receiving bool) {
	if receiving {
		book.open[target.Token]--
	} else {
		book.open[target.Token]++
	}
}

// Waiting implements Listener.
func (book *book) Waiting(target Target, waiting bool) {
	if waiting {
		book.open[target.Token]--
		book.waiting[target.Token]++
	} else {
		book.open[target.Token]++
		book.waiting[target.Token]--
	}
}

func (book *book) Continued(whole bool) {
	if whole {
		book.whole++
	} else {
		book.gaps++
	}
}

func asks(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.HasData = true })
}

func acknowledges(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, nil)
}

func closes(port uint16, sequence, acknowledgement uint32) step {
	return packet(port, sequence, acknowledgement, func(segment *steer.Segment) { segment.Closing = true })
}

func wait(duration time.Duration) step { return step{wait: duration} }

func TestRequestsAreCountedByTheirOutcome(t *testing.T) {
	other := asks(1, 1, 1)
	other.target = targetOf(8)
	cases := []struct {
		name                 string
		steps                []step
		answered, unanswered int
	}{
		{"answered", []step{asks(1, 1, 1), acknowledges(1, 100, 50)}, 1, 0},
		{"answered by the next request's acknowledgement", []step{asks(1, 1, 1), asks(1, 100, 50)}, 1, 0},
		{"answered and closed", []step{asks(1, 1, 1), closes(1, 100, 50)}, 1, 0},
		{"two requests", []step{asks(1, 1, 1), acknowledges(1, 100, 50), asks(1, 100, 50), acknowledges(1, 200, 90)}, 2, 0},
		{"numbers that wrap", []step{asks(1, 1, 0xFFFFFFF0), acknowledges(1, 100, 0x10)}, 1, 0},
		{"not yet answered", []step{asks(1, 1, 1), wait(HangAfter - time.Millisecond)}, 0, 0},
		{"hangs", []step{asks(1, 1, 1), wait(HangAfter)}, 0, 1},
		{"long upload, answered", []step{asks(1, 1, 1), wait(HangAfter / 2), asks(1, 1201, 1), wait(HangAfter - time.Millisecond), acknowledges(1, 2401, 50)}, 1, 0},
		{"data that is sent again does not prolong", []step{asks(1, 1, 1), wait(HangAfter / 2), asks(1, 1, 1), wait(HangAfter / 2)}, 0, 1},
		{"caller gives up", []step{asks(1, 1, 1), closes(1, 100, 1)}, 0, 1},
		{"caller aborts", []step{asks(1, 1, 1), packet(1, 100, 1, func(segment *steer.Segment) { segment.Abort = true })}, 0, 1},
		{"flow without a request", []step{acknowledges(1, 1, 1), closes(1, 1, 1)}, 0, 0},
		{"address taken by another flow", []step{other, closes(1, 5, 5)}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			book := newBook()
			watcher := NewWatcher(book)
			now := start
			for _, step := range test.steps {
				now = now.Add(step.wait)
				if step.wait > 0 {
					watcher.Reconcile(now)
					continue
				}
				watcher.Note(step.segment, step.target, now)
			}
			require.Equal(t, test.answered, book.answered[7])
			require.Equal(t, test.unanswered, book.unanswered[7])
		})
	}
}

// opens is an opening packet of the flow.
func opens(port uint16) steer.Segment {
	segment := packet(port, 0, 0, nil).segment
	segment.Opening = true
	return segment
}

func TestOpeningPacketsCountUntilTheirRequestEnds(t *testing.T) {
	book := newBook()
	watcher := NewWatcher(book)
	watcher.Placed(opens(1), targetOf(7), start)
	watcher.Placed(opens(1), targetOf(7), start)
	require.Equal(t, 1, book.open[7], "a copy at the same target is one request")
	require.Equal(t, [steer.TrackedAttempts]directory.Token{7}, tried(watcher))
	watcher.Placed(opens(1), targetOf(8), start.Add(200*time.Millisecond))
	require.Equal(t, 0, book.open[7])
	require.Equal(t, 1, book.open[8])
	require.Equal(t, [steer.TrackedAttempts]directory.Token{8, 7}, tried(watcher))
	watcher.Note(asks(1, 1, 1).segment, targetOf(7), start.Add(210*time.Millisecond))
	require.Equal(t, 1, book.open[7], "the flow opened at the first target after all")
	require.Equal(t, 0, book.open[8])
	require.Zero(t, tried(watcher), "an open flow has no former choice")
	watcher.Note(acknowledges(1, 100, 50).segment, targetOf(7), start.Add(250*time.Millisecond))
	require.Equal(t, 0, book.open[7])
	require.Equal(t, 1, book.answered[7])
	require.Equal(t, 1, book.withdrawn[8])
}

// tried returns the former targets of the first flow.
func tried(watcher *Watcher) [steer.TrackedAttempts]directory.Token {
	targets, _ := watcher.Tried(opens(1))
	return targets
}

// TestFlowsAreSeenWhileTheirRequestIsOpen: an opening packet that comes late must not
// be refused once its flow may be open.
func TestFlowsAreSeenWhileTheirRequestIsOpen(t *testing.T) {
	watcher := NewWatcher(newBook())
	seen := func() bool {
		_, seen := watcher.Tried(opens(1))
		return seen
	}
	require.False(t, seen())
	watcher.Placed(opens(1), targetOf(7), start)
	require.True(t, seen())
	watcher.Note(asks(1, 1, 1).segment, targetOf(7), start)
	require.True(t, seen())
	watcher.Note(closes(1, 100, 1).segment, targetOf(7), start)
	require.False(t, seen())
}

func TestFlowThatBringsNoRequestIsWithdrawn(t *testing.T) {
	book := newBook()
	watcher := NewWatcher(book)
	watcher.Placed(opens(1), targetOf(7), start)
	watcher.Reconcile(start.Add(placedFor - time.Millisecond))
	require.Equal(t, 1, book.open[7])
	watcher.Reconcile(start.Add(placedFor))
	require.Equal(t, 0, book.open[7])
	require.Equal(t, 1, book.withdrawn[7])
	require.Zero(t, book.unanswered[7], "a silent target left no request unanswered")
}

// data is a packet with data of a number and a length.
func data(port uint16, sequence, length uint32) step {
	return packet(port, sequence, 1, func(segment *steer.Segment) {
		segment.HasData = true
		segment.Length = length
	})
}

func TestGapsTellThatAFlowGoesOtherWaysToo(t *testing.T) {
	cases := []struct {
		name        string
		steps       []step
		whole, gaps int
	}{
		{"first data says nothing", []step{data(1, 100, 50)}, 0, 0},
		{"data that follows", []step{data(1, 100, 50), data(1, 150, 50), data(1, 200, 10)}, 2, 0},
		{"data sent again", []step{data(1, 100, 50), data(1, 100, 50)}, 1, 0},
		{"data out of order", []step{data(1, 100, 50), data(1, 200, 50), data(1, 150, 50), data(1, 250, 50)}, 2, 1},
		{"data that went another way", []step{data(1, 100, 50), data(1, 200, 50), data(1, 300, 50)}, 0, 2},
		{"numbers that wrap", []step{data(1, 0xFFFFFFF0, 32), data(1, 16, 50)}, 1, 0},
		{"a flow that rested", []step{data(1, 100, 50), wait(sampledFor), data(1, 300, 50)}, 0, 0},
		{"another flow of the same port", []step{data(1, 100, 50), closes(1, 150, 1), data(1, 900, 50)}, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			book := newBook()
			watcher := NewWatcher(book)
			now := start
			for _, step := range test.steps {
				now = now.Add(step.wait)
				if step.wait > 0 {
					watcher.Reconcile(now)
					continue
				}
				watcher.Note(step.segment, step.target, now)
			}
			require.Equal(t, test.whole, book.whole)
			require.Equal(t, test.gaps, book.gaps)
		})
	}
}

// sizeBook has the sizes that an observer was told last.
type sizeBook struct{ growing, whole map[netip.AddrPort]int }

func (book *sizeBook) Growing(route netip.AddrPort, bytes int) { book.growing[route] = bytes }

func (book *sizeBook) Whole(route netip.AddrPort, bytes int) { book.whole[route] = bytes }

// full is the size of a full packet's data.
const full = 1200

// TestLongRequestsTakeNoPlaceWhileTheirDataComes: the target begins to work once all
// data came, and the link takes the time until then.
func TestLongRequestsTakeNoPlaceWhileTheirDataComes(t *testing.T) {
	listener := newBook()
	watcher := NewWatcher(listener)
	sizes := &sizeBook{growing: make(map[netip.AddrPort]int), whole: make(map[netip.AddrPort]int)}
	watcher.ObserveSizes(sizes)
	watcher.Placed(opens(1), targetOf(7), start)
	now := start
	send := func(sequence, length uint32) {
		now = now.Add(100 * time.Millisecond)
		step := data(1, sequence, length)
		watcher.Note(step.segment, step.target, now)
	}
	for number := range uint32(LongFrom / full) {
		send(1+number*full, full)
		require.Equal(t, 1, listener.open[7], "a request counts until it is long")
	}
	send(1+LongFrom, full)
	require.Zero(t, listener.open[7])
	progress := func() Progress {
		var found []Progress
		watcher.EachOpen(func(progress Progress) { found = append(found, progress) })
		require.Len(t, found, 1)
		return found[0]
	}
	route := opens(1).Service
	require.Equal(t, Progress{Route: route, Brought: LongFrom + full, LastAt: now}, progress())
	send(1+LongFrom, full)
	require.Equal(t, Progress{Route: route, Brought: LongFrom + full, LastAt: now}, progress(), "data that is sent again is no further data")
	send(1+LongFrom+full, 70)
	require.Equal(t, 1, listener.open[7], "the last packet is not full")
	require.Equal(t, Progress{Route: route, Brought: LongFrom + full + 70, Complete: true, LastAt: now}, progress())
	now = now.Add(20 * time.Millisecond)
	watcher.Note(acknowledges(1, LongFrom+full+71, 50).segment, targetOf(7), now)
	require.Zero(t, listener.open[7])
	require.Equal(t, 20*time.Millisecond, listener.took, "the time of the target, without that of the link")
	require.Equal(t, map[netip.AddrPort]int{route: LongFrom + full}, sizes.growing)
	require.Equal(t, map[netip.AddrPort]int{route: LongFrom + full + 70}, sizes.whole)
}

// TestLongRequestsThatEndEarlyLeaveNothing: each ending finds the request counted
// once.
func TestLongRequestsThatEndEarlyLeaveNothing(t *testing.T) {
	endings := []struct {
		name string
		end  func(watcher *Watcher)
	}{
		{"closed", func(watcher *Watcher) { watcher.Note(closes(1, 99_999, 1).segment, targetOf(7), start) }},
		{"no more data", func(watcher *Watcher) { watcher.Reconcile(start.Add(receivingRests)) }},
		{"at another target", func(watcher *Watcher) { watcher.Note(closes(1, 99_999, 1).segment, targetOf(8), start) }},
	}
	for _, test := range endings {
		t.Run(test.name, func(t *testing.T) {
			listener := newBook()
			watcher := NewWatcher(listener)
			for number := range uint32(12) {
				step := data(1, 1+number*full, full)
				watcher.Note(step.segment, step.target, start)
			}
			require.Zero(t, listener.open[7])
			test.end(watcher)
			require.Zero(t, listener.open[7])
			require.Zero(t, listener.open[8])
			require.Equal(t, 1, listener.unanswered[7]+listener.withdrawn[7])
		})
	}
}

// TestLongRequestsMayWaitForTheLink: data that is sent again shows that a long request
// goes on, for a while.
func TestLongRequestsMayWaitForTheLink(t *testing.T) {
	listener := newBook()
	watcher := NewWatcher(listener)
	for number := range uint32(12) {
		step := data(1, 1+number*full, full)
		watcher.Note(step.segment, step.target, start)
	}
	open := func() (count int) {
		watcher.EachOpen(func(Progress) { count++ })
		return count
	}
	repeated := data(1, 1+11*full, full)
	for after := time.Second; after < receivingHangs; after += time.Second {
		watcher.Reconcile(start.Add(after))
		require.Equal(t, 1, open(), "after %s", after)
		watcher.Note(repeated.segment, repeated.target, start.Add(after))
	}
	watcher.Reconcile(start.Add(receivingHangs))
	require.Zero(t, open())
	require.Equal(t, 1, listener.unanswered[7])
}

func TestWatchedFlowsAreBounded(t *testing.T) {
	book := newBook()
	watcher := NewWatcher(book)
	for port := range uint16(flowsKept + 500) {
		step := asks(port+1, 1, 1)
		watcher.Note(step.segment, step.target, start)
		watcher.Placed(opens(port+1), targetOf(8), start)
	}
	require.Equal(t, flowsKept, book.open[7]+book.open[8])
	for index := range watcher.shards {
		require.LessOrEqual(t, len(watcher.shards[index].samples), sampledFlows)
	}
	watcher.Reconcile(start.Add(HangAfter))
	require.Zero(t, book.open[7]+book.open[8])
}

func BenchmarkNote(b *testing.B) {
	watcher := NewWatcher()
	ask, answer := asks(1, 1, 1), acknowledges(1, 100, 50)
	b.ReportAllocs()
	for b.Loop() {
		watcher.Note(ask.segment, ask.target, start)
		watcher.Note(answer.segment, answer.target, start)
	}
}

// TestRequestsOfMovedFlowsAreNotTakenForUnanswered is what routers do that hash over the
// balancers that are in: when one comes or goes, nearly all flows go to other balancers. Of
// the requests under way this one never sees the end; those that come then are of flows that
// it did not open.
func TestRequestsOfMovedFlowsAreNotTakenForUnanswered(t *testing.T) {
	book := newBook()
	watcher := NewWatcher(book)
	const flows = 20
	for port := uint16(1); port <= flows; port++ {
		watcher.Placed(opens(port), targetOf(7), start)
		watcher.Note(asks(port, 1, 1).segment, targetOf(7), start)
	}
	moved := start.Add(200 * time.Millisecond)
	for port := uint16(101); port <= 100+flows; port++ {
		watcher.Note(asks(port, 1, 1).segment, targetOf(7), moved)
	}
	watcher.Reconcile(moved.Add(time.Millisecond))
	require.Equal(t, flows, book.open[7], "what came since the move is open here")
	require.Equal(t, flows, book.withdrawn[7])
	require.Zero(t, book.unanswered[7])
	for port := uint16(101); port <= 100+flows; port++ {
		watcher.Note(acknowledges(port, 100, 50).segment, targetOf(7), moved)
	}
	require.Equal(t, flows, book.answered[7])
}

// TestAFewUnknownFlowsAreNoMove: callers whose opening packet went another way.
func TestAFewUnknownFlowsAreNoMove(t *testing.T) {
	book := newBook()
	watcher := NewWatcher(book)
	for port := uint16(1); port <= 60; port++ {
		if port%3 > 0 {
			watcher.Placed(opens(port), targetOf(7), start)
		}
		watcher.Note(asks(port, 1, 1).segment, targetOf(7), start)
	}
	watcher.Reconcile(start.Add(HangAfter - time.Millisecond))
	require.Equal(t, 60, book.open[7])
	watcher.Reconcile(start.Add(HangAfter))
	require.Equal(t, 60, book.unanswered[7], "they hang")
}
