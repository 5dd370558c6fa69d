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
	open, answered, unanswered, withdrawn map[directory.Token]int
	// whole and gaps count data that followed what was seen before, or did not.
	whole, gaps int
}

func newBook() *book {
	return &book{
		open: make(map[directory.Token]int), answered: make(map[directory.Token]int),
		unanswered: make(map[directory.Token]int), withdrawn: make(map[directory.Token]int),
	}
}

func (book *book) Began(target Target) { book.open[target.Token]++ }

func (book *book) Ended(target Target, ending Ending, _ time.Duration) {
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
	require.Equal(t, [steer.TriesKnown]directory.Token{7}, watcher.Tried(opens(1)))
	watcher.Placed(opens(1), targetOf(8), start.Add(200*time.Millisecond))
	require.Equal(t, 0, book.open[7])
	require.Equal(t, 1, book.open[8])
	require.Equal(t, [steer.TriesKnown]directory.Token{8, 7}, watcher.Tried(opens(1)))
	watcher.Note(asks(1, 1, 1).segment, targetOf(7), start.Add(210*time.Millisecond))
	require.Equal(t, 1, book.open[7], "the flow opened at the first target after all")
	require.Equal(t, 0, book.open[8])
	require.Zero(t, watcher.Tried(opens(1)), "an open flow has no former choice")
	watcher.Note(acknowledges(1, 100, 50).segment, targetOf(7), start.Add(250*time.Millisecond))
	require.Equal(t, 0, book.open[7])
	require.Equal(t, 1, book.answered[7])
	require.Equal(t, 1, book.withdrawn[8])
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
