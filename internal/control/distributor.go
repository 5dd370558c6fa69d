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
	// loadInterval is the time between two load digests to relays.
	loadInterval = time.Second
	// unchangedLoadInterval is the time after which loads that did not change
	// are sent again.
	unchangedLoadInterval = 10 * time.Second
	// forgetRelayAfter is how long a silent relay stays a subscriber.
	forgetRelayAfter = 10 * time.Second
)

// Distributor is the controller that sends the configuration to relays, folds
// their reports into the registry, and grants them the time for which they may
// grant leases. Every member distributes what it has applied; only the leader
// folds and grants.
type Distributor struct {
	mailbox    *protocol.Mailbox
	source     rollout.Source
	registry   *membership.Registry
	leadership *leadershipTracker
	publisher  *rollout.Publisher

	reports    *board.Queue[protocol.Envelope]
	subscribes *board.Queue[protocol.Envelope]
	heardAt    map[model.NodeName]time.Time
	loadsAt    time.Time
	sentLoads  map[loadsKey]sentLoads
}

func newDistributor(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, source rollout.Source,
	registry *membership.Registry, leadership *leadershipTracker) *Distributor {
	dispatcher.AcceptForwarded()
	return &Distributor{
		mailbox:    mailbox,
		source:     source,
		registry:   registry,
		leadership: leadership,
		publisher:  rollout.NewPublisher(mailbox, source),
		reports:    dispatcher.Handle(protocol.Report{}),
		subscribes: dispatcher.Handle(protocol.Subscribe{}),
		heardAt:    make(map[model.NodeName]time.Time),
	}
}

// Name implements board.Controller.
func (distributor *Distributor) Name() string { return "distributor" }

// Queues returns the queues whose notices should run the controller at once.
func (distributor *Distributor) Queues() []*board.Queue[protocol.Envelope] {
	return []*board.Queue[protocol.Envelope]{distributor.reports, distributor.subscribes}
}

// Reconcile implements board.Controller.
func (distributor *Distributor) Reconcile(now time.Time) {
	status, changed := distributor.leadership.update(now)
	if changed {
		distributor.registry.Clear()
		distributor.sentLoads = nil
	}
	distributor.receiveSubscribes(now)
	// Updates go out before the grants that confirm them.
	reports := distributor.receiveReports(now)
	distributor.forgetRelays(now)
	distributor.publisher.Publish(now, rollout.Confirmation{
		Committed:   distributor.source.Current().Revision,
		ConfirmedAt: status.ConfirmedAt,
	})
	for _, report := range reports {
		distributor.answer(now, report, status.Leader, status.ConfirmedAt)
	}
	distributor.sendLoads(now)
}

func (distributor *Distributor) receiveSubscribes(now time.Time) {
	for _, envelope := range distributor.subscribes.Drain() {
		if subscribe, isSubscribe := envelope.Message.(protocol.Subscribe); isSubscribe {
			distributor.heardAt[envelope.From] = now
			distributor.publisher.Resync(now, envelope.From, subscribe)
		}
	}
}

func (distributor *Distributor) receiveReports(now time.Time) []protocol.Envelope {
	reports := distributor.reports.Drain()
	for _, envelope := range reports {
		if report, isReport := envelope.Message.(protocol.Report); isReport {
			distributor.heardAt[envelope.From] = now
			distributor.confirm(now, envelope.From, report)
		}
	}
	return reports
}

// confirm tells the publisher what a relay holds. A far relay gets its updates
// from the relay that it is connected to.
func (distributor *Distributor) confirm(now time.Time, relay model.NodeName, report protocol.Report) {
	if !distributor.mailbox.ReachedViaRelay(relay) {
		distributor.publisher.Confirm(now, relay, report.Applied, report.Digest)
	}
}

