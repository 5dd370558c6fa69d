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

func (health *HealthMonitor) takeReports(now time.Time) {
	for _, received := range protocol.Receive[feed.HealthReport](health.reports) {
		report := received.Message
		target, exists := health.directory.Incarnation(report.Token)
		if !exists || target.State == directory.TargetFailed {
			continue
		}
		health.logger.Info("target reported dead",
			zap.Uint64("target", uint64(target.ID)),
			zap.Stringer("verdict", report.Verdict),
			zap.String("balancer", string(report.Balancer)),
			zap.Duration("renewed_ago", now.Sub(health.observation(target.Token).seenAt)))
		if report.Verdict == feed.VerdictRefused {
			health.fail(now, target, "a balancer was refused")
			continue
		}
		health.takeSilence(now, target, report.Balancer)
		health.probe(now, target.Token, target.Address)
	}
}

// takeSilence counts a process that got no answer from the target. A target is
// dead when two did lately and it also missed a renewal: on a link where
// packets wait, a probe runs out of time although the target is well, and a
// failed target's open flows are reset.
func (health *HealthMonitor) takeSilence(now time.Time, target directory.Target, witness model.NodeName) {
	known := health.observation(target.Token)
	missed := now.Sub(known.seenAt) > health.options.MissedAfter
	if known.witness(now, witness) >= silentWitnesses && missed {
		health.fail(now, target, "several processes got no answer, and no renewal came")
	}
}

func (health *HealthMonitor) probe(now time.Time, token directory.Token, address netip.AddrPort) {
	known := health.observation(token)
	if now.Sub(known.probedAt) < health.options.MinProbeInterval {
		return
	}
	known.probedAt = now
	health.prober.Start(uint64(token), address)
}

const (
	// silentWitnesses is the number of processes that must find a target
	// silent before it counts as dead.
	silentWitnesses = 2
	// witnessFor is how long a process's finding counts.
	witnessFor = 1500 * time.Millisecond
	// aloneAfter is how long a target may send no renewal before the leader's
	// own finding is enough, and aloneProbes the number of probes in a row
	// that it takes: one may be lost on the way.
	aloneAfter  = 3 * time.Second
	aloneProbes = 2
)

func (health *HealthMonitor) takeResults(now time.Time) {
	for _, result := range health.prober.Results.Drain() {
		target, exists := health.directory.Incarnation(directory.Token(result.Key))
		if !exists {
			continue
		}
		known := health.observation(target.Token)
		switch result.Outcome {
		case probe.Refused:
			health.fail(now, target, "the leader was refused")
		case probe.Silent:
			known.silentProbes++
			health.takeSilence(now, target, health.mailbox.Self)
			if known.silentProbes >= aloneProbes && now.Sub(known.seenAt) > aloneAfter {
				health.fail(now, target, "the leader got no answer, and no renewal came")
			}
		case probe.Answered:
			known.witnesses = nil
			known.silentProbes = 0
			known.seenAt = now
			known.answeredAt = now
		}
	}
}

func (health *HealthMonitor) fail(now time.Time, target directory.Target, cause string) {
	known := health.observation(target.Token)
	health.logger.Info("target failed",
		zap.Uint64("target", uint64(target.ID)),
		zap.Uint32("token", uint32(target.Token)),
		zap.String("cause", cause),
		zap.Duration("renewed_ago", now.Sub(known.seenAt)),
		zap.Int("witnesses", len(known.witnesses)))
	known.failedAt = now
	health.propose(now, target.Token, directory.Command{TargetHealth: &directory.HealthChange{Failed: []directory.Token{target.Token}}})
}

// proposePause is the least time between two proposals about one target.
const proposePause = 500 * time.Millisecond

func (health *HealthMonitor) propose(now time.Time, token directory.Token, command directory.Command) {
	known := health.observation(token)
	if now.Sub(known.proposedAt) < proposePause {
		return
	}
	known.proposedAt = now
	data, err := directory.EncodeCommand(command)
	if err != nil {
		return
	}
	health.group.Submit(data, func([]byte, error) {})
}
