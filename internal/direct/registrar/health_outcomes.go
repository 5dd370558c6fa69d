package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/protocol"
)

// judgeOutcomes sets targets aside that leave requests unanswered, and brings
// them back after a while. The directory says which are aside, so that another
// leader goes on from there.
func (health *Health) judgeOutcomes(now time.Time) {
	for _, received := range protocol.Receive[feed.OutcomeReport](health.outcomes) {
		report := received.Message
		health.judge.AddReport(report, now)
	}
	if now.Sub(health.judgedAt) < judgeInterval {
		return
	}
	health.judgedAt = now
	verdict := health.judge.Decide(health.looked, now)
	if len(verdict.Eject)+len(verdict.Restore) == 0 {
		return
	}
	for _, token := range verdict.Eject {
		health.logger.Info("target set aside", health.targetField(token), zap.String("cause", string(verdict.Causes[token])))
	}
	for _, token := range verdict.Restore {
		health.logger.Info("target gets new flows again", health.targetField(token))
	}
	data, err := directory.EncodeCommand(directory.Command{TargetHealth: &directory.HealthChange{Aside: verdict.Eject, Back: verdict.Restore}})
	if err != nil {
		return
	}
	health.group.Submit(data, func([]byte, error) {})
}

// targetField names the target of an incarnation in a log line.
func (health *Health) targetField(token directory.Token) zap.Field {
	target, _ := health.directory.Incarnation(token)
	return zap.Uint64("target", uint64(target.ID))
}

// judgeInterval is the time between two decisions about outcomes; the former one
// is applied by then.
const judgeInterval = 500 * time.Millisecond
