package load

import (
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// pauseEach is the least time between two reports for each balancer that
	// gets them: it bounds the messages of a balancer to 1/pauseEach a second.
	pauseEach = 10 * time.Millisecond
	// keepaliveInterval is the time between two reports while nothing changes.
	keepaliveInterval = 250 * time.Millisecond
	// silentAfter is how long after its last report the counts of a balancer
	// are forgotten, and silentPauses how many pauses between reports that takes
	// at the least.
	silentAfter  = 700 * time.Millisecond
	silentPauses = 3
	// calmInterval is the time between two reports to a collector while sharing
	// the load is not worth more. A rush is seen within two of them, and a report of a
	// few open requests takes some 60 bytes, so that they cost 0.6 KB a second.
	calmInterval = 200 * time.Millisecond
	// servingInterval is the time between two reports with serving times, which take some
	// 30 bytes for a service.
	servingInterval = time.Second
	// forgetInterval is the time between two searches for idle targets.
	forgetInterval = 10 * time.Second
)

// Outlet sends reports to other nodes. Reports may be lost.
type Sender interface {
	// Tell sends the report to the nodes. It must return at once, and keep
	// nothing of the report.
	Send(nodes []model.NodeName, report Report)
}

// Capacities tells what services can bear.
type Capacities interface {
	// ServiceCapacity returns the service of a target, and the number of
	// requests that its targets together work on at once.
	ServiceCapacity(token directory.Token) (service string, capacity int)
}

// Options are what an exchange works with.
type ExchangeOptions struct {
	// Interval is the least time between two reports; zero tells nobody and
	// hears nobody.
	Interval time.Duration
	// Neighbours returns the balancers to tell; none in a large system, whose
	// balancers tell a collector.
	Neighbours func() []model.NodeName
	// Collector returns the member that collects this balancer's reports, or the
	// empty name when it reaches none. It may be nil.
	Collector func() model.NodeName
	// Capacities is asked for the capacity of services.
	Capacities Capacities
	// OnChange, when it is not nil, is called when the load begins to be shared, and
	// when it ends.
	OnChange func(sharing SharingState)
}

// heard is what another node told last, which counts until a while later.
type heard struct {
	entries Entries
	until   time.Time
	// serving has the serving times that the node told last.
	serving []ServingTime
}

// Exchange is the controller that tells other balancers of this one's open
// requests, and takes theirs into the book. In a small system balancers tell each
// other; in a large one each tells a collector, which answers with the open
// requests of all.
type Exchange struct {
	options ExchangeOptions
	book    *Counter
	outlet  Sender
	// reports has the envelopes with reports of other balancers.
	reports *board.Queue[protocol.Envelope]
	demand  demand
	// announced tells of changes of demand.
	announced announcer
	heard     map[model.NodeName]*heard
	// collects tells that the system is large, and pause how long the collector
	// wants balancers to wait between two reports.
	collects bool
	pause    time.Duration
	// entries are this balancer's open requests, and told those that were sent
	// last, at toldAt. Their memory is used again, so that looking costs none.
	entries     Entries
	told        Entries
	openBy      map[string]int
	toldAt      time.Time
	forgottenAt time.Time
	// servingToldAt is when a collector was last told serving times.
	servingToldAt time.Time
}

// NewExchange returns the controller that takes reports from a queue.
func NewExchange(options ExchangeOptions, book *Counter, outlet Sender, reports *board.Queue[protocol.Envelope]) *Exchange {
	return &Exchange{
		options: options, book: book, outlet: outlet, reports: reports,
		heard: make(map[model.NodeName]*heard), openBy: make(map[string]int),
		announced: announcer{onChange: options.OnChange},
	}
}

// Name implements board.Controller.
func (exchange *Exchange) Name() string { return "load" }

// Sources returns the channels whose notices call for a Reconcile.
func (exchange *Exchange) Sources() []<-chan struct{} {
	return []<-chan struct{}{exchange.reports.Watch()}
}

// Reconcile implements board.Controller.
func (exchange *Exchange) Reconcile(now time.Time) {
	reports := protocol.Receive[Report](exchange.reports)
	if now.Sub(exchange.forgottenAt) >= forgetInterval {
		exchange.forgottenAt = now
		exchange.book.forgetIdle()
	}
	if exchange.options.Interval == 0 {
		return
	}
	neighbours := exchange.options.Neighbours()
	exchange.setMode(len(neighbours) == 0)
	for _, received := range reports {
		exchange.takeReport(received.From, received.Message, now)
	}
	exchange.dropSilent(now)
	exchange.book.partial.Store(exchange.collects && exchange.demand.high(now) && len(exchange.heard) == 0)
	exchange.entries = exchange.book.appendOwn(exchange.entries[:0])
	if exchange.collects {
		exchange.tellCollector(now)
	} else {
		exchange.tellNeighbours(neighbours, now)
	}
	exchange.announced.announce(SharingState{
		Active: exchange.demand.high(now), Utilization: exchange.demand.average, Nodes: len(exchange.heard),
	})
}

