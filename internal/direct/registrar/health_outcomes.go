package registrar

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/protocol"
)

// ejectOutliers ejects targets with failing requests and readmits them after a while. The
// directory records which targets are ejected, so that a new leader continues from there.
func (health *HealthMonitor) ejectOutliers(now time.Time) {
	for _, received := range protocol.Receive[feed.OutcomeReport](health.outcomeReports) {
		report := received.Message
		health.ejector.AddReport(report, now)
	}
	if now.Sub(health.outliersCheckedAt) < outlierCheckInterval {
		return
	}
	health.outliersCheckedAt = now
	verdict := health.ejector.Decide(health.targets, now)
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

// targetField returns the log field that identifies the target of an incarnation.
func (health *HealthMonitor) targetField(token directory.Token) zap.Field {
	target, _ := health.directory.Incarnation(token)
	return zap.Uint64("target", uint64(target.ID))
}

// outlierCheckInterval is the time between two outlier checks. It is long enough for the
// previous decision to be applied.
const outlierCheckInterval = 500 * time.Millisecond