// answer acknowledges a report. The leader grants for as long as its own
// leadership is confirmed: a leader that was stopped and wakes grants nothing.
func (distributor *Distributor) answer(now time.Time, envelope protocol.Envelope, leader model.NodeName, confirmedAt time.Time) {
	report, isReport := envelope.Message.(protocol.Report)
	if !isReport {
		return
	}
	acknowledgement := protocol.ReportAck{Sequence: report.Sequence, Leader: leader}
	if distributor.leadership.Leadership().Leading {
		if distributor.registry.Fold(now, envelope.From, report) {
			acknowledgement.LeaseFor = max(0, min(rollout.LeaseLength, rollout.LeaseLength-now.Sub(confirmedAt)))
			acknowledgement.Committed = distributor.source.Current().Revision
			distributor.registry.Grant(envelope.From, now.Add(acknowledgement.LeaseFor))
		} else {
			acknowledgement.WantFull = true
		}
	}
	distributor.mailbox.Send(envelope.From, acknowledgement)
}

func (distributor *Distributor) forgetRelays(now time.Time) {
	for name, heardAt := range distributor.heardAt {
		if now.Sub(heardAt) > forgetRelayAfter {
			delete(distributor.heardAt, name)
			distributor.publisher.Remove(name)
		}
	}
}

// sendLoads sends each relay the loads of the targets that share a service
// with its agents but report to other relays. Loads that did not change are
// repeated seldom, for relays that missed them.
func (distributor *Distributor) sendLoads(now time.Time) {
	if !distributor.leadership.Leadership().Leading || now.Sub(distributor.loadsAt) < loadInterval {
		return
	}
	distributor.loadsAt = now
	fold := foldLoads(distributor.registry, distributor.source.Current())
	sent := make(map[loadsKey]sentLoads)
	for _, name := range slices.Sorted(maps.Keys(fold.services)) {
		relay, _ := distributor.registry.Relays.Get(name)
		for _, service := range slices.Sorted(maps.Keys(fold.services[name])) {
			loads := fold.remote(name, service)
			if len(loads) == 0 {
				continue
			}
			key := loadsKey{relay: name, incarnation: relay.Incarnation, service: service}
			last, known := distributor.sentLoads[key]
			if known && now.Sub(last.at) < unchangedLoadInterval && slices.Equal(last.loads, loads) {
				sent[key] = last
				continue
			}
			sent[key] = sentLoads{loads: loads, at: now}
			distributor.mailbox.Send(name, protocol.LoadDigest{Service: service, Loads: loads})
		}
	}
	distributor.sentLoads = sent
}

// loadsKey names the loads of one service for one relay process.
type loadsKey struct {
	relay       model.NodeName
	incarnation model.Incarnation
	service     model.ServiceID
}

// sentLoads is what a relay process was last sent.
type sentLoads struct {
	loads []model.TargetLoad
	at    time.Time
}

// loadFold sorts the reported loads by service, and notes which relay serves
// which services.
type loadFold struct {
	services map[model.NodeName]map[model.ServiceID]struct{}
	loads    map[model.ServiceID][]relayedLoad
}

type relayedLoad struct {
	relay model.NodeName
	load  model.TargetLoad
}

func foldLoads(registry *membership.Registry, configuration *model.Configuration) loadFold {
	fold := loadFold{
		services: make(map[model.NodeName]map[model.ServiceID]struct{}),
		loads:    make(map[model.ServiceID][]relayedLoad),
	}
	registry.View().Range(func(node membership.Node) bool {
		relay, held := node.FreshHolder()
		if node.Load == nil || !held {
			return true
		}
		if target, known := configuration.Targets[node.Load.Target]; known {
			fold.add(relay, target.Service, *node.Load)
		}
		return true
	})
	return fold
}

func (fold *loadFold) add(relay model.NodeName, service model.ServiceID, load model.TargetLoad) {
	if fold.services[relay] == nil {
		fold.services[relay] = make(map[model.ServiceID]struct{})
	}
	fold.services[relay][service] = struct{}{}
	fold.loads[service] = append(fold.loads[service], relayedLoad{relay: relay, load: load})
}

// remote returns the loads of a service that come from other relays.
func (fold *loadFold) remote(relay model.NodeName, service model.ServiceID) []model.TargetLoad {
	var loads []model.TargetLoad
	for _, relayed := range fold.loads[service] {
		if relayed.relay != relay {
			loads = append(loads, relayed.load)
		}
	}
	slices.SortFunc(loads, func(left, right model.TargetLoad) int { return cmp.Compare(left.Target, right.Target) })
	return loads
}
