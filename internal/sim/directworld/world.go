// Package directworld composes a simulated system of direct services: the product's own controllers
// of members and balancers on simulated processes, and simulated targets that register themselves,
// callers, routers that spread packets over the balancers, and operators.
//
// A packet may pass through any active balancer. Control messages, and the calls of targets and
// operators to members, use the control network with the faults of the options; packets and probes
// use the packet network, which shares its cuts.
package directworld

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/direct/transfer"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/reconfigure"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// Parts are the components and options that a variant of the system may replace or change, such as
// the deliberately broken ones of package mutant.
type Parts struct {
	// Decide makes a balancer's decision about a packet.
	Decide func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision
	// TransferOptions changes the options of the balancers' admission control for long requests.
	TransferOptions func(options *transfer.Options)
	// SteerOptions changes the options by which balancers choose targets and admit flows.
	SteerOptions func(options *steer.Options)
	// CollectorOptions changes the options by which members sum up the load of targets.
	CollectorOptions func(options *load.CollectorOptions)
	// ReconfigureOptions changes the options by which members change the membership.
	ReconfigureOptions func(options *reconfigure.Options)
	// NoticeEnd tells a member that the process of a node has ended.
	NoticeEnd func(group *replica.Controller, ended model.NodeName)
	// RecordDeparture handles a target's departure notice at a member.
	RecordDeparture func(member *Member, departure directory.Departure, now, deadline time.Time, done func(error))
	// StateMachine wraps the replicated state of a member.
	StateMachine func(standard replica.StateMachine) replica.StateMachine
	// Disk wraps a member's disk.
	Disk func(standard filesystem.FileSystem) filesystem.FileSystem
	// MessageFilter filters every control message before it is sent; nil changes none.
	MessageFilter kernel.MessageFilter
	// ReadConfiguration answers an operator's read at a member.
	ReadConfiguration func(member *Member, now, deadline time.Time, done func(*declared.Configuration, error))
}

// StandardParts returns the product's own parts.
func StandardParts() Parts {
	return Parts{
		Decide: func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision {
			return table.Decide(segment, now)
		},
		TransferOptions:    func(*transfer.Options) {},
		SteerOptions:       func(*steer.Options) {},
		CollectorOptions:   func(*load.CollectorOptions) {},
		ReconfigureOptions: func(*reconfigure.Options) {},
		NoticeEnd:          (*replica.Controller).PeerEnded,
		RecordDeparture: func(member *Member, departure directory.Departure, now, deadline time.Time, done func(error)) {
			member.Registrar.Leave(now, departure, deadline, done)
		},
		StateMachine: func(standard replica.StateMachine) replica.StateMachine { return standard },
		Disk:         func(standard filesystem.FileSystem) filesystem.FileSystem { return standard },
		ReadConfiguration: func(member *Member, now, deadline time.Time, done func(*declared.Configuration, error)) {
			member.Registrar.Configuration(now, deadline, done)
		},
	}
}

// Options are the size, the faults and the parts of a world.
type Options struct {
	Members         int
	Balancers       int
	TargetsPerZone  int
	ToleratedLosses int
	// Followers bounds the balancers that follow the feed of a member.
	Followers int
	// Faults are the faults of the control network.
	Faults kernel.LinkFaults
	// Affine makes the routers send all packets of a flow to one balancer as long as the set of
	// active balancers does not change. Without it, each packet goes to a random one.
	Affine bool
	// CallsOnly reserves the feed service for calls, which take time to serve and use the slots
	// of targets.
	CallsOnly bool
	// LinkRate is the capacity of a balancer's link in each direction in bytes per second; zero
	// means unlimited. LinkShare is the share of it, from 0 to 1, that balancers use for sending
	// and assume in admission control.
	LinkRate, LinkShare float64
	// ColdLimit is the limit for cold targets that operators declare.
	ColdLimit declared.ColdLimit
	// EndsAreNoticed makes members learn within maxReconnectDelay that another one has ended, as they
	// do if its machine refuses connections.
	EndsAreNoticed bool
	// Skewed gives every process a random clock offset and drift.
	Skewed bool
	Parts  Parts
}

// DefaultOptions returns a small system: three members, four balancers, three
// zones and two services.
func DefaultOptions() Options {
	return Options{
		Members:         3,
		Balancers:       4,
		TargetsPerZone:  2,
		ToleratedLosses: 1,
		Followers:       64,
		LinkShare:       0.9,
		Faults:          kernel.LinkFaults{Loss: 0.01, Duplication: 0.01, Jitter: 2 * time.Millisecond},
		Parts:           StandardParts(),
	}
}

// zones are the zones of the world.
var zones = []model.ZoneName{"zone-a", "zone-b", "zone-c"}

// The services of the world.
const (
	serviceFeed   = "feed"
	serviceLedger = "ledger"
)

