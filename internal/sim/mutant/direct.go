package mutant

import (
	"slices"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/direct/transfer"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
	"merlinpaddle/internal/reconfigure"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/directworld"
	"merlinpaddle/internal/sim/world"
)

// directDecision returns a variant that replaces the decisions of balancers about packets.
func directDecision(decide func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) { parts.Direct.Decide = decide }
}

// directUpdates returns a variant that applies change to the updates that are sent to balancers.
func directUpdates(change func(update *feed.Update)) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) {
		parts.Direct.MessageFilter = func(envelope protocol.Envelope) []protocol.Envelope {
			if update, isUpdate := envelope.Message.(feed.Update); isUpdate {
				update.Changes.Targets = append([]directory.TargetEntry(nil), update.Changes.Targets...)
				change(&update)
				envelope.Message = update
			}
			return []protocol.Envelope{envelope}
		}
	}
}

// directMessages returns a variant that passes each control message to change, and drops it if the
// result is false.
func directMessages(change func(message any) (any, bool)) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) {
		parts.Direct.MessageFilter = func(envelope protocol.Envelope) []protocol.Envelope {
			changed, kept := change(envelope.Message)
			if !kept {
				return nil
			}
			envelope.Message = changed
			return []protocol.Envelope{envelope}
		}
	}
}

// directChoice returns a variant that changes how balancers choose targets.
func directChoice(change func(options *steer.Options)) PartsChange {
	return func(_ *sim.Run, parts *world.Parts) { parts.Direct.SteerOptions = change }
}

// directTargets returns a variant that applies change to each target in the updates that are sent
// to balancers.
func directTargets(change func(target *directory.TargetEntry)) PartsChange {
	return directUpdates(func(update *feed.Update) {
		for index := range update.Changes.Targets {
			change(&update.Changes.Targets[index])
		}
	})
}

