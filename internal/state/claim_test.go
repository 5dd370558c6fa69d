package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// tiplineClaimKey returns the claim key of a request to the service "tipline" of riga.
func tiplineClaimKey(key string) protocol.ClaimKey {
	return protocol.ClaimKey{Tenant: "riga", Service: "tipline", Key: key}
}

func claimBy(agent model.NodeName, incarnation model.Incarnation, correlation uint64, key string) Claim {
	return Claim{Request: protocol.ClaimRequest{Key: tiplineClaimKey(key), Fingerprint: 1, Agent: agent, Incarnation: incarnation, Correlation: correlation}}
}

func outcomeBy(agent model.NodeName, incarnation model.Incarnation, correlation uint64, key string) CompleteClaim {
	return CompleteClaim{Outcome: protocol.ClaimOutcome{Key: tiplineClaimKey(key), Agent: agent, Incarnation: incarnation,
		Correlation: correlation, Status: 200, Body: []byte("paid")}}
}

// releaseBy returns the report that a claimed request was not run.
func releaseBy(agent model.NodeName, incarnation model.Incarnation, correlation uint64, key string) CompleteClaim {
	return CompleteClaim{Outcome: protocol.ClaimOutcome{Key: tiplineClaimKey(key), Agent: agent, Incarnation: incarnation, Correlation: correlation, NotRun: true}}
}

// claim applies a Claim or CompleteClaim and returns the reply.
func (member *member) claim(command Command) protocol.ClaimReply {
	member.t.Helper()
	reply := member.must(command).Claim
	require.NotNil(member.t, reply)
	return *reply
}

// step is one command for a claim and the state that its reply must have.
type step struct {
	label   string
	command Command
	want    protocol.ClaimState
	// elapsed is how far the log time advances before the step.
	elapsed time.Duration
}

func TestClaims(t *testing.T) {
	first := claimBy("tip-1", 1, 1, "k")
	otherBody := claimBy("tip-2", 1, 1, "k")
	otherBody.Request.Fingerprint = 2
	otherTenant := claimBy("tip-1", 1, 1, "k")
	otherTenant.Request.Key.Tenant = "teranga"
	cases := []struct {
		name  string
		steps []step
	}{
		{"granted once", []step{
			{"first", first, protocol.ClaimGranted, 0},
			{"copy after a lost reply", first, protocol.ClaimGranted, 0},
			{"second request at the same agent", claimBy("tip-1", 1, 2, "k"), protocol.ClaimInProgress, 0},
			{"second request at another agent", claimBy("tip-2", 1, 1, "k"), protocol.ClaimInProgress, 0},
			{"other body", otherBody, protocol.ClaimMismatch, 0},
		}},
		{"outcome answers a resent request", []step{
			{"first", first, protocol.ClaimGranted, 0},
			{"outcome of another agent", outcomeBy("tip-2", 1, 1, "k"), protocol.ClaimMismatch, 0},
			{"outcome of an older process", outcomeBy("tip-1", 0, 1, "k"), protocol.ClaimMismatch, 0},
			{"outcome", outcomeBy("tip-1", 1, 1, "k"), protocol.ClaimCompleted, 0},
			{"resent to another agent", claimBy("tip-2", 1, 9, "k"), protocol.ClaimCompleted, 0},
			{"outcome again", outcomeBy("tip-1", 1, 1, "k"), protocol.ClaimCompleted, 0},
			{"late release", releaseBy("tip-1", 1, 1, "k"), protocol.ClaimMismatch, 0},
			{"other body", otherBody, protocol.ClaimMismatch, 0},
		}},
		{"released key can be claimed again", []step{
			{"first", first, protocol.ClaimGranted, 0},
			{"release of another agent", releaseBy("tip-2", 1, 1, "k"), protocol.ClaimMismatch, 0},
			{"release", releaseBy("tip-1", 1, 1, "k"), protocol.ClaimCompleted, 0},
			{"late copy of the released request", first, protocol.ClaimUnavailable, 0},
			{"late outcome", outcomeBy("tip-1", 1, 1, "k"), protocol.ClaimMismatch, 0},
			{"retry with another body", otherBody, protocol.ClaimGranted, 0},
		}},
		{"release before the claim", []step{
			{"release", releaseBy("tip-1", 1, 1, "k"), protocol.ClaimCompleted, 0},
			{"claim after its release", first, protocol.ClaimUnavailable, 0},
			{"retry", claimBy("tip-1", 1, 2, "k"), protocol.ClaimGranted, 0},
			{"copy of the release", releaseBy("tip-1", 1, 1, "k"), protocol.ClaimMismatch, 0},
			{"still held", claimBy("tip-2", 1, 1, "k"), protocol.ClaimInProgress, 0},
		}},
		{"release expires", []step{
			{"release", releaseBy("tip-1", 1, 1, "k"), protocol.ClaimCompleted, 0},
			{"claim after the retention", first, protocol.ClaimGranted, ReleaseRetention},
		}},
		{"claim of a restarted agent is held until the window ends", []step{
			{"first", first, protocol.ClaimGranted, 0},
			{"retry of the new process", claimBy("tip-1", 2, 1, "k"), protocol.ClaimInProgress, 0},
			{"retry just before the window ends", claimBy("tip-2", 1, 5, "k"), protocol.ClaimInProgress, ClaimWindow - time.Nanosecond},
			{"retry after", claimBy("tip-2", 1, 6, "k"), protocol.ClaimGranted, time.Nanosecond},
		}},
		{"claims that are not permitted", []step{
			{"agent of another service", claimBy("resa-1", 1, 1, "k"), protocol.ClaimUnavailable, 0},
			{"unknown agent", claimBy("ghost", 1, 1, "k"), protocol.ClaimUnavailable, 0},
			{"another tenant's key", otherTenant, protocol.ClaimUnavailable, 0},
			{"no key", claimBy("tip-1", 1, 1, ""), protocol.ClaimUnavailable, 0},
			{"long key", claimBy("tip-1", 1, 1, strings.Repeat("k", MaximumClaimKeyBytes+1)), protocol.ClaimUnavailable, 0},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := memberWithTipline(t)
			for _, step := range test.steps {
				member.now = member.now.Add(step.elapsed)
				require.Equal(t, step.want, member.claim(step.command).State, step.label)
			}
		})
	}
}

