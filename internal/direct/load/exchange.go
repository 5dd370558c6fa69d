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
	// intervalPerPeer is the minimum time between two reports for each balancer that receives
	// them. It bounds the messages of a balancer to 1/intervalPerPeer a second.
	intervalPerPeer = 10 * time.Millisecond
	// keepaliveInterval is the time between two reports while the counts do not change.
	keepaliveInterval = 250 * time.Millisecond
	// The counts of a node expire when no report from it has arrived for some time. At a balancer
	// this is minReportExpiry for the counts of another balancer, and at least minReportExpiry
	// and expiryIntervals report intervals for those from a collector. At a collector it is
	// expiryIntervals times its report interval or idleReportInterval, whichever is longer.
	minReportExpiry = 700 * time.Millisecond
	expiryIntervals = 3
	// idleReportInterval is the time between two reports to a collector while load sharing is
	// not active. A load spike is noticed within two of them. A report of a few open requests
	// takes about 60 bytes, so the reports cost 0.6 KB a second.
	idleReportInterval = 200 * time.Millisecond
	// serviceTimeInterval is the time between two reports that include service times, which take
	// about 30 bytes per service.
	serviceTimeInterval = time.Second
	// idleSweepInterval is the time between two sweeps for idle targets.
	idleSweepInterval = 10 * time.Second
)

// Sender sends reports to other nodes. Reports may be lost.
type Sender interface {
	// Send sends the report to the nodes. It must not block, and must not retain any part of
	// the report.
	Send(nodes []model.NodeName, report Report)
}

// Capacities looks up the capacity of services.
type Capacities interface {
	// ServiceCapacity returns the service of a target and the number of requests that the
	// service's targets together can serve at once.
	ServiceCapacity(token directory.Token) (service string, capacity int)
}

// ExchangeOptions configures an Exchange.
type ExchangeOptions struct {
	// Interval is the minimum time between two reports; zero disables sending and receiving.
	Interval time.Duration
	// Neighbours returns the balancers to send reports to. It returns none in a large system,
	// whose balancers report to a collector.
	Neighbours func() []model.NodeName
	// Collector returns the member that collects this balancer's reports, or the empty name if
	// none is reachable. It may be nil.
	Collector func() model.NodeName
	// Capacities looks up the capacity of services.
	Capacities Capacities
	// OnChange, if not nil, is called when load sharing starts and when it ends.
	OnChange func(sharing SharingState)
}

// peerReport is the last report of another node. It is used until it expires.
type peerReport struct {
	entries   Entries
	expiresAt time.Time
	// serviceTimes holds the service times that the node last reported.
	serviceTimes []ServingTime
}

// Exchange is the controller that reports a balancer's open requests to other nodes and adds
// their counts to the Counter. In a small system balancers report to each other. In a large
// system each reports to a collector, which replies with the open requests of all balancers.
type Exchange struct {
	options ExchangeOptions
	counter *Counter
	sender  Sender
	// reports is the queue of received envelopes with reports.
	reports *board.Queue[protocol.Envelope]
	demand  demand
	// notifier calls OnChange when demand changes.
	notifier changeNotifier
	// peerReports holds the last report of each node, until it expires.
	peerReports map[model.NodeName]*peerReport
	// usesCollector is set in a large system. collectorInterval is the time between two reports
	// that the collector asked for.
	usesCollector     bool
	collectorInterval time.Duration
	// entries are this balancer's open requests, sentEntries those last sent, at sentAt. The two
	// slices swap on each send so that their memory is reused.
	entries       Entries
	sentEntries   Entries
	openByService map[string]int
	sentAt        time.Time
	sweptAt       time.Time
	// serviceTimesSentAt is when service times were last sent to a collector.
	serviceTimesSentAt time.Time
}

// NewExchange returns an Exchange that receives reports from the given queue.
func NewExchange(options ExchangeOptions, counter *Counter, sender Sender, reports *board.Queue[protocol.Envelope]) *Exchange {
	return &Exchange{
		options: options, counter: counter, sender: sender, reports: reports,
		peerReports: make(map[model.NodeName]*peerReport), openByService: make(map[string]int),
		notifier: changeNotifier{onChange: options.OnChange},
	}
}

// Name implements board.Controller.
func (exchange *Exchange) Name() string { return "load" }

// Sources returns the channels that signal that Reconcile has work to do.
func (exchange *Exchange) Sources() []<-chan struct{} {
	return []<-chan struct{}{exchange.reports.Watch()}
}

// Reconcile implements board.Controller.
func (exchange *Exchange) Reconcile(now time.Time) {
	reports := protocol.Receive[Report](exchange.reports)
	if now.Sub(exchange.sweptAt) >= idleSweepInterval {
		exchange.sweptAt = now
		exchange.counter.removeIdle()
	}
	if exchange.options.Interval == 0 {
		return
	}
	neighbours := exchange.options.Neighbours()
	exchange.setMode(len(neighbours) == 0)
	for _, received := range reports {
		exchange.handleReport(received.From, received.Message, now)
	}
	exchange.dropExpired(now)
	exchange.counter.remoteCountsMissing.Store(exchange.usesCollector && exchange.demand.wanted(now) && len(exchange.peerReports) == 0)
	exchange.entries = exchange.counter.appendLocal(exchange.entries[:0])
	if exchange.usesCollector {
		exchange.sendToCollector(now)
	} else {
		exchange.sendToNeighbours(neighbours, now)
	}
	exchange.notifier.notify(SharingState{
		Active: exchange.demand.wanted(now), Utilization: exchange.demand.averageUtilization, Nodes: len(exchange.peerReports),
	})
}

