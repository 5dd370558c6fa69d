package load

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Entry has the open requests of one target at one balancer.
type Entry struct {
	Token directory.Token
	Open  int
}

// Report tells another balancer all open requests of the sender. It replaces the
// sender's report before it; targets that it does not name have none.
type Report struct {
	Entries []Entry
	// Wanted tells that the sender itself finds that the load should be shared.
	Wanted bool
}

func init() { protocol.RegisterAs("dl", Report{}) }

const (
	// pauseEach is the least time between two reports for each balancer that
	// gets them: it bounds the messages of a balancer to 1/pauseEach a second.
	pauseEach = 10 * time.Millisecond
	// keepaliveInterval is the time between two reports while nothing changes.
	keepaliveInterval = 250 * time.Millisecond
	// silentAfter is how long after its last report the counts of a balancer
	// are forgotten.
	silentAfter = 700 * time.Millisecond
	// forgetInterval is the time between two searches for idle targets.
	forgetInterval = 10 * time.Second
)

// Outlet sends reports to other balancers. Reports may be lost.
type Outlet interface {
	// Tell sends the report to the nodes. It must return at once, and keep
	// nothing of the report.
	Tell(nodes []model.NodeName, report Report)
}

// Capacities tells what services can bear.
type Capacities interface {
	// ServiceCapacity returns the service of a target, and the number of
	// requests that its targets together work on at once.
	ServiceCapacity(token directory.Token) (service string, capacity int)
}

// Options are what an exchange works with.
type Options struct {
	// Interval is the least time between two reports; zero tells nobody and
	// hears nobody.
	Interval time.Duration
	// Neighbours returns the balancers to tell.
	Neighbours func() []model.NodeName
	// Capacities is asked for the capacity of services.
	Capacities Capacities
}

// heard is what another balancer told last.
type heard struct {
	entries []Entry
	at      time.Time
}

// Exchange is the controller that tells other balancers of this one's open
// requests, and takes theirs into the book.
type Exchange struct {
	options Options
	book    *Book
	outlet  Outlet
	// reports has the envelopes with reports of other balancers.
	reports *board.Queue[protocol.Envelope]
	demand  demand
	heard   map[model.NodeName]*heard
	// entries are this balancer's open requests, and told those that were sent
	// last, at toldAt. Their memory is used again, so that looking costs none.
	entries     []Entry
	told        []Entry
	openBy      map[string]int
	toldAt      time.Time
	forgottenAt time.Time
}

// NewExchange returns the controller that takes reports from a queue.
func NewExchange(options Options, book *Book, outlet Outlet, reports *board.Queue[protocol.Envelope]) *Exchange {
	return &Exchange{
		options: options, book: book, outlet: outlet, reports: reports,
		heard: make(map[model.NodeName]*heard), openBy: make(map[string]int),
	}
}

// Name implements board.Controller.
func (exchange *Exchange) Name() string { return "load" }

// Reconcile implements board.Controller.
func (exchange *Exchange) Reconcile(now time.Time) {
	envelopes := exchange.reports.Drain()
	if now.Sub(exchange.forgottenAt) >= forgetInterval {
		exchange.forgottenAt = now
		exchange.book.forgetIdle()
	}
	if exchange.options.Interval == 0 {
		return
	}
	for _, envelope := range envelopes {
		report, _ := envelope.Message.(Report)
		exchange.take(envelope.From, sound(report.Entries), now)
		if report.Wanted {
			exchange.demand.heardAt = now
		}
	}
	exchange.dropSilent(now)
	neighbours := exchange.options.Neighbours()
	exchange.entries = exchange.book.appendOwn(exchange.entries[:0])
	exchange.demand.observe(exchange.utilization(len(neighbours)+1), now)
	if exchange.demand.high(now) {
		exchange.tell(neighbours, now)
	}
}

// utilization estimates the open requests of the busiest service by its
// capacity, as if all balancers had as many as this one.
func (exchange *Exchange) utilization(balancers int) float64 {
	open := exchange.openBy
	clear(open)
	highest := 0.0
	for _, entry := range exchange.entries {
		service, capacity := exchange.options.Capacities.ServiceCapacity(entry.Token)
		if capacity == 0 {
			continue
		}
		open[service] += entry.Open
		highest = max(highest, float64(open[service]*balancers)/float64(capacity))
	}
	return highest
}

// take replaces what a balancer told before.
func (exchange *Exchange) take(from model.NodeName, entries []Entry, now time.Time) {
	known := exchange.heard[from]
	if known == nil {
		known = &heard{}
		exchange.heard[from] = known
	}
	exchange.replace(known.entries, entries)
	known.entries = entries
	known.at = now
}

// maximumOpen is the largest count that is believed.
const maximumOpen = 1 << 20

// sound returns the entries that another balancer can mean.
func sound(entries []Entry) []Entry {
	return slices.DeleteFunc(entries, func(entry Entry) bool {
		return entry.Token == 0 || entry.Open <= 0 || entry.Open > maximumOpen
	})
}

// replace takes former counts out of the book and puts new ones in.
func (exchange *Exchange) replace(former, entries []Entry) {
	for _, entry := range entries {
		exchange.book.add(entry.Token, 0, entry.Open)
	}
	for _, entry := range former {
		exchange.book.add(entry.Token, 0, -entry.Open)
	}
}

// dropSilent forgets the counts of balancers that tell nothing any more.
func (exchange *Exchange) dropSilent(now time.Time) {
	for name, known := range exchange.heard {
		if now.Sub(known.at) > silentAfter {
			exchange.replace(known.entries, nil)
			delete(exchange.heard, name)
		}
	}
}

// tell sends the open requests when they changed, and now and then else.
func (exchange *Exchange) tell(neighbours []model.NodeName, now time.Time) {
	pause := max(exchange.options.Interval, pauseEach*time.Duration(len(neighbours)))
	since := now.Sub(exchange.toldAt)
	if since < pause || len(neighbours) == 0 {
		return
	}
	slices.SortFunc(exchange.entries, func(left, right Entry) int { return cmp.Compare(left.Token, right.Token) })
	same := slices.Equal(exchange.entries, exchange.told)
	if same && (since < keepaliveInterval || len(exchange.entries) == 0) {
		return
	}
	exchange.told, exchange.entries = exchange.entries, exchange.told
	exchange.toldAt = now
	exchange.outlet.Tell(neighbours, Report{Entries: exchange.told, Wanted: exchange.demand.found(now)})
}
