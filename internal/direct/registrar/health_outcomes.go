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
	for _, id := range verdict.Aside {
		health.logger.Info("target set aside", zap.Uint64("target", uint64(id)), zap.String("cause", string(verdict.Causes[id])))
	}
	for _, id := range verdict.Back {
		health.logger.Info("target gets new flows again", zap.Uint64("target", uint64(id)))
	}
	data, err := directory.EncodeCommand(directory.Command{Health: &directory.HealthChange{Aside: verdict.Aside, Back: verdict.Back}})
	if err != nil {
		return
	}
	health.group.Submit(data, func([]byte, error) {})
}

// judgeInterval is the time between two decisions about outcomes; the former one
// is applied by then.
const judgeInterval = 500 * time.Millisecond
