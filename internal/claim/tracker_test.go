package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var payoutKey = protocol.ClaimKey{Tenant: "riga", Service: "ledger", Key: "payout-1"}

const grantDuration = 5 * time.Second

// relay is a RelayNamer whose relay can change.
type relay struct{ name model.NodeName }

func (relay *relay) RelayName() model.NodeName { return relay.name }

// fixture is a tracker with its mailbox, its queue of replies, and the answers that
// its claims got.
type fixture struct {
	t       *testing.T
	mailbox *protocol.Mailbox
	replies *board.Queue[protocol.Envelope]
	relay   *relay
	tracker *Tracker
	answers []Answer
}

func newFixture(t *testing.T) *fixture {
	created := &fixture{
		t:       t,
		mailbox: protocol.NewMailbox("agent-1"),
		replies: board.NewQueue[protocol.Envelope]("replies", 100),
		relay:   &relay{name: "relay-1"},
	}
	created.tracker = NewTracker(Options{
		Agent: "agent-1", Incarnation: 7, Mailbox: created.mailbox, Replies: created.replies, Relay: created.relay,
	})
	return created
}

// claim claims payoutKey with a deadline of now plus allowed.
func (fixture *fixture) claim(now time.Time, allowed time.Duration) uint64 {
	return fixture.tracker.Claim(now, payoutKey, 11, now.Add(allowed), func(answer Answer) {
		fixture.answers = append(fixture.answers, answer)
	})
}

// reply delivers a reply to the tracker.
func (fixture *fixture) reply(now time.Time, reply protocol.ClaimReply) {
	reply.Agent = "agent-1"
	fixture.replies.Put(protocol.Envelope{From: "relay-1", To: "agent-1", Message: reply})
	fixture.tracker.Reconcile(now)
}

// grant delivers a grant of the claim with the correlation.
func (fixture *fixture) grant(now time.Time, correlation uint64) {
	fixture.reply(now, protocol.ClaimReply{Correlation: correlation, State: protocol.ClaimGranted, GrantedFor: grantDuration})
}

// takeSent returns the messages that were sent since its previous call.
func (fixture *fixture) takeSent() []any {
	var messages []any
	for _, envelope := range fixture.mailbox.Outbox.Drain() {
		require.Equal(fixture.t, fixture.relay.name, envelope.To)
		messages = append(messages, envelope.Message)
	}
	return messages
}

// requireReleaseSent checks that exactly one message was sent, which reports the claim
// with the correlation as not run.
func (fixture *fixture) requireReleaseSent(correlation uint64) {
	fixture.t.Helper()
	messages := fixture.takeSent()
	require.Len(fixture.t, messages, 1)
	outcome, isOutcome := messages[0].(protocol.ClaimOutcome)
	require.True(fixture.t, isOutcome)
	require.Equal(fixture.t, protocol.ClaimOutcome{Correlation: correlation, Key: payoutKey, Agent: "agent-1", Incarnation: 7, NotRun: true}, outcome)
}

func TestClaimIsResentUntilAnswered(t *testing.T) {
	fixture := newFixture(t)
	correlation := fixture.claim(start, time.Minute)
	first := fixture.takeSent()
	require.Equal(t, []any{protocol.ClaimRequest{Correlation: correlation, Key: payoutKey, Fingerprint: 11, Agent: "agent-1", Incarnation: 7}}, first)
	fixture.tracker.Reconcile(start.Add(firstResendInterval - 1))
	require.Empty(t, fixture.takeSent())
	fixture.tracker.Reconcile(start.Add(firstResendInterval))
	require.Equal(t, first, fixture.takeSent(), "the claim is resent with the same correlation")
	fixture.grant(start.Add(time.Second), correlation)
	require.Len(t, fixture.answers, 1)
	require.Equal(t, protocol.ClaimGranted, fixture.answers[0].State)
	fixture.tracker.Reconcile(start.Add(time.Minute))
	require.Empty(t, fixture.takeSent(), "a granted claim is not resent")
}

// The time that a grant allows counts from when the claim was made. A reply that
// arrives late, or a process that was suspended, must not extend it.
func TestGrantCountsFromWhenTheClaimWasMade(t *testing.T) {
	fixture := newFixture(t)
	correlation := fixture.claim(start, time.Minute)
	fixture.grant(start.Add(4*time.Second), correlation)
	grant := fixture.answers[0].Grant
	require.Equal(t, start.Add(grantDuration-grantMargin), grant.StartBefore)
	require.True(t, grant.Usable(start.Add(4*time.Second)))
	require.False(t, grant.Usable(start.Add(grantDuration-grantMargin)), "a process that was suspended meanwhile must not use the grant")
}

func TestRepliesThatEndAClaim(t *testing.T) {
	outcome := &protocol.ClaimOutcome{Status: 200, Body: []byte("paid")}
	cases := []struct {
		name  string
		reply protocol.ClaimReply
		want  Answer
	}{
		{"in progress at another agent", protocol.ClaimReply{State: protocol.ClaimInProgress}, Answer{State: protocol.ClaimInProgress}},
		{"key used by a different request", protocol.ClaimReply{State: protocol.ClaimMismatch}, Answer{State: protocol.ClaimMismatch}},
		{"completed", protocol.ClaimReply{State: protocol.ClaimCompleted, Outcome: outcome}, Answer{State: protocol.ClaimCompleted, Outcome: outcome}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			test.reply.Correlation = fixture.claim(start, time.Minute)
			fixture.takeSent()
			fixture.reply(start, test.reply)
			require.Equal(t, []Answer{test.want}, fixture.answers)
			fixture.tracker.Reconcile(start.Add(time.Hour))
			require.Empty(t, fixture.takeSent(), "a claim that was not granted needs no release")
		})
	}
}

