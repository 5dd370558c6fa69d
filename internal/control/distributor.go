package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/membership"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
)

const (
	// loadInterval is the time between two rounds of load digests to relays.
	loadInterval = time.Second
	// unchangedLoadResendInterval is the time after which unchanged loads are sent again.
	unchangedLoadResendInterval = 10 * time.Second
	// silentRelayTimeout is how long a relay that sends nothing stays a subscriber.
	silentRelayTimeout = 10 * time.Second
)

// Distributor is the controller that sends the configuration to relays, applies their reports to
// the registry, and grants relays the time until which they may grant leases to nodes. Every member
// distributes the configuration that it has applied; only the leader applies reports and grants
// time.
type Distributor struct {
	mailbox    *protocol.Mailbox
	source     rollout.Source
	registry   *membership.Registry
	leadership *leadershipTracker
	publisher  *rollout.Publisher

	reports       *board.Queue[protocol.Envelope]
	subscribes    *board.Queue[protocol.Envelope]
	lastMessageAt map[model.NodeName]time.Time
	loadsSentAt   time.Time
	sentDigests   map[digestKey]sentDigest
}

func newDistributor(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, source rollout.Source,
	registry *membership.Registry, leadership *leadershipTracker) *Distributor {
	dispatcher.AcceptForwarded()
	return &Distributor{
		mailbox:       mailbox,
		source:        source,
		registry:      registry,
		leadership:    leadership,
		publisher:     rollout.NewPublisher(mailbox, source),
		reports:       dispatcher.Handle(protocol.Report{}),
		subscribes:    dispatcher.Handle(protocol.Subscribe{}),
		lastMessageAt: make(map[model.NodeName]time.Time),
	}
}

// Name implements board.Controller.
func (distributor *Distributor) Name() string { return "distributor" }

// Queues returns the queues whose notices should run the controller without waiting for its
// interval.
func (distributor *Distributor) Queues() []*board.Queue[protocol.Envelope] {
	return []*board.Queue[protocol.Envelope]{distributor.reports, distributor.subscribes}
}

// Reconcile implements board.Controller.
func (distributor *Distributor) Reconcile(now time.Time) {
	status, changed := distributor.leadership.update(now)
	if changed {
		distributor.registry.Clear()
		distributor.sentDigests = nil
	}
	distributor.receiveSubscribes(now)
	reports := distributor.receiveReports(now)
	distributor.removeSilentRelays(now)
	// Updates are sent before the grants that confirm them.
	distributor.publisher.Publish(now, rollout.Confirmation{
		Committed:   distributor.source.Current().Revision,
		ConfirmedAt: status.ConfirmedAt,
	})
	for _, report := range reports {
		distributor.acknowledge(now, report, status.Leader, status.ConfirmedAt)
	}
	distributor.sendLoads(now)
}

// receiveSubscribes records subscriptions. The next Publish sends the relays the updates that they
// need.
func (distributor *Distributor) receiveSubscribes(now time.Time) {
	for _, envelope := range distributor.subscribes.Drain() {
		if subscribe, isSubscribe := envelope.Message.(protocol.Subscribe); isSubscribe {
			distributor.lastMessageAt[envelope.From] = now
			distributor.publisher.Resync(now, envelope.From, subscribe)
		}
	}
}

// receiveReports returns the queued reports after recording the revisions that their relays hold.
func (distributor *Distributor) receiveReports(now time.Time) []protocol.Envelope {
	reports := distributor.reports.Drain()
	for _, envelope := range reports {
		if report, isReport := envelope.Message.(protocol.Report); isReport {
			distributor.lastMessageAt[envelope.From] = now
			distributor.confirmApplied(now, envelope.From, report)
		}
	}
	return reports
}

// confirmApplied records with the publisher which revision a relay holds. Relays that reach control
// through another relay are left out: they get their updates from that relay.
func (distributor *Distributor) confirmApplied(now time.Time, relay model.NodeName, report protocol.Report) {
	if !distributor.mailbox.ReachedViaRelay(relay) {
		distributor.publisher.Confirm(now, relay, report.Applied, report.Digest)
	}
}

// acknowledge answers a report. The leader also applies it and grants the relay time, counted from
// when a quorum last confirmed the leadership, so a leader that resumes after a pause of at least
// rollout.LeaseLength grants nothing.
func (distributor *Distributor) acknowledge(now time.Time, envelope protocol.Envelope, leader model.NodeName, confirmedAt time.Time) {
	report, isReport := envelope.Message.(protocol.Report)
	if !isReport {
		return
	}
	acknowledgement := protocol.ReportAck{Sequence: report.Sequence, Leader: leader}
	if distributor.leadership.Leadership().Leading {
		if distributor.registry.ApplyReport(now, envelope.From, report) {
			acknowledgement.LeaseFor = max(0, min(rollout.LeaseLength, rollout.LeaseLength-now.Sub(confirmedAt)))
			acknowledgement.Committed = distributor.source.Current().Revision
			distributor.registry.Grant(envelope.From, now.Add(acknowledgement.LeaseFor))
		} else {
			acknowledgement.WantFull = true
		}
	}
	distributor.mailbox.Send(envelope.From, acknowledgement)
}

