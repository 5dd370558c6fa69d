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
func (health *HealthMonitor) judgeOutcomes(now time.Time) {
	for _, received := range protocol.Receive[feed.OutcomeReport](health.outcomes) {
		report := received.Message
		health.judge.Take(report, now)
	}
	if now.Sub(health.judgedAt) < judgeInterval {
		return
	}
	health.judgedAt = now
	verdict := health.judge.Decide(health.looked, now)
	if len(verdict.Aside)+len(verdict.Back) == 0 {
		return
	}
	for _, token := range verdict.Aside {
		health.logger.Info("target set aside", health.targetField(token), zap.String("cause", string(verdict.Causes[token])))
	}
	for _, token := range verdict.Back {
		health.logger.Info("target gets new flows again", health.targetField(token))
	}
	data, err := directory.EncodeCommand(directory.Command{TargetHealth: &directory.HealthChange{Aside: verdict.Aside, Back: verdict.Back}})
	if err != nil {
		return
	}
	health.group.Submit(data, func([]byte, error) {})
}

// targetField names the target of an incarnation in a log line.
func (health *HealthMonitor) targetField(token directory.Token) zap.Field {
	target, _ := health.directory.Incarnation(token)
	return zap.Uint64("target", uint64(target.ID))
}

// judgeInterval is the time between two decisions about outcomes; the former one
// is applied by then.
const judgeInterval = 500 * time.Millisecond
