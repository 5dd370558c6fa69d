package balancernode

import (
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/direct/forwarder"
	"merlinpaddle/internal/direct/steer"
)

// observer counts decisions and logs each one, except for packets of open flows that are forwarded to
// their owner, which are only counted.
type observer struct {
	metrics *metrics
	table   *steer.Table
	logger  *zap.Logger
}

var _ forwarder.Observer = (*observer)(nil)

func newObserver(metrics *metrics, table *steer.Table, logger *zap.Logger) *observer {
	return &observer{metrics: metrics, table: table, logger: logger.Named("flows")}
}

// Decided implements forwarder.Observer.
func (observer *observer) Decided(segment steer.Segment, decision steer.Decision) {
	observer.metrics.decisions[decision.Reason].Add(1)
	if decision.Reason == steer.ReasonOwner {
		return
	}
	if decision.Reason == steer.ReasonChosen {
		observer.metrics.observeTableAge(decision.ConfirmedAgo)
		observer.metrics.flowsByLocality[decision.Locality].Add(1)
	}
	message := "packet dropped"
	switch {
	case decision.Reason == steer.ReasonRestarted:
		message = "packet of a previous incarnation forwarded"
	case decision.Action == steer.Forward:
		message = "flow opened"
	case decision.Action == steer.Reset:
		message = "flow reset"
	}
	entry := observer.logger.Check(zap.InfoLevel, message)
	if entry == nil {
		return
	}
	fields := []zap.Field{
		zap.Stringer("caller", segment.Caller),
		zap.Stringer("route", segment.Service),
		zap.Stringer("reason", decision.Reason),
		zap.Bool("opening", segment.Opening),
		zap.Int("attempt", segment.Attempt),
		zap.Uint32("token", uint32(max(decision.Token, segment.Token))),
		zap.Uint64("target", uint64(decision.ID)),
		zap.Stringer("place", decision.Locality),
		zap.Uint32("suspect", uint32(decision.Suspect)),
		zap.Int("open", decision.Open),
		zap.Duration("expected", decision.Expected),
		zap.Uint64("evacuated_since", uint64(decision.EvacuatedSince)),
		zap.Uint64("revision", uint64(decision.Revision)),
		zap.Uint64("version", decision.Version),
		zap.String("confirmed_ago", ageText(decision.ConfirmedAgo)),
	}
	if decision.Reason == steer.ReasonOverloaded {
		fields = append(fields, evidenceFields(decision.Evidence)...)
	}
	entry.Write(fields...)
}

// evidenceFields returns log fields with the evidence for the open requests at a target that was too
// loaded for a new flow.
func evidenceFields(evidence steer.Evidence) []zap.Field {
	return []zap.Field{
		zap.Int("open_own", evidence.LocalOpen),
		zap.Int("open_others", evidence.RemoteOpen),
		zap.Int("coming", evidence.Pending),
		zap.String("others_heard_ago", ageText(evidence.ReportedAgo)),
		zap.Float64("gaps", evidence.Gaps.Share),
		zap.Int("gaps_cases", evidence.Gaps.Samples),
		zap.Float64("missed", evidence.Unanswered.Share),
		zap.Int("missed_cases", evidence.Unanswered.Samples),
		zap.Duration("serving_for", evidence.ServingFor),
	}
}

// Malformed implements forwarder.Observer.
func (observer *observer) Malformed(err error) {
	observer.metrics.malformed.Add(1)
	observer.logger.Info("packet malformed", zap.Error(err))
}

// ageText formats the age of a table or of the reports of other balancers, or returns "never".
func ageText(age time.Duration) string {
	if age == steer.NeverConfirmed || age == steer.NeverReported {
		return "never"
	}
	return age.String()
}