func TestClaimWithoutQuorumIsResentUntilDeadline(t *testing.T) {
	fixture := newFixture(t)
	correlation := fixture.claim(start, time.Second)
	fixture.takeSent()
	fixture.reply(start.Add(10*time.Millisecond), protocol.ClaimReply{Correlation: correlation, State: protocol.ClaimUnavailable})
	require.Empty(t, fixture.answers)
	fixture.tracker.Reconcile(start.Add(firstResendInterval))
	require.Len(t, fixture.takeSent(), 1)
	fixture.tracker.Reconcile(start.Add(time.Second))
	require.Equal(t, []Answer{{State: protocol.ClaimUnavailable}}, fixture.answers)
	fixture.requireReleaseSent(correlation)
}

// A grant that arrives after the claim was given up must be released. Otherwise the key
// would stay taken although the request did not run.
func TestLateGrantIsReleased(t *testing.T) {
	for _, name := range []string{"deadline", "caller canceled"} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			correlation := fixture.claim(start, time.Second)
			fixture.takeSent()
			if name == "deadline" {
				fixture.tracker.Reconcile(start.Add(time.Second))
			} else {
				fixture.tracker.Abandon(start.Add(time.Second), correlation)
			}
			fixture.requireReleaseSent(correlation)
			fixture.grant(start.Add(1100*time.Millisecond), correlation)
			require.Equal(t, 1, fixture.tracker.Unreported())
			fixture.tracker.Reconcile(start.Add(3 * time.Second))
			fixture.requireReleaseSent(correlation)
			fixture.reply(start.Add(4*time.Second), protocol.ClaimReply{Correlation: correlation, State: protocol.ClaimCompleted})
			require.Zero(t, fixture.tracker.Unreported())
			for _, answer := range fixture.answers {
				require.NotEqual(t, protocol.ClaimGranted, answer.State)
			}
		})
	}
}

func TestOutcomeIsResentUntilRecorded(t *testing.T) {
	fixture := newFixture(t)
	correlation := fixture.claim(start, time.Minute)
	fixture.grant(start, correlation)
	fixture.takeSent()
	fixture.tracker.Record(start, fixture.answers[0].Grant, protocol.ClaimOutcome{Status: 200, Body: []byte("paid")})
	want := []any{protocol.ClaimOutcome{Correlation: correlation, Key: payoutKey, Agent: "agent-1", Incarnation: 7, Status: 200, Body: []byte("paid")}}
	require.Equal(t, want, fixture.takeSent())
	fixture.grant(start, correlation)
	require.Equal(t, 1, fixture.tracker.Unreported(), "a duplicate grant does not confirm the report")
	fixture.tracker.Reconcile(start.Add(time.Second))
	require.Equal(t, want, fixture.takeSent())
	fixture.reply(start.Add(time.Second), protocol.ClaimReply{Correlation: correlation, State: protocol.ClaimCompleted})
	require.Zero(t, fixture.tracker.Unreported())
	fixture.tracker.Reconcile(start.Add(time.Hour))
	require.Empty(t, fixture.takeSent())
}

func TestReleaseAndForget(t *testing.T) {
	t.Run("release", func(t *testing.T) {
		fixture := newFixture(t)
		correlation := fixture.claim(start, time.Minute)
		fixture.grant(start, correlation)
		fixture.takeSent()
		fixture.tracker.Release(start, fixture.answers[0].Grant)
		fixture.requireReleaseSent(correlation)
		fixture.tracker.Record(start, fixture.answers[0].Grant, protocol.ClaimOutcome{Status: 200})
		require.Empty(t, fixture.takeSent(), "an ended claim must not be recorded")
	})
	t.Run("forget sends nothing", func(t *testing.T) {
		fixture := newFixture(t)
		correlation := fixture.claim(start, time.Minute)
		fixture.grant(start, correlation)
		fixture.takeSent()
		fixture.tracker.Forget(fixture.answers[0].Grant)
		fixture.tracker.Release(start, fixture.answers[0].Grant)
		fixture.tracker.Reconcile(start.Add(time.Hour))
		require.Empty(t, fixture.takeSent(), "a request that may have run must not be released")
	})
}

func TestSecondRequestWithOpenKeyIsNotSent(t *testing.T) {
	fixture := newFixture(t)
	fixture.claim(start, time.Minute)
	fixture.takeSent()
	fixture.claim(start, time.Minute)
	require.Equal(t, []Answer{{State: protocol.ClaimInProgress}}, fixture.answers)
	fixture.tracker.Claim(start, payoutKey, 12, start.Add(time.Minute), func(answer Answer) { fixture.answers = append(fixture.answers, answer) })
	require.Equal(t, protocol.ClaimMismatch, fixture.answers[1].State)
	require.Empty(t, fixture.takeSent())
}

func TestClaimWaitsForARelay(t *testing.T) {
	fixture := newFixture(t)
	fixture.relay.name = ""
	fixture.claim(start, time.Minute)
	require.Empty(t, fixture.takeSent())
	fixture.relay.name = "relay-2"
	fixture.tracker.Reconcile(start.Add(time.Millisecond))
	require.Len(t, fixture.takeSent(), 1)
}
