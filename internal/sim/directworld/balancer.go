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

// balancerInterval is how often a simulated balancer's controllers run without
// a message.
const balancerInterval = 40 * time.Millisecond

// loadInterval is the least time between two reports of open requests.
const loadReportInterval = 25 * time.Millisecond

// peerFollowers bounds the balancers that a simulated balancer feeds.
const maxPeerFollowers = 16

// linkAdmission is the share of its objective in which a link has to carry a long
// request.
const linkObjectiveShare = 0.5

// balancer is one balancer on a simulated process.
type balancer struct {
	world      *World
	process    *kernel.Process
	table      *steer.Table
	suspects   *forwarder.Suspects
	watcher    *requests.Watcher
	subscriber *feed.Subscriber
	admission  *transfer.Admission
	// link is nil where links have no bound.
	link *link
	// startedAt is when the present life began.
	startedAt time.Time
}

func newBalancer(world *World, name string, zone model.ZoneName) *balancer {
	created := &balancer{world: world}
	created.process = world.host.Add(endpoint(name, zone), balancerInterval, created.build)
	created.process.AfterRun(func(time.Time) { world.checks.balancerRan(created) })
	world.skewClock(created.process)
	return created
}

// noConnector stands for connections, which the simulated network always has.
type noConnector struct{}

// Connect implements feed.Connector.
func (noConnector) Connect(model.NodeName) {}

// Connected implements feed.Connector. A node that does not answer is left at
// once, as after a failed attempt to connect.
func (noConnector) Connected(model.NodeName) bool { return false }

// Disconnect implements feed.Connector.
func (noConnector) Disconnect(model.NodeName) {}

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

// newAdmission returns the admission to the balancer's link.
func (balancer *balancer) newAdmission() *transfer.Admission {
	world := balancer.world
	sizes := transfer.NewSizes()
	balancer.watcher.ObserveSizes(sizes)
	options := transfer.Options{BytesPerSecond: world.options.LinkShare * world.options.LinkRate, ObjectiveShare: linkObjectiveShare}
	world.options.Parts.TransferOptions(&options)
	return transfer.NewAdmission(options, sizes, balancer.watcher.EachOpen)
}

// route returns a balancer for one packet of a flow: any active one that has a
// table.
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

// carry handles a caller's packet at the balancer.
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
