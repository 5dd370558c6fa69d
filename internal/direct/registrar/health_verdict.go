package registrar

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// handleHealthReports handles balancers' reports of failed probes. A refused probe fails the target
// at once. An unanswered one counts as the finding of one node, and the leader probes the target
// too.
func (health *HealthMonitor) handleHealthReports(now time.Time) {
	for _, received := range protocol.Receive[feed.HealthReport](health.healthReports) {
		report := received.Message
		target, exists := health.directory.Incarnation(report.Token)
		if !exists || target.State == directory.TargetFailed {
			continue
		}
		health.logger.Info("target reported dead",
			zap.Uint64("target", uint64(target.ID)),
			zap.Stringer("verdict", report.Verdict),
			zap.String("balancer", string(report.Balancer)),
			zap.Duration("renewed_ago", now.Sub(health.observationOf(target.Token).seenAt)))
		if report.Verdict == feed.VerdictRefused {
			health.markFailed(now, target, "a balancer was refused")
			continue
		}
		health.recordUnanswered(now, target, report.Balancer)
		health.probe(now, target.Token, target.Address)
	}
}

// recordUnanswered records that a node got no answer from the target. The target counts as
// failed when two nodes found this recently and it also missed a renewal. Unanswered probes
// alone are not enough: on a congested link a probe times out although the target is healthy,
// and failing a target resets its open flows.
func (health *HealthMonitor) recordUnanswered(now time.Time, target directory.Target, reporter model.NodeName) {
	observed := health.observationOf(target.Token)
	missed := now.Sub(observed.seenAt) > health.options.MissedAfter
	if observed.addReporter(now, reporter) >= minReporters && missed {
		health.markFailed(now, target, "several processes got no answer, and no renewal came")
	}
}

// probe starts a probe unless one was started within MinProbeInterval.
func (health *HealthMonitor) probe(now time.Time, token directory.Token, address netip.AddrPort) {
	observed := health.observationOf(token)
	if now.Sub(observed.probedAt) < health.options.MinProbeInterval {
		return
	}
	observed.probedAt = now
	health.prober.Start(uint64(token), address)
}

const (
	// minReporters is the number of nodes that must get no answer from a target before it
	// counts as failed.
	minReporters = 2
	// reporterTTL is how long the finding of a node counts.
	reporterTTL = 1500 * time.Millisecond
	// leaderOnlySilence is how long a target must not have renewed or answered before the
	// leader's own probes suffice to fail it. leaderOnlyProbes is how many consecutive probes
	// must be unanswered: a single one may be lost on the network.
	leaderOnlySilence = 3 * time.Second
	leaderOnlyProbes  = 2
)

// handleProbeResults handles the results of the leader's own probes.
func (health *HealthMonitor) handleProbeResults(now time.Time) {
	for _, result := range health.prober.Results.Drain() {
		target, exists := health.directory.Incarnation(directory.Token(result.Key))
		if !exists {
			continue
		}
		observed := health.observationOf(target.Token)
		switch result.Outcome {
		case probe.Refused:
			health.markFailed(now, target, "the leader was refused")
		case probe.Silent:
			observed.unansweredProbes++
			health.recordUnanswered(now, target, health.mailbox.Self)
			if observed.unansweredProbes >= leaderOnlyProbes && now.Sub(observed.seenAt) > leaderOnlySilence {
				health.markFailed(now, target, "the leader got no answer, and no renewal came")
			}
		case probe.Answered:
			observed.reporters = nil
			observed.unansweredProbes = 0
			observed.seenAt = now
			observed.answeredAt = now
		}
	}
}

// markFailed proposes that a target has failed, for the cause that is logged.
func (health *HealthMonitor) markFailed(now time.Time, target directory.Target, cause string) {
	observed := health.observationOf(target.Token)
	health.logger.Info("target failed",
		zap.Uint64("target", uint64(target.ID)),
		zap.Uint32("token", uint32(target.Token)),
		zap.String("cause", cause),
		zap.Duration("renewed_ago", now.Sub(observed.seenAt)),
		zap.Int("witnesses", len(observed.reporters)))
	observed.failedAt = now
	health.propose(now, target.Token, directory.Command{TargetHealth: &directory.HealthChange{Failed: []directory.Token{target.Token}}})
}

// minProposalInterval is the minimum time between two proposals about a target.
const minProposalInterval = 500 * time.Millisecond

// propose proposes a command about a target unless one was proposed within minProposalInterval.
// It doesn't wait for the result.
func (health *HealthMonitor) propose(now time.Time, token directory.Token, command directory.Command) {
	observed := health.observationOf(token)
	if now.Sub(observed.proposedAt) < minProposalInterval {
		return
	}
	observed.proposedAt = now
	data, err := directory.EncodeCommand(command)
	if err != nil {
		return
	}
	health.group.Submit(data, func([]byte, error) {})
}
