package mutant

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

const (
	// brokenNode is the balancer that runs the wrong configuration or loses updates.
	brokenNode model.NodeName = "balancer-2"
	// brokenRelay is the relay that gets no updates after faultsFrom.
	brokenRelay model.NodeName = "relay-2"
	// faultsFrom is the virtual time from which updates are lost. Targets serve traffic by then.
	faultsFrom = 25 * time.Second
)

// changeRunning applies change to the configuration that the broken node runs.
func changeRunning(parts *world.Parts, change func(current *model.Configuration) *model.Configuration) {
	standard := parts.Running
	parts.Running = func(node model.NodeName, store *rollout.Store) *model.Configuration {
		current := standard(node, store)
		if node != brokenNode {
			return current
		}
		return change(current)
	}
}

// readsPerRevert says that one in so many reads of the running configuration returns the previous
// one.
const readsPerRevert = 500

func oldRevisionRun() Mutant {
	return Mutant{
		Name:     "old-revision-run",
		Breaks:   "a balancer reverts to the configuration before the current one",
		Expect:   []checker.Invariant{checker.InvariantNoRevert},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			var previous, latest *model.Configuration
			reads := 0
			changeRunning(parts, func(current *model.Configuration) *model.Configuration {
				if current != latest {
					previous, latest = latest, current
				}
				reads++
				if reads%readsPerRevert == 0 && previous != nil {
					return previous
				}
				return current
			})
		},
	}
}

// applyDelay is longer than the bound within which a change must be in force.
const applyDelay = 9 * time.Second

func configurationAppliedLate() Mutant {
	return Mutant{
		Name:     "configuration-late",
		Breaks:   "a balancer that holds its lease applies changes after many seconds",
		Expect:   []checker.Invariant{checker.InvariantInForce},
		Scenario: namedScenario("planned-coastal"),
		Variant: func(run *sim.Run, parts *world.Parts) {
			var waiting []receivedConfiguration
			changeRunning(parts, func(current *model.Configuration) *model.Configuration {
				if len(waiting) == 0 || waiting[len(waiting)-1].configuration != current {
					waiting = append(waiting, receivedConfiguration{configuration: current, at: run.Elapsed()})
				}
				for len(waiting) > 1 && run.Elapsed()-waiting[1].at >= applyDelay {
					waiting = waiting[1:]
				}
				return waiting[0].configuration
			})
		},
	}
}

func leaseNeverEnds() Mutant {
	return Mutant{
		Name:     "lease-never-ends",
		Breaks:   "a balancer that is cut off keeps its lease",
		Expect:   []checker.Invariant{checker.InvariantInForce},
		Scenario: namedScenario("address-reuse"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			standard := parts.LeaseValid
			held := make(map[*rollout.Lease]bool)
			parts.LeaseValid = func(lease *rollout.Lease, now time.Time) bool {
				held[lease] = held[lease] || standard(lease, now)
				return held[lease]
			}
		},
	}
}

// receivedConfiguration is a configuration with the virtual time at which the node received it.
type receivedConfiguration struct {
	configuration *model.Configuration
	at            time.Duration
}

func updatePartlyLost() Mutant {
	return Mutant{
		Name:     "update-partly-lost",
		Breaks:   "a balancer applies updates without some of their rows",
		Expect:   []checker.Invariant{checker.InvariantSameConfiguration},
		Scenario: namedScenario("planned-coastal"),
		Variant:  loseServices,
	}
}

func digestIgnored() Mutant {
	return Mutant{
		Name:     "digest-ignored",
		Breaks:   "the digest of a balancer that lost a part of an update is not compared",
		Expect:   []checker.Invariant{checker.InvariantInForce},
		Scenario: namedScenario("planned-coastal"),
		Fault:    loseServices,
		Variant: func(_ *sim.Run, parts *world.Parts) {
			standard := parts.Messages
			parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
				return standard(withoutDigest(envelope))
			}
		},
	}
}

func withoutDigest(envelope protocol.Envelope) protocol.Envelope {
	switch message := envelope.Message.(type) {
	case protocol.Heartbeat:
		message.Digest = 0
		envelope.Message = message
	case protocol.Subscribe:
		message.Digest = 0
		envelope.Message = message
	}
	return envelope
}

// loseServices removes the changed services from the deltas that are sent to the broken node.
// Snapshots are not changed, so a snapshot repairs the node.
func loseServices(run *sim.Run, parts *world.Parts) {
	encoder := protocol.NewUpdateEncoder()
	decoders := make(map[model.NodeName]*protocol.UpdateDecoder)
	parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
		packed, isUpdate := envelope.Message.(protocol.PackedUpdate)
		if !isUpdate || envelope.To != brokenNode || run.Elapsed() < faultsFrom {
			return []protocol.Envelope{envelope}
		}
		if decoders[envelope.From] == nil {
			decoders[envelope.From] = protocol.NewUpdateDecoder()
		}
		update, err := decoders[envelope.From].Decode(packed)
		if err != nil {
			return []protocol.Envelope{envelope}
		}
		for index := range update.Deltas {
			update.Deltas[index].Services = nil
		}
		if changed, err := encoder.Encode(update); err == nil {
			envelope.Message = encoder.WithDescriptions(changed)
		}
		return []protocol.Envelope{envelope}
	}
}

func relayClaimsToBeCurrent() Mutant {
	return Mutant{
		Name:     "relay-claims-current",
		Breaks:   "a relay that gets no updates grants leases as if it were current",
		Expect:   []checker.Invariant{checker.InvariantInForce},
		Scenario: namedScenario("planned-coastal"),
		Fault: func(run *sim.Run, parts *world.Parts) {
			parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
				_, isUpdate := envelope.Message.(protocol.PackedUpdate)
				if isUpdate && envelope.To == brokenRelay && run.Elapsed() > faultsFrom {
					return nil
				}
				return []protocol.Envelope{envelope}
			}
		},
		Variant: func(_ *sim.Run, parts *world.Parts) {
			standard := parts.Messages
			parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
				// With a committed revision of zero, the relay's own revision is always recent
				// enough to grant a lease.
				if acknowledgement, isAcknowledgement := envelope.Message.(protocol.ReportAck); isAcknowledgement {
					acknowledgement.Committed = 0
					envelope.Message = acknowledgement
				}
				return standard(envelope)
			}
		},
	}
}