// removeSilentRelays ends the subscriptions of relays that sent nothing for silentRelayTimeout.
func (distributor *Distributor) removeSilentRelays(now time.Time) {
	for name, lastMessageAt := range distributor.lastMessageAt {
		if now.Sub(lastMessageAt) > silentRelayTimeout {
			delete(distributor.lastMessageAt, name)
			distributor.publisher.Remove(name)
		}
	}
}

// sendLoads sends each relay the loads of the targets that belong to a service of its agents but
// whose agents report to other relays. Unchanged loads are repeated only every
// unchangedLoadResendInterval, for relays that lost a digest.
func (distributor *Distributor) sendLoads(now time.Time) {
	if !distributor.leadership.Leadership().Leading || now.Sub(distributor.loadsSentAt) < loadInterval {
		return
	}
	distributor.loadsSentAt = now
	index := indexLoads(distributor.registry, distributor.source.Current())
	sent := make(map[digestKey]sentDigest)
	for _, name := range slices.Sorted(maps.Keys(index.servicesByRelay)) {
		relay, _ := distributor.registry.Relays.Get(name)
		for _, service := range slices.Sorted(maps.Keys(index.servicesByRelay[name])) {
			loads := index.remoteLoads(name, service)
			if len(loads) == 0 {
				continue
			}
			key := digestKey{relay: name, incarnation: relay.Incarnation, service: service}
			last, known := distributor.sentDigests[key]
			if known && now.Sub(last.sentAt) < unchangedLoadResendInterval && slices.Equal(last.loads, loads) {
				sent[key] = last
				continue
			}
			sent[key] = sentDigest{loads: loads, sentAt: now}
			distributor.mailbox.Send(name, protocol.LoadDigest{Service: service, Loads: loads})
		}
	}
	distributor.sentDigests = sent
}

// digestKey identifies the load digest of one service for one relay process.
type digestKey struct {
	relay       model.NodeName
	incarnation model.Incarnation
	service     model.ServiceID
}

// sentDigest is the load digest that was last sent for a digestKey.
type sentDigest struct {
	loads  []model.TargetLoad
	sentAt time.Time
}

// loadIndex groups the reported loads by service, and lists for each relay the services of its
// agents.
type loadIndex struct {
	servicesByRelay map[model.NodeName]map[model.ServiceID]struct{}
	loadsByService  map[model.ServiceID][]relayedLoad
}

// relayedLoad is a load and the relay that reported it.
type relayedLoad struct {
	relay model.NodeName
	load  model.TargetLoad
}

// indexLoads returns the loads of all nodes of which some relay reported a fresh heartbeat, as far as
// their targets are in the configuration.
func indexLoads(registry *membership.Registry, configuration *model.Configuration) loadIndex {
	index := loadIndex{
		servicesByRelay: make(map[model.NodeName]map[model.ServiceID]struct{}),
		loadsByService:  make(map[model.ServiceID][]relayedLoad),
	}
	registry.View().Range(func(node membership.Node) bool {
		relay, connected := node.FreshRelay()
		if node.Load == nil || !connected {
			return true
		}
		if target, known := configuration.Targets[node.Load.Target]; known {
			index.add(relay, target.Service, *node.Load)
		}
		return true
	})
	return index
}

func (index *loadIndex) add(relay model.NodeName, service model.ServiceID, load model.TargetLoad) {
	if index.servicesByRelay[relay] == nil {
		index.servicesByRelay[relay] = make(map[model.ServiceID]struct{})
	}
	index.servicesByRelay[relay][service] = struct{}{}
	index.loadsByService[service] = append(index.loadsByService[service], relayedLoad{relay: relay, load: load})
}

// remoteLoads returns the loads of a service that other relays reported, in order of target.
func (index *loadIndex) remoteLoads(relay model.NodeName, service model.ServiceID) []model.TargetLoad {
	var loads []model.TargetLoad
	for _, relayed := range index.loadsByService[service] {
		if relayed.relay != relay {
			loads = append(loads, relayed.load)
		}
	}
	slices.SortFunc(loads, func(left, right model.TargetLoad) int { return cmp.Compare(left.Target, right.Target) })
	return loads
}