// The addresses of the routes of the world.
var (
	routeFeed   = netip.MustParseAddrPort("198.18.0.1:443")
	routeLedger = netip.MustParseAddrPort("198.18.0.2:443")
	routeUpload = netip.MustParseAddrPort("198.18.0.3:443")
)

// settleTime is how long after a disturbance the invariants that have a time bound are not checked.
const settleTime = 4 * time.Second

// World is one simulated system.
type World struct {
	run     *sim.Run
	options Options
	random  *kernel.Random
	host    *kernel.Host
	control *kernel.Network
	packets *kernel.Network

	members   []*Member
	balancers []*balancer
	targets   []*target
	// byAddress has the latest target process at each address.
	byAddress map[netip.AddrPort]*target
	callers   *callers
	calls     *calls
	uploads   *uploads
	operator  *operator
	checks    *checks
	nextID    uint64
	nextHost  int
	// disturbedAt is when a fault last began or ended.
	disturbedAt time.Time
	stopped     bool
}

// New returns a world that is not yet started.
func New(run *sim.Run, options Options) *World {
	random := run.Random("direct-world")
	control := kernel.NewNetwork(run.Scheduler, run.Random("control-network"), latency)
	control.SetFaults(options.Faults)
	world := &World{
		run:       run,
		options:   options,
		random:    random,
		control:   control,
		packets:   control.Sibling(run.Random("packet-network"), kernel.LinkFaults{Loss: 0.002, Jitter: time.Millisecond}),
		host:      kernel.NewHost(run.Scheduler, control, run.Trace),
		byAddress: make(map[netip.AddrPort]*target),
	}
	if options.Parts.MessageFilter != nil {
		world.host.SetFilter(options.Parts.MessageFilter)
	}
	world.checks = newChecks(world)
	world.callers = newCallers(world)
	world.calls = newCalls(world)
	world.uploads = newUploads(world)
	world.operator = newOperator(world)
	world.disturbedAt = run.Scheduler.Now()
	return world
}

// latency returns the one-way delay of both networks.
func latency(from, to model.ZoneName) time.Duration {
	if from == to {
		return 200 * time.Microsecond
	}
	return 600 * time.Microsecond
}

// Start starts members, balancers and targets, declares the first configuration, begins to open
// flows after 6 seconds and runs the world for 8 seconds in all.
func (world *World) Start() {
	for index := range world.options.Members {
		world.members = append(world.members, newMember(world, fmt.Sprintf("10.0.%d.1:7000", index), zones[index%len(zones)], true))
	}
	for _, member := range world.members {
		member.process.Start()
	}
	for index := range world.options.Balancers {
		created := newBalancer(world, fmt.Sprintf("balancer-%d", index), zones[index%len(zones)])
		world.balancers = append(world.balancers, created)
		created.process.Start()
	}
	for _, zone := range zones {
		for range world.options.TargetsPerZone {
			world.AddTarget(serviceFeed, zone)
		}
		world.AddTarget(serviceLedger, zone)
	}
	world.operator.declareFirst()
	world.RunFor(6 * time.Second)
	world.callers.start()
	world.RunFor(2 * time.Second)
}

// RunFor runs the world for a duration of virtual time.
func (world *World) RunFor(duration time.Duration) { world.run.Scheduler.RunFor(duration) }

// Now returns the virtual time.
func (world *World) Now() time.Time { return world.run.Scheduler.Now() }

// recordDisturbance records that a fault begins or ends now.
func (world *World) recordDisturbance(kind, detail string) {
	world.disturbedAt = world.Now()
	world.run.Trace.Add("story", kind, detail)
}

// skewClock gives the process a random clock from its next start if Options.Skewed is set: up to an
// hour off, and up to 1% fast or slow.
func (world *World) skewClock(process *kernel.Process) {
	if !world.options.Skewed {
		return
	}
	process.SetClock(kernel.Clock{
		Offset: world.random.Between(-time.Hour, time.Hour),
		Drift:  (float64(world.random.IntN(2001)) - 1000) / 100_000,
	})
}

// settled reports whether more than settleTime has passed since the last disturbance.
func (world *World) settled() bool { return world.Now().Sub(world.disturbedAt) > settleTime }

// after calls run after delay, unless the world has ended by then.
func (world *World) after(delay time.Duration, run func()) {
	world.run.Scheduler.After(delay, func() {
		if !world.stopped {
			run()
		}
	})
}

// endpoint returns the network endpoint of a process, target or caller.
func endpoint(name string, zone model.ZoneName) kernel.Endpoint {
	return kernel.Endpoint{Name: model.NodeName(name), Zone: zone}
}

// Finish lets the system settle for 14 seconds, in which earlier faults still heal, checks the
// final state and ends the world.
func (world *World) Finish() {
	world.RunFor(14 * time.Second)
	world.checks.checkEnd()
	world.stopped = true
}
