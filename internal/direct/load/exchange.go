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
	pauseEach = 4 * time.Millisecond
	// keepaliveInterval is the time between two reports while nothing changes.
	keepaliveInterval = 250 * time.Millisecond
	// silentAfter is how long after its last report the counts of a balancer
	// are forgotten.
	silentAfter = 700 * time.Millisecond
	// forgetInterval is the time between two searches for idle targets.
	forgetInterval = 10 * time.Second
)

// Connector makes and closes connections to other balancers.
type Connector interface {
	// Connect keeps a connection to the node from now on.
	Connect(node model.NodeName)
	// Disconnect gives up the connection.
	Disconnect(node model.NodeName)
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
	// Neighbours returns the balancers to tell; it may be called at any time.
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
	options   Options
	book      *Book
	mailbox   *protocol.Mailbox
	reports   *board.Queue[protocol.Envelope]
	connector Connector
	demand    demand
	// connected are the balancers that are told now, sorted.
	connected []model.NodeName
	heard     map[model.NodeName]*heard
	// told is the last report that was sent, at toldAt.
	told        []Entry
	toldAt      time.Time
	forgottenAt time.Time
}

// NewExchange returns the controller.
func NewExchange(options Options, book *Book, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, connector Connector) *Exchange {
	return &Exchange{
		options:   options,
		book:      book,
		mailbox:   mailbox,
		reports:   dispatcher.Handle(Report{}),
		connector: connector,
		heard:     make(map[model.NodeName]*heard),
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
		exchange.take(envelope.From, report.Entries, now)
		if report.Wanted {
			exchange.demand.heardAt = now
		}
	}
	exchange.dropSilent(now)
	neighbours := exchange.options.Neighbours()
	entries := exchange.ownEntries()
	exchange.demand.observe(exchange.utilization(entries, len(neighbours)+1), now)
	if !exchange.demand.high(now) {
		neighbours = nil
	}
	exchange.connect(neighbours)
	exchange.tell(entries, now)
}

// ownEntries returns this balancer's open requests, by the order of tokens.
func (exchange *Exchange) ownEntries() []Entry {
	entries := exchange.book.appendOwn(nil)
	slices.SortFunc(entries, func(left, right Entry) int { return cmp.Compare(left.Token, right.Token) })
	return entries
}

// utilization estimates the open requests of the busiest service by its
// capacity, as if all balancers had as many as this one.
func (exchange *Exchange) utilization(entries []Entry, balancers int) float64 {
	open := make(map[string]int)
	highest := 0.0
	for _, entry := range entries {
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

// connect keeps connections to the balancers that are told. Of two balancers
// that tell each other, the one with the lower name connects.
func (exchange *Exchange) connect(neighbours []model.NodeName) {
	if slices.Equal(neighbours, exchange.connected) {
		return
	}
	for _, name := range exchange.connected {
		if exchange.dials(name) && !slices.Contains(neighbours, name) {
			exchange.connector.Disconnect(name)
		}
	}
	for _, name := range neighbours {
		if exchange.dials(name) && !slices.Contains(exchange.connected, name) {
			exchange.connector.Connect(name)
		}
	}
	exchange.connected = slices.Clone(neighbours)
}

func (exchange *Exchange) dials(name model.NodeName) bool { return exchange.mailbox.Self < name }

// tell sends the open requests when they changed, and now and then else.
func (exchange *Exchange) tell(entries []Entry, now time.Time) {
	pause := max(exchange.options.Interval, pauseEach*time.Duration(len(exchange.connected)))
	since := now.Sub(exchange.toldAt)
	if since < pause || len(exchange.connected) == 0 {
		return
	}
	same := slices.Equal(entries, exchange.told)
	if same && (since < keepaliveInterval || len(entries) == 0) {
		return
	}
	exchange.told = entries
	exchange.toldAt = now
	for _, name := range exchange.connected {
		exchange.mailbox.Send(name, Report{Entries: entries, Wanted: exchange.demand.found(now)})
	}
}
