package mutant

import (
	"strings"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/world"
)

func claimSkipped() Mutant {
	return Mutant{
		Name:     "claim-skipped",
		Breaks:   "an agent runs an at-most-once request without a claim",
		Expect:   []checker.Invariant{checker.InvariantAtMostOnce},
		Scenario: namedScenario("late-answers"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Claims = func(standard world.Claims) world.Claims { return grantsAll{Claims: standard} }
		},
	}
}

// grantsAll grants every claim without asking the control group.
type grantsAll struct{ world.Claims }

// Claim implements world.Claims.
func (claims grantsAll) Claim(now time.Time, key protocol.ClaimKey, _ uint64, _ time.Time, done func(claim.Answer)) uint64 {
	grant := claim.Grant{Key: key, StartBefore: now.Add(time.Hour)}
	done(claim.Answer{State: protocol.ClaimGranted, Grant: grant})
	return 0
}

func claimReleasedAfterRun() Mutant {
	return Mutant{
		Name:     "claim-released-after-run",
		Breaks:   "an agent releases the claim of a request that ran, as if it had not run",
		Expect:   []checker.Invariant{checker.InvariantAtMostOnce},
		Scenario: namedScenario("late-answers"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Claims = func(standard world.Claims) world.Claims { return &releasesAll{Claims: standard} }
		},
	}
}

// releasesAll releases every claim instead of recording its outcome.
type releasesAll struct {
	world.Claims
	// now is the time of the last Reconcile.
	now time.Time
}

// Reconcile implements world.Claims.
func (claims *releasesAll) Reconcile(now time.Time) {
	claims.now = now
	claims.Claims.Reconcile(now)
}

// Record implements world.Claims.
func (claims *releasesAll) Record(now time.Time, grant claim.Grant, _ protocol.ClaimOutcome) {
	claims.Release(now, grant)
}

// Forget implements world.Claims.
func (claims *releasesAll) Forget(grant claim.Grant) { claims.Release(claims.now, grant) }

func claimGrantedToEachAgent() Mutant {
	return Mutant{
		Name:     "claim-granted-to-each",
		Breaks:   "claims of different agents for the same key do not exclude each other",
		Expect:   []checker.Invariant{checker.InvariantAtMostOnce},
		Scenario: namedScenario("late-answers"),
		Variant: func(_ *sim.Run, parts *world.Parts) {
			parts.Messages = func(envelope protocol.Envelope) []protocol.Envelope {
				return []protocol.Envelope{withKeyOfAgent(envelope)}
			}
		},
	}
}

// withKeyOfAgent adds the agent's name to the key of a claim message. Relays forward these messages,
// so the key may have the suffix already.
func withKeyOfAgent(envelope protocol.Envelope) protocol.Envelope {
	switch message := envelope.Message.(type) {
	case protocol.ClaimRequest:
		message.Key.Key = keyOfAgent(message.Key.Key, message.Agent)
		envelope.Message = message
	case protocol.ClaimOutcome:
		message.Key.Key = keyOfAgent(message.Key.Key, message.Agent)
		envelope.Message = message
	}
	return envelope
}

// keyOfAgent returns the key with the agent's name as its suffix. A key that has the suffix already
// stays the same.
func keyOfAgent(key string, agent model.NodeName) string {
	suffix := "/" + string(agent)
	return strings.TrimSuffix(key, suffix) + suffix
}
