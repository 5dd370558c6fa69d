package load

import (
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// intervalPerBalancer is the minimum time between two reports for each balancer that a
	// collector serves. It bounds the messages of a collector to 1/intervalPerBalancer a second
	// in each direction.
	intervalPerBalancer = time.Millisecond
	// entryBytes is the approximate size of an entry in a report.
	entryBytes = 3
	// totalsBytesPerSecond bounds the bytes of totals that are sent to each balancer.
	totalsBytesPerSecond = 10 << 10
	// maxReportInterval bounds the time between two reports. Older counts carry no information.
	maxReportInterval = 2 * time.Second
)

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	// Interval is the minimum time between two reports; zero disables the collector.
	Interval time.Duration
	// Members returns the names of all members of the control group.
	Members func() []model.NodeName
	// Capacities looks up the capacity of the targets of a service in a zone.
	Capacities PoolCapacities
	// OnChange, if not nil, is called when load sharing starts and when it ends.
	OnChange func(sharing SharingState)
}

// PoolCapacities looks up the capacity of pools, a pool being the targets of a service in one zone.
type PoolCapacities interface {
	// PoolCapacity returns the pool of a target and the number of requests that the pool's
	// targets together can serve at once.
	PoolCapacity(token directory.Token) (pool directory.Pool, capacity int)
}

// Collector is the controller of a member of the control group in a large system. It sums the
// open requests of the balancers that report to it, exchanges the sums with the other members,
// and sends the totals to its balancers while load sharing is active.
//
// Each balancer reports to one member at a time. A balancer that switches to another member is
// counted twice until its report at the previous member expires.
type Collector struct {
	self    model.NodeName
	options CollectorOptions
	sender  Sender
	reports *board.Queue[protocol.Envelope]
	demand  demand
	// notifier calls OnChange when demand changes.
	notifier changeNotifier
	// balancers and members hold the last report of each balancer and member.
	balancers map[model.NodeName]peerReport
	members   map[model.NodeName]peerReport
	sentAt    time.Time
	// serviceTimesSentAt is when service times were last sent to balancers.
	serviceTimesSentAt time.Time
	// localSums and totalSums are the open requests by target of this member's balancers and of
	// all balancers. The maps are reused between rounds.
	localSums map[directory.Token]int
	totalSums map[directory.Token]int
}

// NewCollector returns the controller of the member named self. It receives reports from the
// given queue.
func NewCollector(self model.NodeName, options CollectorOptions, sender Sender, reports *board.Queue[protocol.Envelope]) *Collector {
	return &Collector{
		self: self, options: options, sender: sender, reports: reports,
		balancers: make(map[model.NodeName]peerReport), members: make(map[model.NodeName]peerReport),
		localSums: make(map[directory.Token]int), totalSums: make(map[directory.Token]int),
		notifier: changeNotifier{onChange: options.OnChange},
	}
}

// Name implements board.Controller.
func (collector *Collector) Name() string { return "load collector" }

// Reconcile implements board.Controller.
func (collector *Collector) Reconcile(now time.Time) {
	reports := protocol.Receive[Report](collector.reports)
	if collector.options.Interval == 0 {
		return
	}
	for _, received := range reports {
		collector.applyReport(received.From, received.Message, now)
	}
	dropExpired(collector.balancers, now)
	dropExpired(collector.members, now)
	collector.notifier.notify(SharingState{
		Active: collector.demand.wanted(now), Utilization: collector.demand.averageUtilization,
		Nodes: len(collector.balancers) + len(collector.members),
	})
	if len(collector.balancers) == 0 || now.Sub(collector.sentAt) < collector.reportInterval(now) {
		return
	}
	collector.sentAt = now
	collector.sumReports()
	collector.demand.observe(collector.utilization(), now)
	collector.sendSums(now)
}

