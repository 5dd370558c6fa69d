package directworld

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/forwarder"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/outcome"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/direct/transfer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/sim/kernel"
)

// balancerInterval is the interval of the runs of a simulated balancer's controllers. A received
// message causes a run at once.
const balancerInterval = 40 * time.Millisecond

// loadReportInterval is the minimum time between two reports of open requests.
const loadReportInterval = 25 * time.Millisecond

// maxPeerFollowers bounds the balancers that follow the feed of a simulated balancer.
const maxPeerFollowers = 16

// linkObjectiveShare is the share of its route's objective within which a long request has to be
// transmitted over a balancer's link.
const linkObjectiveShare = 0.5

// balancer is a balancer on a simulated process. Its components are replaced with each incarnation.
type balancer struct {
	world      *World
	process    *kernel.Process
	table      *steer.Table
	suspects   *forwarder.Suspects
	watcher    *requests.Watcher
	subscriber *feed.Subscriber
	admission  *transfer.Admission
	// link is nil if the capacity of links is unlimited.
	link *link
	// startedAt is when the present incarnation began, in virtual time.
	startedAt time.Time
}

func newBalancer(world *World, name string, zone model.ZoneName) *balancer {
	created := &balancer{world: world}
	created.process = world.host.Add(endpoint(name, zone), balancerInterval, created.build)
	created.process.AfterRun(func(time.Time) { world.checks.balancerRan(created) })
	world.skewClock(created.process)
	return created
}

// noConnector is a feed.Connector that does nothing: the simulated network needs no connections.
type noConnector struct{}

// Connect implements feed.Connector.
func (noConnector) Connect(model.NodeName) {}

// Connected implements feed.Connector. It returns false, so that a node that does not answer is
// given up at once, as after a failed attempt to connect.
func (noConnector) Connected(model.NodeName) bool { return false }

// Disconnect implements feed.Connector.
func (noConnector) Disconnect(model.NodeName) {}

// build assembles the product's controllers of a balancer for a new incarnation.
func (balancer *balancer) build(mailbox *protocol.Mailbox, _ model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	balancer.startedAt = balancer.world.Now()
	options := steer.DefaultOptions()
	options.Zone = string(balancer.process.Zone)
	options.Self = mailbox.Self
	counter := load.NewCounter()
	options.Loads = counter
	balancer.world.options.Parts.SteerOptions(&options)
	balancer.table = steer.NewTable(options)
	var replica *feed.Replica
	subscriber := feed.NewSubscriber(feed.SubscriberOptions{
		Seeds:    balancer.world.seeds(),
		Zone:     balancer.process.Zone,
		Serves:   true,
		OnChange: func(changes directory.Changes, _ model.NodeName) { replica.Record(changes) },
	}, mailbox, dispatcher, balancer.table, noConnector{})
	replica = feed.NewReplica(balancer.table, subscriber)
	publisher := feed.NewPublisher(feed.PublisherOptions{MaxFollowers: maxPeerFollowers}, mailbox, dispatcher, replica, replica)
	reports := feed.NewReportRelay(mailbox, dispatcher, subscriber.Following)
	balancer.subscriber = subscriber
	tracker := outcome.NewTracker(mailbox, subscriber.Following)
	balancer.watcher = requests.NewWatcher(tracker, counter)
	balancer.watcher.ObserveAnswers(tracker)
	balancer.admission = balancer.newAdmission()
	if balancer.world.options.LinkRate > 0 {
		balancer.link = newLink(balancer.world, balancer)
		balancer.admission.ObserveLink(balancer.link.egress)
	}
	exchangeOptions := load.ExchangeOptions{
		Interval: loadReportInterval, Neighbours: subscriber.Neighbours,
		Collector: subscriber.FollowedMember, Capacities: balancer.table,
	}
	exchange := load.NewExchange(exchangeOptions, counter, load.NewLinkSender(mailbox, noConnector{}), dispatcher.Handle(load.Report{}))
	balancer.suspects = forwarder.NewSuspects(balancer.table, balancer.world.prober(balancer.process), mailbox, subscriber.Following, zap.NewNop())
	return kernel.Program{
		Mailbox:     mailbox,
		Controllers: []board.Controller{dispatcher, subscriber, publisher, reports, balancer.suspects, balancer.watcher, tracker, exchange},
	}
}

// newAdmission returns the admission control for long requests on the balancer's link.
func (balancer *balancer) newAdmission() *transfer.Admission {
	world := balancer.world
	sizes := transfer.NewSizes()
	balancer.watcher.ObserveSizes(sizes)
	options := transfer.Options{BytesPerSecond: world.options.LinkShare * world.options.LinkRate, ObjectiveShare: linkObjectiveShare}
	world.options.Parts.TransferOptions(&options)
	return transfer.NewAdmission(options, sizes, balancer.watcher.EachOpen)
}

// pickBalancer returns the balancer that gets one packet of a flow, as a router would choose it, or
// nil if no active balancer has a table. With Options.Affine the choice depends only on the caller's
// port and on the active balancers that have a table; otherwise it is random.
func (world *World) pickBalancer(flow *flow) *balancer {
	var active []*balancer
	for _, candidate := range world.balancers {
		if candidate.process.Active() && candidate.table.Serving() {
			active = append(active, candidate)
		}
	}
	if len(active) == 0 {
		return nil
	}
	if world.options.Affine {
		return active[int(flow.caller.Port())%len(active)]
	}
	return kernel.Pick(world.random, active)
}

// handlePacket decides about a caller's packet and forwards it, resets its flow or drops it.
func (balancer *balancer) handlePacket(packet packet) {
	world := balancer.world
	if !balancer.process.Active() {
		return
	}
	now := balancer.process.LocalNow()
	segment := packet.segment()
	if segment.Opening && segment.Attempt > 0 {
		segment.Tried, segment.AlreadyForwarded = balancer.watcher.PreviousTargets(segment)
	}
	decision := balancer.admission.Review(segment, world.options.Parts.Decide(balancer.table, segment, now), now)
	world.checks.decided(balancer, packet, decision)
	if decision.Suspect != 0 {
		balancer.suspects.Note(decision.Suspect)
		balancer.process.Wake()
	}
	switch decision.Action {
	case steer.Forward:
		target := requests.Target{Token: decision.Token, ID: decision.ID, Service: decision.Service, Capacity: decision.Capacity}
		if segment.Opening {
			balancer.watcher.OpeningForwarded(segment, target, now)
		} else {
			balancer.watcher.PacketForwarded(segment, target, now)
		}
		balancer.forward(packet, decision)
	case steer.Reset:
		world.packets.Send(balancer.process.Endpoint, packet.flow.endpoint(), func() {
			packet.flow.handleReset(balancer)
		})
	}
}