// directMutants returns the broken variants of direct services, in a fixed order.
func directMutants() []Mutant {
	return []Mutant{
		{
			Name:     "direct-read-unconfirmed",
			Breaks:   "a member answers a read of the declared configuration from its own copy",
			Expect:   []checker.Invariant{checker.InvariantLinearizable},
			Scenario: namedScenario("direct-core-cuts"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.ReadConfiguration = func(member *directworld.Member, _, _ time.Time, done func(*declared.Configuration, error)) {
					done(member.Directory.Configuration(), nil)
				}
			},
		},
		{
			Name:     "direct-leave-unheard",
			Breaks:   "the leader is not told that a member is about to stop, so the member keeps its vote",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-planned-replacements"),
			Variant: directMessages(func(message any) (any, bool) {
				_, isRequest := message.(replica.LeaveRequest)
				return message, !isRequest
			}),
		},
		{
			Name:     "direct-leadership-passed-on",
			Breaks:   "leaders hand over leadership to members that are leaving, again and again",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-replaced-core"),
			Variant:  passLeadershipToLeaving,
		},
		{
			Name:     "direct-silent-voters-kept",
			Breaks:   "a voter that ended without notice keeps its vote for three seconds",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-unannounced-ends"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.ReconfigureOptions = func(options *reconfigure.Options) { options.SilentAfter = 3 * time.Second }
			},
		},
		{
			Name:     "direct-ends-unnoticed",
			Breaks:   "members do not act on the end of another one before it has been silent",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-noticed-ends"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.NoticeEnd = func(*replica.Controller, model.NodeName) {}
			},
		},
		{
			Name:     "direct-successor-unknown",
			Breaks:   "new members do not tell their zones, so no vote moves to them before the members that they replace end",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-planned-replacements"),
			Variant: directMessages(func(message any) (any, bool) {
				if request, isRequest := message.(replica.JoinRequest); isRequest {
					request.Zone = ""
					message = request
				}
				return message, true
			}),
		},
		{
			Name:     "direct-departure-of-earlier-start",
			Breaks:   "a departure is recorded for an earlier start than the one that left",
			Expect:   []checker.Invariant{checker.InvariantDrain},
			Scenario: namedScenario("direct-unheard-restarts"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				standard := parts.Direct.RecordDeparture
				parts.Direct.RecordDeparture = func(member *directworld.Member, departure directory.Departure, now, deadline time.Time, done func(error)) {
					departure.Started = max(1, departure.Started-1)
					standard(member, departure, now, deadline, done)
				}
			},
		},
		{
			Name:     "direct-left-targets-failed",
			Breaks:   "balancers treat targets that left as failed",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-leaving-addresses"),
			Variant: directTargets(func(target *directory.TargetEntry) {
				if target.State == directory.TargetLeft {
					target.State = directory.TargetFailed
				}
			}),
		},
		{
			Name:     "direct-renewals-unheard",
			Breaks:   "followers do not forward renewals, so that a late call replaces the target that lives at its address",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-foreign-calls"),
			Variant: directMessages(func(message any) (any, bool) {
				_, isRenewals := message.(registrar.Renewals)
				return message, !isRenewals
			}),
		},
		{
			Name:     "direct-token-ignored",
			Breaks:   "a balancer chooses a new target for every packet instead of using the token",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-planned"),
			Variant: directDecision(func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision {
				segment.Opening = true
				return table.Decide(segment, now)
			}),
		},
		{
			Name:     "direct-lost-token-reset",
			Breaks:   "balancers do not know some tokens and reset the flows that carry them",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-target-deaths"),
			Variant: directDecision(func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision {
				if !segment.Opening && segment.Token%8 == 7 {
					segment.Token += 1 << 20
				}
				decision := table.Decide(segment, now)
				if decision.Reason == steer.ReasonUnknownToken {
					decision.Action = steer.Reset
				}
				return decision
			}),
		},
		{
			Name:     "direct-former-starts-reset",
			Breaks:   "balancers reset the flows that carry the token of a target's previous incarnation",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-restarted-targets"),
			Variant: directDecision(func(table *steer.Table, segment steer.Segment, now time.Time) steer.Decision {
				decision := table.Decide(segment, now)
				if decision.Reason == steer.ReasonRestarted {
					decision.Action = steer.Reset
				}
				return decision
			}),
		},
		{
			Name:     "direct-drain-ignored",
			Breaks:   "balancers treat draining targets as ready",
			Expect:   []checker.Invariant{checker.InvariantDrain},
			Scenario: namedScenario("direct-planned"),
			Variant: directTargets(func(target *directory.TargetEntry) {
				if target.State == directory.TargetDraining {
					target.State = directory.TargetReady
				}
			}),
		},
		{
			Name:     "direct-service-crossed",
			Breaks:   "balancers add targets of one service to another",
			Expect:   []checker.Invariant{checker.InvariantServiceIsolation},
			Scenario: namedScenario("direct-planned"),
			Variant: directTargets(func(target *directory.TargetEntry) {
				if target.Token%4 == 1 {
					target.Service = "ledger"
				}
			}),
		},
		{
			Name:     "direct-update-partly-lost",
			Breaks:   "an update loses some of its targets and is applied as complete",
			Expect:   []checker.Invariant{checker.InvariantSameConfiguration},
			Scenario: namedScenario("direct-planned"),
			Variant: directUpdates(func(update *feed.Update) {
				if len(update.Changes.Targets) == 1 && update.Changes.Targets[0].Token%3 == 0 {
					update.Changes.Targets = nil
				}
			}),
		},
		{
			Name:     "direct-updates-stale",
			Breaks:   "members tell balancers that an update is current although no leader confirmed it",
			Expect:   []checker.Invariant{checker.InvariantInForce},
			Scenario: namedScenario("direct-bad-disks"),
			Variant: directUpdates(func(update *feed.Update) {
				update.Fresh = true
			}),
		},
		{
			Name:     "direct-entries-not-synced",
			Breaks:   "registrations and declarations are acknowledged before they are written",
			Expect:   []checker.Invariant{checker.InvariantLinearizable, checker.InvariantCommittedKept},
			Scenario: namedScenario("direct-power-loss"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.Disk = func(standard filesystem.FileSystem) filesystem.FileSystem {
					return wrappedLogDisk{FileSystem: standard, wrap: func(file filesystem.File) filesystem.File {
						return &delayedFile{File: file}
					}}
				}
			},
		},
		{
			Name:     "direct-living-target-failed",
			Breaks:   "balancers treat draining targets as failed",
			Expect:   []checker.Invariant{checker.InvariantFlowKept},
			Scenario: namedScenario("direct-planned"),
			Variant: directTargets(func(target *directory.TargetEntry) {
				if target.State == directory.TargetDraining {
					target.State = directory.TargetFailed
				}
			}),
		},
		{
			Name:     "direct-choice-blind",
			Breaks:   "balancers choose targets by hash alone, without regard to open requests",
			Expect:   []checker.Invariant{checker.InvariantTimely},
			Scenario: namedScenario("direct-heavy-load"),
			Variant:  directChoice(func(options *steer.Options) { options.Candidates, options.SpilloverCandidates = 1, 0 }),
		},
		{
			Name:     "direct-admission-off",
			Breaks:   "balancers admit every flow, however high the load is",
			Expect:   []checker.Invariant{checker.InvariantTimely},
			Scenario: namedScenario("direct-overload"),
			Variant:  directChoice(func(options *steer.Options) { options.MaxObjectiveShare = 0 }),
		},
		{
			Name:     "direct-refuses-early",
			Breaks:   "balancers refuse flows that targets could serve in time",
			Expect:   []checker.Invariant{checker.InvariantTimely},
			Scenario: namedScenario("direct-heavy-load"),
			Variant:  directChoice(func(options *steer.Options) { options.MaxObjectiveShare = 0.05 }),
		},
		{
			Name:     "direct-load-not-added-up",
			Breaks:   "members of a large system do not send the summed load to balancers",
			Expect:   []checker.Invariant{checker.InvariantTimely},
			Scenario: namedScenario("direct-large-overload"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.CollectorOptions = func(options *load.CollectorOptions) { options.Interval = 0 }
			},
		},
		{
			Name:     "direct-links-admit-all",
			Breaks:   "balancers admit every upload, however saturated their links are",
			Expect:   []checker.Invariant{checker.InvariantTimely},
			Scenario: namedScenario("direct-full-links"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.TransferOptions = func(options *transfer.Options) { options.ObjectiveShare = 0 }
			},
		},
		{
			Name:     "direct-evacuation-ignored",
			Breaks:   "balancers are not notified of evacuations of zones",
			Expect:   []checker.Invariant{checker.InvariantEvacuated},
			Scenario: namedScenario("direct-evacuations"),
			Variant:  directUpdates(func(update *feed.Update) { update.Changes.Zones = nil }),
		},
		{
			Name:     "direct-counts-unproven",
			Breaks:   "balancers refuse flows by request counts without sufficient evidence that they see all packets of flows",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-relayed-feed"),
			Variant: directChoice(func(options *steer.Options) {
				options.Loads = alwaysSufficient{options.Loads}
			}),
		},
		{
			Name:     "direct-errors-unseen",
			Breaks:   "balancers do not report answers that look like errors",
			Expect:   []checker.Invariant{checker.InvariantProgress},
			Scenario: namedScenario("direct-erring-targets"),
			Variant: func(_ *sim.Run, parts *world.Parts) {
				parts.Direct.MessageFilter = func(envelope protocol.Envelope) []protocol.Envelope {
					if report, isReport := envelope.Message.(feed.OutcomeReport); isReport {
						report.Counts = slices.Clone(report.Counts)
						for index := range report.Counts {
							report.Counts[index].Hasty = 0
						}
						envelope.Message = report
					}
					return []protocol.Envelope{envelope}
				}
			},
		},
		{
			Name:     "direct-coldness-ignored",
			Breaks:   "balancers treat cold targets as warm",
			Expect:   []checker.Invariant{checker.InvariantColdRate},
			Scenario: namedScenario("direct-cold-returns"),
			Variant: directTargets(func(target *directory.TargetEntry) {
				target.Cold = 0
			}),
		},
	}
}

// passLeadershipToLeaving makes members that asked for their release start an election whenever a leader
// sends them a heartbeat.
func passLeadershipToLeaving(_ *sim.Run, parts *world.Parts) {
	leaving := make(map[model.NodeName]bool)
	parts.Direct.MessageFilter = func(envelope protocol.Envelope) []protocol.Envelope {
		sent := []protocol.Envelope{envelope}
		switch message := envelope.Message.(type) {
		case replica.LeaveRequest:
			leaving[envelope.From] = true
		case raft.Message:
			if message.Kind == raft.MessageHeartbeat && leaving[envelope.To] {
				message.Kind = raft.MessageTimeoutNow
				envelope.Message = message
				sent = append(sent, envelope)
			}
		}
		return sent
	}
}

// alwaysSufficient reports sufficient evidence for refusals from the start of a balancer.
type alwaysSufficient struct {
	steer.Loads
}

// SufficientForRefusal implements steer.Loads.
func (alwaysSufficient) SufficientForRefusal(time.Time) bool { return true }