// applyReport replaces the previous report of a balancer or another member.
func (collector *Collector) applyReport(from model.NodeName, report Report, now time.Time) {
	stored := peerReport{entries: report.Entries.valid(), expiresAt: now.Add(expiryIntervals * max(idleReportInterval, collector.reportInterval(now)))}
	switch report.Scope {
	case ScopeBalancer:
		stored.serviceTimes = report.Serving
		if len(stored.serviceTimes) == 0 {
			stored.serviceTimes = collector.balancers[from].serviceTimes
		}
		collector.balancers[from] = stored
	case ScopeFollowers:
		collector.members[from] = stored
		if report.Wanted {
			collector.demand.wantedRemotelyAt = now
		}
	}
}

func dropExpired(reports map[model.NodeName]peerReport, now time.Time) {
	for name, report := range reports {
		if now.After(report.expiresAt) {
			delete(reports, name)
		}
	}
}

// reportInterval returns the time between two reports. It is short while load sharing is active,
// as far as the bounds on messages and bytes allow.
func (collector *Collector) reportInterval(now time.Time) time.Duration {
	if !collector.demand.wanted(now) {
		return idleReportInterval
	}
	forMessages := intervalPerBalancer * time.Duration(len(collector.balancers))
	forBytes := time.Duration(len(collector.totalSums)) * entryBytes * time.Second / totalsBytesPerSecond
	return min(max(collector.options.Interval, forMessages, forBytes), maxReportInterval)
}

// sumReports recomputes localSums and totalSums from the current reports.
func (collector *Collector) sumReports() {
	clear(collector.localSums)
	clear(collector.totalSums)
	for _, report := range collector.balancers {
		addEntries(collector.localSums, report.entries)
	}
	for token, open := range collector.localSums {
		collector.totalSums[token] = open
	}
	for _, report := range collector.members {
		addEntries(collector.totalSums, report.entries)
	}
}

func addEntries(sums map[directory.Token]int, entries Entries) {
	for _, entry := range entries {
		sums[entry.Token] += entry.Open
	}
}

// utilization returns the open requests of the busiest pool divided by its capacity. It looks at
// pools rather than services because balancers prefer targets of their own zone, so the targets
// of one zone may be full while the service as a whole has spare capacity.
func (collector *Collector) utilization() float64 {
	openByPool := make(map[directory.Pool]int)
	highest := 0.0
	for token, open := range collector.totalSums {
		pool, capacity := collector.options.Capacities.PoolCapacity(token)
		if capacity == 0 {
			continue
		}
		openByPool[pool] += open
		highest = max(highest, float64(openByPool[pool])/float64(capacity))
	}
	return highest
}

// sendSums sends the sums of this member's balancers to the other members and, while load sharing
// is active, the totals to its balancers.
func (collector *Collector) sendSums(now time.Time) {
	wanted := collector.demand.wantedLocally(now)
	var members []model.NodeName
	for _, member := range collector.options.Members() {
		if member != collector.self {
			members = append(members, member)
		}
	}
	collector.sender.Send(members, Report{Scope: ScopeFollowers, Entries: sortedEntries(collector.localSums), Wanted: wanted})
	if !collector.demand.wanted(now) {
		return
	}
	collector.sender.Send(slices.Sorted(maps.Keys(collector.balancers)), Report{
		Scope: ScopeSystem, Entries: sortedEntries(collector.totalSums), Wanted: true, Pause: collector.reportInterval(now), Serving: collector.serviceTimesDue(now),
	})
}

// serviceTimesDue returns the service times to send with the next report; nil if the last ones
// were sent less than serviceTimeInterval ago.
func (collector *Collector) serviceTimesDue(now time.Time) []ServingTime {
	if now.Sub(collector.serviceTimesSentAt) < serviceTimeInterval {
		return nil
	}
	collector.serviceTimesSentAt = now
	reported := make([][]ServingTime, 0, len(collector.balancers))
	for _, balancer := range collector.balancers {
		reported = append(reported, balancer.serviceTimes)
	}
	return medians(reported)
}

// sortedEntries returns the sums as entries sorted by token.
func sortedEntries(sums map[directory.Token]int) Entries {
	entries := make(Entries, 0, len(sums))
	for token, open := range sums {
		entries = append(entries, Entry{Token: token, Open: open})
	}
	entries.sort()
	return entries
}