// sendToNeighbours sends reports to the other balancers of a small system while load sharing is
// active.
func (exchange *Exchange) sendToNeighbours(neighbours []model.NodeName, now time.Time) {
	exchange.demand.observe(exchange.utilization(len(neighbours)+1), now)
	if exchange.demand.wanted(now) {
		exchange.sendWhenDue(neighbours, now)
	}
}

// setMode drops all received reports when the system becomes large or small: a collector's report
// includes the counts of the other balancers, which would otherwise be added twice.
func (exchange *Exchange) setMode(usesCollector bool) {
	if usesCollector == exchange.usesCollector {
		return
	}
	exchange.usesCollector = usesCollector
	exchange.dropReportsExcept("")
}

// dropReportsExcept removes the reports of all nodes but the given one.
func (exchange *Exchange) dropReportsExcept(kept model.NodeName) {
	for name, report := range exchange.peerReports {
		if name != kept {
			exchange.replaceRemote(report.entries, nil)
			delete(exchange.peerReports, name)
		}
	}
}

// handleReport applies a report if its scope fits the current mode, and ignores it otherwise.
func (exchange *Exchange) handleReport(from model.NodeName, report Report, now time.Time) {
	switch {
	case report.Scope == ScopeBalancer && !exchange.usesCollector:
		exchange.applyReport(from, report.Entries.valid(), now.Add(minReportExpiry))
	case report.Scope == ScopeSystem && exchange.usesCollector:
		exchange.collectorInterval = min(report.Pause, maxReportInterval)
		exchange.dropReportsExcept(from)
		expiry := max(minReportExpiry, expiryIntervals*exchange.collectorInterval)
		exchange.applyReport(from, report.Entries.valid().subtract(exchange.sentEntries), now.Add(expiry))
		if len(report.Serving) > 0 {
			exchange.counter.serviceTimes.setReported(report.Serving)
		}
	default:
		return
	}
	exchange.counter.noteRemoteReport(now)
	if report.Wanted {
		exchange.demand.wantedRemotelyAt = now
	}
}

// utilization estimates the open requests of the busiest service divided by its capacity. It
// assumes that every balancer has as many open requests as this one.
func (exchange *Exchange) utilization(balancers int) float64 {
	open := exchange.openByService
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

// applyReport replaces the previous report of a node.
func (exchange *Exchange) applyReport(from model.NodeName, entries Entries, expiresAt time.Time) {
	report := exchange.peerReports[from]
	if report == nil {
		report = &peerReport{}
		exchange.peerReports[from] = report
	}
	exchange.replaceRemote(report.entries, entries)
	report.entries = entries
	report.expiresAt = expiresAt
}

// replaceRemote removes the previous counts from the Counter and adds the new ones.
func (exchange *Exchange) replaceRemote(previous, entries Entries) {
	for _, entry := range entries {
		exchange.counter.add(entry.Token, 0, entry.Open)
	}
	for _, entry := range previous {
		exchange.counter.add(entry.Token, 0, -entry.Open)
	}
}

// dropExpired removes the counts of nodes whose last report has expired.
func (exchange *Exchange) dropExpired(now time.Time) {
	for name, report := range exchange.peerReports {
		if now.After(report.expiresAt) {
			exchange.replaceRemote(report.entries, nil)
			delete(exchange.peerReports, name)
		}
	}
}

// sendWhenDue sends the open requests if they changed, or as a keepalive, and not more often than
// the interval allows.
func (exchange *Exchange) sendWhenDue(neighbours []model.NodeName, now time.Time) {
	interval := max(exchange.options.Interval, intervalPerPeer*time.Duration(len(neighbours)))
	since := now.Sub(exchange.sentAt)
	if since < interval || len(neighbours) == 0 {
		return
	}
	exchange.entries.sort()
	unchanged := slices.Equal(exchange.entries, exchange.sentEntries)
	if unchanged && (since < keepaliveInterval || len(exchange.entries) == 0) {
		return
	}
	exchange.sentEntries, exchange.entries = exchange.entries, exchange.sentEntries
	exchange.sentAt = now
	exchange.sender.Send(neighbours, Report{Entries: exchange.sentEntries, Wanted: exchange.demand.wantedLocally(now)})
}

// sendToCollector sends the open requests to the collector: every idleReportInterval while load is
// low, and at the interval that the collector asked for while load sharing is active.
func (exchange *Exchange) sendToCollector(now time.Time) {
	if exchange.options.Collector == nil {
		return
	}
	collector := exchange.options.Collector()
	interval := idleReportInterval
	if exchange.demand.wanted(now) {
		interval = max(exchange.options.Interval, exchange.collectorInterval)
	}
	nothingToReport := len(exchange.entries) == 0 && len(exchange.sentEntries) == 0
	if collector == "" || nothingToReport || now.Sub(exchange.sentAt) < interval {
		return
	}
	exchange.entries.sort()
	exchange.sentEntries, exchange.entries = exchange.entries, exchange.sentEntries
	exchange.sentAt = now
	report := Report{Entries: exchange.sentEntries}
	if now.Sub(exchange.serviceTimesSentAt) >= serviceTimeInterval {
		exchange.serviceTimesSentAt = now
		report.Serving = exchange.counter.serviceTimes.observedTimes()
	}
	exchange.sender.Send([]model.NodeName{collector}, report)
}