// tellNeighbours tells the other balancers of a small system while it is worth it.
func (exchange *Exchange) tellNeighbours(neighbours []model.NodeName, now time.Time) {
	exchange.demand.observe(exchange.utilization(len(neighbours)+1), now)
	if exchange.demand.high(now) {
		exchange.tell(neighbours, now)
	}
}

// setMode forgets all that others told when the system becomes large or small:
// a collector's report has the counts of the others too.
func (exchange *Exchange) setMode(collects bool) {
	if collects == exchange.collects {
		return
	}
	exchange.collects = collects
	exchange.forgetOthers("")
}

// forgetOthers forgets what nodes told, but for the one with the name.
func (exchange *Exchange) forgetOthers(kept model.NodeName) {
	for name, known := range exchange.heard {
		if name != kept {
			exchange.replace(known.entries, nil)
			delete(exchange.heard, name)
		}
	}
}

// takeReport takes a report in when it is of the kind that counts now.
func (exchange *Exchange) takeReport(from model.NodeName, report Report, now time.Time) {
	switch {
	case report.Scope == ScopeBalancer && !exchange.collects:
		exchange.take(from, report.Entries.sound(), now.Add(silentAfter))
	case report.Scope == ScopeSystem && exchange.collects:
		exchange.pause = min(report.Pause, longestPause)
		exchange.forgetOthers(from)
		silent := max(silentAfter, silentPauses*exchange.pause)
		exchange.take(from, report.Entries.sound().without(exchange.told), now.Add(silent))
		if len(report.Serving) > 0 {
			exchange.book.services.hear(report.Serving)
		}
	default:
		return
	}
	exchange.book.heard(now)
	if report.Wanted {
		exchange.demand.heardAt = now
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

// take replaces what a node told before.
func (exchange *Exchange) take(from model.NodeName, entries Entries, until time.Time) {
	known := exchange.heard[from]
	if known == nil {
		known = &heard{}
		exchange.heard[from] = known
	}
	exchange.replace(known.entries, entries)
	known.entries = entries
	known.until = until
}

// replace takes former counts out of the book and puts new ones in.
func (exchange *Exchange) replace(former, entries Entries) {
	for _, entry := range entries {
		exchange.book.add(entry.Token, 0, entry.Open)
	}
	for _, entry := range former {
		exchange.book.add(entry.Token, 0, -entry.Open)
	}
}

// dropSilent forgets the counts of nodes that tell nothing any more.
func (exchange *Exchange) dropSilent(now time.Time) {
	for name, known := range exchange.heard {
		if now.After(known.until) {
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
	exchange.entries.sort()
	same := slices.Equal(exchange.entries, exchange.told)
	if same && (since < keepaliveInterval || len(exchange.entries) == 0) {
		return
	}
	exchange.told, exchange.entries = exchange.entries, exchange.told
	exchange.toldAt = now
	exchange.outlet.Send(neighbours, Report{Entries: exchange.told, Wanted: exchange.demand.found(now)})
}

// tellCollector sends the open requests to the collector, now and then while the
// load is low, and as often as it wants while sharing is worth it.
func (exchange *Exchange) tellCollector(now time.Time) {
	if exchange.options.Collector == nil {
		return
	}
	collector := exchange.options.Collector()
	pause := calmInterval
	if exchange.demand.high(now) {
		pause = max(exchange.options.Interval, exchange.pause)
	}
	nothing := len(exchange.entries) == 0 && len(exchange.told) == 0
	if collector == "" || nothing || now.Sub(exchange.toldAt) < pause {
		return
	}
	exchange.entries.sort()
	exchange.told, exchange.entries = exchange.entries, exchange.told
	exchange.toldAt = now
	report := Report{Entries: exchange.told}
	if now.Sub(exchange.servingToldAt) >= servingInterval {
		exchange.servingToldAt = now
		report.Serving = exchange.book.services.all()
	}
	exchange.outlet.Send([]model.NodeName{collector}, report)
}
