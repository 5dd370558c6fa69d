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

func (health *Health) takeReports(now time.Time) {
	for _, received := range protocol.Receive[feed.HealthReport](health.reports) {
		report := received.Message
		target, exists := health.directory.Target(report.ID)
		if !exists || target.State == directory.TargetFailed {
			continue
		}
		health.logger.Info("target reported dead",
			zap.Uint64("target", uint64(target.ID)),
			zap.Stringer("verdict", report.Verdict),
			zap.String("balancer", string(report.Balancer)),
			zap.Duration("renewed_ago", now.Sub(health.observation(target.ID).seenAt)))
		if report.Verdict == feed.VerdictRefused {
			health.fail(now, target.ID, "a balancer was refused")
			continue
		}
		health.takeSilence(now, target.ID, report.Balancer)
		health.probe(now, target.ID, target.Address)
	}
}

// takeSilence counts a process that got no answer from the target. A target is
// dead when two did lately and it also missed a renewal: on a link where
// packets wait, a probe runs out of time although the target is well, and a
// failed target's open flows are reset.
func (health *Health) takeSilence(now time.Time, id directory.TargetID, witness model.NodeName) {
	known := health.observation(id)
	missed := now.Sub(known.seenAt) > health.options.MissedAfter
	if known.witness(now, witness) >= silentWitnesses && missed {
		health.fail(now, id, "several processes got no answer, and no renewal came")
	}
}

func (health *Health) probe(now time.Time, id directory.TargetID, address netip.AddrPort) {
	known := health.observation(id)
	if now.Sub(known.probedAt) < health.options.ProbePause {
		return
	}
	known.probedAt = now
	health.prober.Start(uint64(id), address)
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

func (health *Health) takeResults(now time.Time) {
	for _, result := range health.prober.Results.Drain() {
		id := directory.TargetID(result.Key)
		known := health.observation(id)
		switch result.Outcome {
		case probe.Refused:
			health.fail(now, id, "the leader was refused")
		case probe.Silent:
			known.silentProbes++
			health.takeSilence(now, id, health.mailbox.Self)
			if known.silentProbes >= aloneProbes && now.Sub(known.seenAt) > aloneAfter {
				health.fail(now, id, "the leader got no answer, and no renewal came")
			}
		case probe.Answered:
			known.witnesses = nil
			known.silentProbes = 0
			known.seenAt = now
			known.answeredAt = now
		}
	}
}

func (health *Health) fail(now time.Time, id directory.TargetID, cause string) {
	known := health.observation(id)
	health.logger.Info("target failed",
		zap.Uint64("target", uint64(id)),
		zap.String("cause", cause),
		zap.Duration("renewed_ago", now.Sub(known.seenAt)),
		zap.Int("witnesses", len(known.witnesses)))
	known.failedAt = now
	health.propose(now, id, directory.Command{Health: &directory.HealthChange{Failed: []directory.TargetID{id}}})
}

// proposePause is the least time between two proposals about one target.
const proposePause = 500 * time.Millisecond

func (health *Health) propose(now time.Time, id directory.TargetID, command directory.Command) {
	known := health.observation(id)
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
