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
	// pauseEachBalancer is the least time between two reports for each balancer
	// that a collector hears and tells: it bounds the messages of a collector to
	// 1/pauseEachBalancer a second each way.
	pauseEachBalancer = time.Millisecond
	// entryBytes is about the size of an entry in a report.
	entryBytes = 3
	// systemBytesPerSecond bounds what a balancer is told of all others.
	systemBytesPerSecond = 10 << 10
	// longestPause bounds the time between two reports; counts that are older say
	// nothing.
	longestPause = 2 * time.Second
)

// CollectorOptions are what a collector works with.
type CollectorOptions struct {
	// Interval is the least time between two reports; zero collects nothing.
	Interval time.Duration
	// Members returns the names of all members of the control group.
	Members func() []model.NodeName
	// Capacities is asked for the capacity of the targets of a service in a zone.
	Capacities PoolCapacities
	// OnChange, when it is not nil, is called when the load begins to be shared, and
	// when it ends.
	OnChange func(sharing SharingState)
}

// PoolCapacities tells what the targets of a service in one zone can bear.
type PoolCapacities interface {
	// PoolCapacity returns the pool of a target, and the number of requests that the
	// pool's targets together work on at once.
	PoolCapacity(token directory.Token) (pool directory.Pool, capacity int)
}

// Collector is the controller that adds up, at a member of the control group of a
// large system, the open requests of the balancers that report to it, exchanges
// sums with the other members, and tells its balancers the sum of all while the
// load is worth sharing.
//
// Each balancer reports to one member at a time. One that moves on counts twice
// until its former member forgets it.
type Collector struct {
	self    model.NodeName
	options CollectorOptions
	outlet  Sender
	reports *board.Queue[protocol.Envelope]
	demand  demand
	// announced tells of changes of demand.
	announced announcer
	// balancers and members are what those told last.
	balancers map[model.NodeName]heard
	members   map[model.NodeName]heard
	toldAt    time.Time
	// servingToldAt is when balancers were last told serving times.
	servingToldAt time.Time
	// own and all are the sums of the balancers here and everywhere. Their memory
	// is used again.
	own map[directory.Token]int
	all map[directory.Token]int
}

// NewCollector returns the controller of the member named self, which takes
// reports from a queue.
func NewCollector(self model.NodeName, options CollectorOptions, outlet Sender, reports *board.Queue[protocol.Envelope]) *Collector {
	return &Collector{
		self: self, options: options, outlet: outlet, reports: reports,
		balancers: make(map[model.NodeName]heard), members: make(map[model.NodeName]heard),
		own: make(map[directory.Token]int), all: make(map[directory.Token]int),
		announced: announcer{onChange: options.OnChange},
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
		collector.take(received.From, received.Message, now)
	}
	dropSilent(collector.balancers, now)
	dropSilent(collector.members, now)
	collector.announced.announce(SharingState{
		Active: collector.demand.high(now), Utilization: collector.demand.average,
		Nodes: len(collector.balancers) + len(collector.members),
	})
	if len(collector.balancers) == 0 || now.Sub(collector.toldAt) < collector.pause(now) {
		return
	}
	collector.toldAt = now
	collector.addUp()
	collector.demand.observe(collector.utilization(), now)
	collector.tell(now)
}

// take replaces what a balancer or another member told before.
func (collector *Collector) take(from model.NodeName, report Report, now time.Time) {
	told := heard{entries: report.Entries.sound(), until: now.Add(silentPauses * max(calmInterval, collector.pause(now)))}
	switch report.Scope {
	case ScopeBalancer:
		told.serving = report.Serving
		if len(told.serving) == 0 {
			told.serving = collector.balancers[from].serving
		}
		collector.balancers[from] = told
	case ScopeFollowers:
		collector.members[from] = told
		if report.Wanted {
			collector.demand.heardAt = now
		}
	}
}

func dropSilent(known map[model.NodeName]heard, now time.Time) {
	for name, told := range known {
		if now.After(told.until) {
			delete(known, name)
		}
	}
}

// pause returns the time between two reports: short while sharing is worth it, as
// far as messages and bytes are bounded.
func (collector *Collector) pause(now time.Time) time.Duration {
	if !collector.demand.high(now) {
		return calmInterval
	}
	forMessages := pauseEachBalancer * time.Duration(len(collector.balancers))
	forBytes := time.Duration(len(collector.all)) * entryBytes * time.Second / systemBytesPerSecond
	return min(max(collector.options.Interval, forMessages, forBytes), longestPause)
}

func (collector *Collector) addUp() {
	clear(collector.own)
	clear(collector.all)
	for _, told := range collector.balancers {
		addEntries(collector.own, told.entries)
	}
	for token, open := range collector.own {
		collector.all[token] = open
	}
	for _, told := range collector.members {
		addEntries(collector.all, told.entries)
	}
}

func addEntries(sums map[directory.Token]int, entries Entries) {
	for _, entry := range entries {
		sums[entry.Token] += entry.Open
	}
}

// utilization returns the open requests of the busiest pool by its capacity: balancers
// prefer targets of their own zone, so that the targets of one zone may be full while the
// service has room.
func (collector *Collector) utilization() float64 {
	openBy := make(map[directory.Pool]int)
	highest := 0.0
	for token, open := range collector.all {
		pool, capacity := collector.options.Capacities.PoolCapacity(token)
		if capacity == 0 {
			continue
		}
		openBy[pool] += open
		highest = max(highest, float64(openBy[pool])/float64(capacity))
	}
	return highest
}

// tell sends the sum of its balancers to the other members, and while sharing is
// worth it the sum of all to its balancers.
func (collector *Collector) tell(now time.Time) {
	wanted := collector.demand.found(now)
	var members []model.NodeName
	for _, member := range collector.options.Members() {
		if member != collector.self {
			members = append(members, member)
		}
	}
	collector.outlet.Send(members, Report{Scope: ScopeFollowers, Entries: entriesOf(collector.own), Wanted: wanted})
	if !collector.demand.high(now) {
		return
	}
	collector.outlet.Send(slices.Sorted(maps.Keys(collector.balancers)), Report{
		Scope: ScopeSystem, Entries: entriesOf(collector.all), Wanted: true, Pause: collector.pause(now), Serving: collector.serving(now),
	})
}

// serving returns the serving times to tell, none until they are due again.
func (collector *Collector) serving(now time.Time) []ServingTime {
	if now.Sub(collector.servingToldAt) < servingInterval {
		return nil
	}
	collector.servingToldAt = now
	told := make([][]ServingTime, 0, len(collector.balancers))
	for _, balancer := range collector.balancers {
		told = append(told, balancer.serving)
	}
	return medians(told)
}

// entriesOf returns the sums in the order of their tokens.
func entriesOf(sums map[directory.Token]int) Entries {
	entries := make(Entries, 0, len(sums))
	for token, open := range sums {
		entries = append(entries, Entry{Token: token, Open: open})
	}
	entries.sort()
	return entries
}