func TestClaimReplyCarriesCorrelationAndOutcome(t *testing.T) {
	member := memberWithTipline(t)
	granted := member.claim(claimBy("tip-1", 1, 41, "k"))
	require.Equal(t, protocol.ClaimReply{Correlation: 41, Agent: "tip-1", State: protocol.ClaimGranted, GrantedFor: ClaimGrant}, granted)
	member.claim(outcomeBy("tip-1", 1, 41, "k"))
	replayed := member.claim(claimBy("tip-2", 1, 5, "k"))
	require.EqualValues(t, 5, replayed.Correlation)
	require.Equal(t, []byte("paid"), replayed.Outcome.Body)
	require.Equal(t, 200, replayed.Outcome.Status)
}

func TestDeadOrReplacedAgentMayNotClaim(t *testing.T) {
	member := memberWithTipline(t)
	id := member.target("tip-1").ID
	member.must(ObserveTargets{Observations: []TargetObservation{{Target: id, Incarnation: 5, Alive: true}}})
	require.Equal(t, protocol.ClaimUnavailable, member.claim(claimBy("tip-1", 4, 1, "a")).State, "a process that was replaced by a newer one")
	require.Equal(t, protocol.ClaimGranted, member.claim(claimBy("tip-1", 6, 1, "b")).State, "a process newer than the last observation, which can lag")
	member.must(ObserveTargets{Observations: []TargetObservation{{Target: id, Incarnation: 5, Alive: false}}})
	require.Equal(t, protocol.ClaimUnavailable, member.claim(claimBy("tip-1", 5, 2, "c")).State)
}

func TestClaimsOutliveTheirService(t *testing.T) {
	member := memberWithTipline(t)
	require.Equal(t, protocol.ClaimGranted, member.claim(claimBy("tip-1", 1, 1, "k")).State)
	member.must(DeleteService{Change: Change{Base: member.service(tiplineKey()).Revision}, Tenant: "riga", Name: "tipline", Force: true})
	member.must(putTipline(0, "192.0.2.1:443", "tip-1"))
	require.Equal(t, protocol.ClaimInProgress, member.claim(claimBy("tip-1", 2, 1, "k")).State)
}

func TestFullClaimQuotaRefusesWithoutEviction(t *testing.T) {
	member := memberWithTipline(t)
	member.must(PutTenant{Change: Change{Base: 2}, Name: "riga", Spec: TenantSpec{MaximumClaims: 2}})
	require.Equal(t, protocol.ClaimGranted, member.claim(claimBy("tip-1", 1, 1, "a")).State)
	require.Equal(t, protocol.ClaimGranted, member.claim(claimBy("tip-1", 1, 2, "b")).State)
	require.Equal(t, protocol.ClaimUnavailable, member.claim(claimBy("tip-1", 1, 3, "c")).State)
	require.Equal(t, protocol.ClaimInProgress, member.claim(claimBy("tip-2", 1, 3, "a")).State)
	member.now = member.now.Add(ClaimWindow)
	require.Equal(t, protocol.ClaimGranted, member.claim(claimBy("tip-1", 1, 3, "c")).State)
	require.Equal(t, ClaimStatus{Rows: 1}, member.machine.ClaimStatus())
}

func TestOversizedOutcomeKeepsOnlyItsStatus(t *testing.T) {
	member := memberWithTipline(t)
	member.claim(claimBy("tip-1", 1, 1, "k"))
	large := outcomeBy("tip-1", 1, 1, "k")
	large.Outcome.Body = make([]byte, MaximumOutcomeBytes+1)
	require.Equal(t, protocol.ClaimCompleted, member.claim(large).State)
	replayed := member.claim(claimBy("tip-2", 1, 1, "k"))
	require.True(t, replayed.Outcome.BodyOmitted)
	require.Empty(t, replayed.Outcome.Body)
	require.Equal(t, 200, replayed.Outcome.Status)
}

func TestOutcomeBytesAreBounded(t *testing.T) {
	claims := newClaimTable()
	body := make([]byte, MaximumOutcomeBytes)
	for index := range MaximumOutcomeTotalBytes/MaximumOutcomeBytes + 3 {
		row := claimRow{Key: tiplineClaimKey(fmt.Sprint(index)), Phase: claimHeld, ExpiresAt: testStart.Add(ClaimWindow), Serial: model.Revision(index + 1)}
		claims.put(row)
		claims.complete(row, claims.limitBody(protocol.ClaimOutcome{Body: body}))
	}
	require.Equal(t, MaximumOutcomeTotalBytes, claims.outcomeBytes)
	claims.expire(testStart.Add(ClaimWindow))
	require.Zero(t, claims.outcomeBytes)
	require.Empty(t, claims.rows)
	require.Empty(t, claims.tenants)
	require.Empty(t, claims.windowQueue)
}
