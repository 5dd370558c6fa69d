package kernel

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLatestEvents bounds the latest events that a trace keeps for failure reports.
const maxLatestEvents = 60

// Event is one recorded step of a run.
type Event struct {
	At     time.Duration
	Source string
	Kind   string
	Detail string
}

// String returns the event as one line.
func (event Event) String() string {
	return fmt.Sprintf("%12s  %-14s %-12s %s", event.At, event.Source, event.Kind, event.Detail)
}

// Trace keeps a digest of all events of a run, and the latest of the events.
type Trace struct {
	scheduler *Scheduler
	digest    *xxhash.Digest
	latest    []Event
	next      int
	count     uint64
	observer  func(Event)
}

// NewTrace returns an empty trace whose event times come from scheduler.
func NewTrace(scheduler *Scheduler) *Trace {
	return &Trace{scheduler: scheduler, digest: xxhash.New()}
}

// Observe sets the function that is called with each later event, including those of
// NotifyObserver.
func (trace *Trace) Observe(observer func(Event)) { trace.observer = observer }

// Add records one event, which the digest covers.
func (trace *Trace) Add(source, kind, detail string) {
	event := Event{At: trace.scheduler.Elapsed(), Source: source, Kind: kind, Detail: detail}
	trace.hash(event)
	trace.keep(event)
	trace.count++
	if trace.observer != nil {
		trace.observer(event)
	}
}

// Addf records one event with a formatted detail.
func (trace *Trace) Addf(source, kind, format string, arguments ...any) {
	trace.Add(source, kind, fmt.Sprintf(format, arguments...))
}

// NotifyObserver passes an event to the observer without recording it. It is for steps that are
// frequent under load and would displace all others among the latest events of a report.
func (trace *Trace) NotifyObserver(source, kind string, detail func() string) {
	if trace.observer != nil {
		trace.observer(Event{At: trace.scheduler.Elapsed(), Source: source, Kind: kind, Detail: detail()})
	}
}

// Mix adds numbers and the present virtual time to the digest without keeping an event. It is for
// frequent steps, such as messages.
func (trace *Trace) Mix(numbers ...uint64) {
	var buffer [8]byte
	trace.mixNumber(&buffer, uint64(trace.scheduler.Elapsed()))
	for _, number := range numbers {
		trace.mixNumber(&buffer, number)
	}
	trace.count++
}

func (trace *Trace) mixNumber(buffer *[8]byte, number uint64) {
	binary.LittleEndian.PutUint64(buffer[:], number)
	_, _ = trace.digest.Write(buffer[:])
}

func (trace *Trace) hash(event Event) {
	var buffer [8]byte
	trace.mixNumber(&buffer, uint64(event.At))
	for _, part := range []string{event.Source, event.Kind, event.Detail} {
		_, _ = trace.digest.WriteString(part)
		_, _ = trace.digest.Write([]byte{0})
	}
}

func (trace *Trace) keep(event Event) {
	if len(trace.latest) < maxLatestEvents {
		trace.latest = append(trace.latest, event)
		return
	}
	trace.latest[trace.next] = event
	trace.next = (trace.next + 1) % maxLatestEvents
}

// Digest returns the digest of all events so far.
func (trace *Trace) Digest() uint64 { return trace.digest.Sum64() }

// Count returns the number of events in the digest so far.
func (trace *Trace) Count() uint64 { return trace.count }

// Latest returns the latest events, oldest first.
func (trace *Trace) Latest() []Event {
	ordered := make([]Event, 0, len(trace.latest))
	ordered = append(ordered, trace.latest[trace.next:]...)
	return append(ordered, trace.latest[:trace.next]...)
}
