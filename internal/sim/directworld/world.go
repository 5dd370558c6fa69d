// Package directworld composes a simulated system of direct services: the
// product's own controllers of members and balancers on simulated processes,
// and stand-ins for targets that register by themselves, callers, routers that
// spray packets over the balancers, and operators.
//
// Any packet goes through any active balancer. Control messages and calls take
// the faulty network of the run; packets take one that shares its cuts.
package directworld

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/direct/transfer"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// Parts are the pieces that a variant may replace.
type Parts struct {
	// Decide decides about a packet at a balancer.
	Decide func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision
	// Transfers changes how balancers admit long requests to their links.
	TransferOptions func(options *transfer.Options)
	// Choice changes how balancers choose targets and admit flows.
	SteerOptions func(options *steer.Options)
	// Collecting changes how members add up the load of targets.
	CollectorOptions func(options *load.CollectorOptions)
	// Machine wraps the replicated state of a member.
	StateMachine func(standard replica.StateMachine) replica.StateMachine
	// Disk wraps a member's disk.
	Disk func(standard filesystem.FileSystem) filesystem.FileSystem
	// Messages sees every control message before it is sent; nil changes none.
	MessageFilter kernel.MessageFilter
	// Read answers an operator's read at a member.
	ReadConfiguration func(member *Member, now, deadline time.Time, done func(*declared.Configuration, error))
}

// StandardParts returns the product's own parts.
func StandardParts() Parts {
	return Parts{
		Decide: func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision {
			return table.Decide(segment, now)
		},
		TransferOptions:  func(*transfer.Options) {},
		SteerOptions:     func(*steer.Options) {},
		CollectorOptions: func(*load.CollectorOptions) {},
		StateMachine:     func(standard replica.StateMachine) replica.StateMachine { return standard },
		Disk:             func(standard filesystem.FileSystem) filesystem.FileSystem { return standard },
		ReadConfiguration: func(member *Member, now, deadline time.Time, done func(*declared.Configuration, error)) {
			member.Registrar.Configuration(now, deadline, done)
		},
	}
}

// Options size a world.
type Options struct {
	Members         int
	Balancers       int
	TargetsPerZone  int
	ToleratedLosses int
	// Followers bounds the balancers that a member feeds.
	Followers int
	Faults    kernel.LinkFaults
	// Affine makes the routers send all packets of a flow to one balancer, as
	// long as it is there; otherwise each packet goes to any.
	Affine bool
	// CallsOnly leaves the feed service to calls, whose requests take time there.
	CallsOnly bool
	// LinkRate is what a balancer's link carries each way, in bytes a second; zero
	// means that it has no bound. LinkShare is the share of it that balancers send
	// at.
	LinkRate, LinkShare float64
	// ColdLimit is the bound of cold targets that operators declare.
	ColdLimit declared.ColdLimit
	// Skewed gives every process a clock of its own.
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

// zones of the world.
var zones = []model.ZoneName{"zone-a", "zone-b", "zone-c"}

// The services and routes of the world. Each route's address names it.
const (
	serviceFeed   = "feed"
	serviceLedger = "ledger"
)

var (
	routeFeed   = netip.MustParseAddrPort("198.18.0.1:443")
	routeLedger = netip.MustParseAddrPort("198.18.0.2:443")
	routeUpload = netip.MustParseAddrPort("198.18.0.3:443")
)

// settleTime is how long after its last disturbance a system must keep the
// rules that have a time bound.
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
	// byAddress has the target process at each address.
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

// New returns a world that is not started.
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

func latency(from, to model.ZoneName) time.Duration {
	if from == to {
		return 200 * time.Microsecond
	}
	return 600 * time.Microsecond
}

// Start starts members, balancers and targets, declares the first
// configuration and begins to open flows.
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

// RunFor lets virtual time pass.
func (world *World) RunFor(duration time.Duration) { world.run.Scheduler.RunFor(duration) }

// Now returns the virtual time.
func (world *World) Now() time.Time { return world.run.Scheduler.Now() }

// disturb notes that a fault begins or ends now.
func (world *World) recordDisturbance(kind, detail string) {
	world.disturbedAt = world.Now()
	world.run.Trace.Add("story", kind, detail)
}

// skew gives the process a clock of its own from its next start on.
func (world *World) skewClock(process *kernel.Process) {
	if !world.options.Skewed {
		return
	}
	process.SetClock(kernel.Clock{
		Offset: world.random.Between(-time.Hour, time.Hour),
		Drift:  (float64(world.random.IntN(2001)) - 1000) / 100_000,
	})
}

// calm tells whether nothing was disturbed lately.
func (world *World) settled() bool { return world.Now().Sub(world.disturbedAt) > settleTime }

// after calls run once delay has passed, unless the world has ended.
func (world *World) after(delay time.Duration, run func()) {
	world.run.Scheduler.After(delay, func() {
		if !world.stopped {
			run()
		}
	})
}

// endpoint returns the network end of something that is no process.
func endpoint(name string, zone model.ZoneName) kernel.Endpoint {
	return kernel.Endpoint{Name: model.NodeName(name), Zone: zone}
}

// Finish heals what is left, lets the system settle and checks its end.
func (world *World) Finish() {
	world.RunFor(14 * time.Second)
	world.checks.checkEnd()
	world.stopped = true
}
