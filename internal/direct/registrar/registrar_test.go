package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeGroup is a fake control group. It applies commands at once, or fails them with err, or
// never answers when unresponsive is set.
type fakeGroup struct {
	directory    *directory.Directory
	status       replica.Status
	index        model.Revision
	err          error
	unresponsive bool
	proposals    int
}

// Submit implements Group.
func (group *fakeGroup) Submit(command []byte, done func(result []byte, err error)) {
	group.proposals++
	switch {
	case group.unresponsive:
	case group.err != nil:
		done(nil, group.err)
	default:
		group.index++
		done(group.directory.Apply(group.index, startTime, command), nil)
	}
}

// ReadBarrier implements Group.
func (group *fakeGroup) ReadBarrier(done func(err error)) {
	if !group.unresponsive {
		done(group.err)
	}
}

// StatusAt implements Group.
func (group *fakeGroup) StatusAt(time.Time) replica.Status { return group.status }

// harness runs the registrar of a leader on a simulated clock.
type harness struct {
	t            testing.TB
	now          time.Time
	group        *fakeGroup
	mailbox      *protocol.Mailbox
	dispatcher   *protocol.Dispatcher
	proposer     *Proposer
	registrar    *Registrar
	health       *HealthMonitor
	probes       []netip.AddrPort
	probeOutcome probe.Outcome
}

func newHarness(t testing.TB) *harness {
	created := &harness{t: t, now: startTime, mailbox: protocol.NewMailbox("self"), probeOutcome: probe.Answered}
	created.group = &fakeGroup{directory: directory.New(), status: replica.Status{Leader: "self", Leading: true, Term: 1}}
	created.dispatcher = protocol.NewDispatcher(created.mailbox)
	renewalTable := NewRenewalTable()
	created.proposer = NewProposer(created.mailbox, created.dispatcher, created.group, created.group.directory, 0)
	created.registrar = NewRegistrar(created.group.directory, created.proposer, created.group, renewalTable, peersInZones("x"), zap.NewNop())
	prober := probe.NewWithStarter(func(address netip.AddrPort, done func(probe.Outcome)) {
		created.probes = append(created.probes, address)
		done(created.probeOutcome)
	})
	created.health = NewHealthMonitor(HealthOptions{
		SilentAfter: 5 * time.Second, MissedAfter: 2 * time.Second, MinProbeInterval: 700 * time.Millisecond, RemoveFailedAfter: 75 * time.Second,
	}, created.mailbox, created.dispatcher, created.group, created.group.directory, renewalTable, prober, zap.NewNop())
	return created
}

// run advances the clock by duration in steps of 25 ms and reconciles at each step.
func (harness *harness) run(duration time.Duration) {
	for end := harness.now.Add(duration); harness.now.Before(end); harness.now = harness.now.Add(25 * time.Millisecond) {
		harness.dispatcher.Reconcile(harness.now)
		harness.proposer.Reconcile(harness.now)
		harness.health.Reconcile(harness.now)
	}
}

// readyTarget returns a ready target whose address depends on its identifier.
func readyTarget(id directory.TargetID, sequence uint64) directory.Target {
	return directory.Target{
		ID: id, Service: "feed", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
		Capacity: 2, State: directory.TargetReady, Sequence: sequence,
	}
}

// register registers a target, runs for a second and returns the outcome.
func (harness *harness) register(target directory.Target) error {
	harness.t.Helper()
	outcome, ended := error(nil), 0
	harness.registrar.Register(harness.now, target, harness.now.Add(800*time.Millisecond), func(err error) { outcome, ended = err, ended+1 })
	harness.run(time.Second)
	require.Equal(harness.t, 1, ended, "a call must end exactly once")
	return outcome
}

func (harness *harness) declare(next *declared.Configuration) error {
	harness.t.Helper()
	outcome, ended := error(nil), 0
	harness.registrar.Declare(harness.now, next, harness.now.Add(800*time.Millisecond), func(err error) { outcome, ended = err, ended+1 })
	harness.run(time.Second)
	require.Equal(harness.t, 1, ended, "a call must end exactly once")
	return outcome
}

// testConfiguration returns a valid configuration whose only route listens on port.
func testConfiguration(version uint64, port uint16) *declared.Configuration {
	return &declared.Configuration{Version: version, Services: []declared.Service{{Name: "feed"}}, Routes: []declared.Route{{
		Name: "a", Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Kind: declared.KindSafe,
		Timeout: time.Second, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
	}}}
}

func TestRenewalIsNotCommitted(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(readyTarget(1, 1)))
	require.Equal(t, 1, harness.group.proposals)
	require.NoError(t, harness.register(readyTarget(1, 2)))
	require.Equal(t, 1, harness.group.proposals)
	draining := readyTarget(1, 3)
	draining.State = directory.TargetDraining
	require.NoError(t, harness.register(draining))
	require.Equal(t, 2, harness.group.proposals)
	require.NoError(t, harness.register(readyTarget(1, 2)), "a delayed renewal changes nothing")
	require.Equal(t, 2, harness.group.proposals)
}

func TestInvalidRegistrationsAreRefused(t *testing.T) {
	for name, change := range map[string]func(target *directory.Target){
		"id":       func(target *directory.Target) { target.ID = 0 },
		"service":  func(target *directory.Target) { target.Service = "" },
		"address":  func(target *directory.Target) { target.Address = netip.AddrPort{} },
		"state":    func(target *directory.Target) { target.State = directory.TargetFailed },
		"capacity": func(target *directory.Target) { target.Capacity = -1 },
	} {
		harness := newHarness(t)
		target := readyTarget(1, 1)
		change(&target)
		err := harness.register(target)
		require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(err), name)
		require.ErrorContains(t, err, name)
		require.Zero(t, harness.group.proposals)
	}
}

func TestMemberWithoutAQuorumRefusesCalls(t *testing.T) {
	harness := newHarness(t)
	harness.group.status = replica.Status{Leader: "other", CurrentAt: startTime.Add(-maxStaleness)}
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(harness.register(readyTarget(1, 1))))
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(harness.declare(testConfiguration(1, 443))))
	require.Empty(t, harness.mailbox.Outbox.Drain())
}

func TestOlderAndEqualVersionsAreAcknowledgedAndChangeNothing(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.declare(testConfiguration(7, 443)))
	require.NoError(t, harness.declare(testConfiguration(7, 444)))
	require.NoError(t, harness.declare(testConfiguration(3, 445)))
	require.Equal(t, uint16(443), harness.group.directory.Configuration().Routes[0].Address.Port())
}

func TestInvalidConfigurationChangesNothing(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.declare(testConfiguration(7, 443)))
	invalid := testConfiguration(5, 443)
	invalid.Routes[0].Timeout = 0
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(harness.declare(invalid)), "the configuration is validated before its version is compared")
	invalid.Version = 9
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(harness.declare(invalid)))
	unknown := testConfiguration(10, 443)
	unknown.Routes[0].Kind = "odd"
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(harness.declare(unknown)))
	require.Equal(t, uint64(7), harness.group.directory.Configuration().Version)
}

func TestConflictingDeclarationIsRetried(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.declare(testConfiguration(1, 443)))
	var outcomes []error
	for version := uint64(2); version <= 5; version++ {
		harness.registrar.Declare(harness.now, testConfiguration(version, uint16(443+version)), harness.now.Add(800*time.Millisecond),
			func(err error) { outcomes = append(outcomes, err) })
	}
	harness.run(time.Second)
	require.Equal(t, []error{nil, nil, nil, nil}, outcomes)
	require.Equal(t, *testConfiguration(5, 448), *harness.group.directory.Configuration())
}

func TestCallsEndByTheirDeadline(t *testing.T) {
	cases := []struct {
		name   string
		change func(harness *harness)
		want   faults.Code
	}{
		{"leader does not answer", func(harness *harness) { harness.group.unresponsive = true }, faults.ForwardTimeout},
		{"no leader", func(harness *harness) { harness.group.status.Leader = "" }, faults.QuorumUnconfirmed},
		{"member does not lead", func(harness *harness) { harness.group.err = faults.New(faults.NotLeader, "no") }, faults.QuorumUnconfirmed},
		{"outcome unknown", func(harness *harness) { harness.group.err = faults.New(faults.ProposalOutcomeUnknown, "no") }, faults.ProposalOutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			test.change(harness)
			require.Equal(t, test.want, faults.CodeOf(harness.register(readyTarget(1, 1))))
		})
	}
}

func TestFollowerForwardsToTheLeader(t *testing.T) {
	harness := newHarness(t)
	harness.group.status = replica.Status{Leader: "other", CurrentAt: startTime.Add(time.Hour)}
	ended := 0
	harness.registrar.Register(harness.now, readyTarget(1, 1), harness.now.Add(800*time.Millisecond), func(err error) {
		require.NoError(t, err)
		ended++
	})
	harness.run(50 * time.Millisecond)
	request := onlyMessageTo[ProposeRequest](harness, "other")
	result, err := directory.EncodeResult(directory.Result{Tokens: []directory.Token{5}})
	require.NoError(t, err)
	for range 2 {
		harness.mailbox.Inbox.Put(protocol.Envelope{From: "other", To: "self", Message: Reply{Correlation: request.Correlation, Result: result}})
	}
	harness.run(100 * time.Millisecond)
	require.Equal(t, 1, ended, "a duplicate reply counts once")
}

// onlyMessageTo returns the only message of a type that was sent. It must have been sent to
// name.
func onlyMessageTo[Message any](harness *harness, name model.NodeName) Message {
	harness.t.Helper()
	var found []Message
	for _, envelope := range harness.mailbox.Outbox.Drain() {
		if message, matches := envelope.Message.(Message); matches {
			require.Equal(harness.t, name, envelope.To)
			found = append(found, message)
		}
	}
	require.Len(harness.t, found, 1)
	return found[0]
}

func TestReadWaitsUntilTheMemberCatchesUp(t *testing.T) {
	harness := newHarness(t)
	harness.group.status = replica.Status{Leader: "other", CurrentAt: startTime.Add(time.Hour)}
	ended := 0
	harness.proposer.Read(harness.now.Add(time.Second), func(err error) {
		require.NoError(t, err)
		ended++
	})
	harness.run(50 * time.Millisecond)
	request := onlyMessageTo[ReadRequest](harness, "other")
	harness.mailbox.Inbox.Put(protocol.Envelope{From: "other", To: "self", Message: Reply{Correlation: request.Correlation, Revision: 1}})
	harness.run(100 * time.Millisecond)
	require.Zero(t, ended)
	data, err := directory.EncodeCommand(directory.Command{Leave: &directory.Departure{ID: 9}})
	require.NoError(t, err)
	harness.group.directory.Apply(1, startTime, data)
	harness.run(100 * time.Millisecond)
	require.Equal(t, 1, ended)
}

// reportVerdict delivers a balancer's report about a target to the leader.
func (harness *harness) reportVerdict(balancer model.NodeName, id directory.TargetID, verdict feed.Verdict) {
	token, _ := harness.group.directory.TokenOf(id)
	harness.reportTokenVerdict(balancer, token, verdict)
}

func (harness *harness) reportTokenVerdict(balancer model.NodeName, token directory.Token, verdict feed.Verdict) {
	harness.mailbox.Inbox.Put(protocol.Envelope{From: balancer, To: "self", Message: feed.HealthReport{Token: token, Verdict: verdict, Balancer: balancer}})
}

func (harness *harness) targetState(id directory.TargetID) directory.TargetState {
	target, _ := harness.group.directory.Target(id)
	return target.State
}

// renewFor renews the target every second for a while.
func (harness *harness) renewFor(duration time.Duration, id directory.TargetID) {
	harness.renewTargetFor(duration, readyTarget(id, 1))
}

func (harness *harness) renewTargetFor(duration time.Duration, target directory.Target) {
	for end := harness.now.Add(duration); harness.now.Before(end); {
		target.Sequence = uint64(harness.now.UnixNano())
		require.NoError(harness.t, harness.register(target))
	}
}

// leave records that a target leaves.
func (harness *harness) leave(id directory.TargetID) {
	harness.t.Helper()
	harness.registrar.Leave(harness.now, directory.Departure{ID: id}, harness.now.Add(time.Second), func(err error) { require.NoError(harness.t, err) })
	harness.run(100 * time.Millisecond)
}

func TestFailureDetection(t *testing.T) {
	cases := []struct {
		name string
		run  func(harness *harness)
		want directory.TargetState
	}{
		{"target that renews stays ready", func(harness *harness) { harness.renewFor(20*time.Second, 1) }, directory.TargetReady},
		{"target that does not renew but answers probes stays ready", func(harness *harness) { harness.run(20 * time.Second) }, directory.TargetReady},
		{"target that does not renew and refuses probes fails", func(harness *harness) {
			harness.probeOutcome = probe.Refused
			harness.run(7 * time.Second)
		}, directory.TargetFailed},
		{"target that neither renews nor answers probes fails", func(harness *harness) {
			harness.probeOutcome = probe.Silent
			harness.run(9 * time.Second)
		}, directory.TargetFailed},
		{"one lost probe is not enough", func(harness *harness) {
			harness.run(3900 * time.Millisecond)
			harness.probeOutcome = probe.Silent
			harness.run(100 * time.Millisecond)
			harness.run(200 * time.Millisecond)
			harness.probeOutcome = probe.Answered
			harness.run(3 * time.Second)
		}, directory.TargetReady},
		{"one refused connection is enough", func(harness *harness) {
			harness.reportVerdict("one", 1, feed.VerdictRefused)
			harness.run(100 * time.Millisecond)
		}, directory.TargetFailed},
		{"one balancer without an answer is not enough", func(harness *harness) {
			harness.run(1500 * time.Millisecond)
			harness.reportVerdict("one", 1, feed.VerdictSilent)
			harness.run(500 * time.Millisecond)
		}, directory.TargetReady},
		{"two balancers without an answer are not enough while the target renews", func(harness *harness) {
			harness.reportVerdict("one", 1, feed.VerdictSilent)
			harness.reportVerdict("two", 1, feed.VerdictSilent)
			harness.run(200 * time.Millisecond)
		}, directory.TargetReady},
		{"two balancers without an answer and a missed renewal are enough", func(harness *harness) {
			harness.run(1500 * time.Millisecond)
			harness.reportVerdict("one", 1, feed.VerdictSilent)
			harness.reportVerdict("two", 1, feed.VerdictSilent)
			harness.run(200 * time.Millisecond)
		}, directory.TargetFailed},
		{"an expired report does not count", func(harness *harness) {
			harness.run(1500 * time.Millisecond)
			harness.reportVerdict("one", 1, feed.VerdictSilent)
			harness.run(reporterTTL + 100*time.Millisecond)
			harness.reportVerdict("two", 1, feed.VerdictSilent)
			harness.run(200 * time.Millisecond)
		}, directory.TargetReady},
		{"failed target that renews and answers recovers", func(harness *harness) {
			harness.reportVerdict("one", 1, feed.VerdictRefused)
			harness.run(time.Second)
			harness.renewFor(time.Second, 1)
		}, directory.TargetReady},
		{"delayed renewal of a dead target does not recover it", func(harness *harness) {
			harness.probeOutcome = probe.Refused
			harness.reportVerdict("one", 1, feed.VerdictRefused)
			harness.run(time.Second)
			require.NoError(harness.t, harness.register(readyTarget(1, 9)))
			harness.run(time.Second)
		}, directory.TargetFailed},
		{"delayed renewal of a replaced target does not recover it", func(harness *harness) {
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			require.NoError(harness.t, harness.register(readyTarget(1, 9)))
			harness.renewTargetFor(10*time.Second, atAddressOf(1, readyTarget(2, 1)))
			require.Equal(harness.t, directory.TargetReady, harness.targetState(2))
		}, directory.TargetFailed},
		{"target that renews wins over a delayed registration at its address", func(harness *harness) {
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			harness.renewFor(12*time.Second, 1)
			require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
		}, directory.TargetReady},
		{"target that renews keeps its address beside a registration from it", func(harness *harness) {
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			for range 12 {
				require.Equal(harness.t, directory.TargetReady, harness.targetState(1))
				require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
				harness.renewFor(time.Second, 1)
			}
		}, directory.TargetReady},
		{"target that another one follows at its address fails once the other has called twice", func(harness *harness) {
			harness.run(1500 * time.Millisecond)
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
			harness.run(500 * time.Millisecond)
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 2))))
			require.Equal(harness.t, directory.TargetReady, harness.targetState(2))
		}, directory.TargetFailed},
		{"target that another one follows at its address fails at the first call if it missed two renewals", func(harness *harness) {
			harness.run(4 * time.Second)
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			require.Equal(harness.t, directory.TargetReady, harness.targetState(2))
		}, directory.TargetFailed},
		{"one late call from its address does not replace a target that missed a renewal", func(harness *harness) {
			harness.run(1500 * time.Millisecond)
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			harness.renewFor(5*time.Second, 1)
			require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
		}, directory.TargetReady},
		{"another writer at its address that repeats itself does not replace it", func(harness *harness) {
			for range 8 {
				require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, uint64(harness.now.UnixNano())))))
				harness.renewFor(time.Second, 1)
			}
			require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
		}, directory.TargetReady},
		{"one call from its address does not replace a target that left", func(harness *harness) {
			harness.leave(1)
			harness.run(4 * time.Second)
			require.NoError(harness.t, harness.register(atAddressOf(1, readyTarget(2, 1))))
			harness.run(10 * time.Second)
			require.Equal(harness.t, directory.TargetFailed, harness.targetState(2))
		}, directory.TargetLeft},
		{"target that another one follows at its address after it left fails once the other has called twice", func(harness *harness) {
			harness.leave(1)
			harness.run(4 * time.Second)
			harness.renewTargetFor(1500*time.Millisecond, atAddressOf(1, readyTarget(2, 1)))
			require.Equal(harness.t, directory.TargetReady, harness.targetState(2))
		}, directory.TargetFailed},
		{"target that left fails once its port is closed", func(harness *harness) {
			harness.leave(1)
			harness.run(time.Second)
			require.Equal(t, directory.TargetLeft, harness.targetState(1))
			harness.probeOutcome = probe.Refused
			harness.run(2 * time.Second)
		}, directory.TargetFailed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			require.NoError(t, harness.register(readyTarget(1, 1)))
			test.run(harness)
			require.Equal(t, test.want, harness.targetState(1))
		})
	}
}

// atAddressOf returns target with the address of another target.
func atAddressOf(other directory.TargetID, target directory.Target) directory.Target {
	target.Address = readyTarget(other, 1).Address
	return target
}

func TestFailedTargetIsRemovedAfterTheLongestFlow(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(readyTarget(1, 1)))
	harness.reportVerdict("one", 1, feed.VerdictRefused)
	harness.run(70 * time.Second)
	_, exists := harness.group.directory.Target(1)
	require.True(t, exists)
	harness.run(10 * time.Second)
	_, exists = harness.group.directory.Target(1)
	require.False(t, exists)
}

func TestObservationsAndRenewalsOfRemovedTargetsAreDropped(t *testing.T) {
	harness := newHarness(t)
	const targets = 3 * staleObservationSlack
	for id := range directory.TargetID(targets) {
		harness.registrar.Register(harness.now, readyTarget(id+1, 1), harness.now.Add(time.Second), func(err error) { require.NoError(t, err) })
	}
	harness.run(time.Second)
	for id := range directory.TargetID(targets) {
		harness.reportVerdict("one", id+1, feed.VerdictRefused)
	}
	harness.run(90 * time.Second)
	require.Empty(t, harness.group.directory.Targets())
	require.LessOrEqual(t, len(harness.health.observations), staleObservationSlack)
	require.Zero(t, harness.health.renewalTable.Length())
}

func TestFollowerForwardsRenewalsAndReports(t *testing.T) {
	harness := newHarness(t)
	require.NoError(t, harness.register(readyTarget(1, 1)))
	harness.group.status = replica.Status{Leader: "other", CurrentAt: startTime.Add(time.Hour)}
	require.NoError(t, harness.register(readyTarget(1, 2)))
	harness.reportVerdict("one", 1, feed.VerdictSilent)
	harness.run(time.Second)
	var renewals, reports int
	for _, envelope := range harness.mailbox.Outbox.Drain() {
		require.Equal(t, model.NodeName("other"), envelope.To)
		switch envelope.Message.(type) {
		case Renewals:
			renewals++
		case feed.HealthReport:
			reports++
		}
	}
	require.Equal(t, 1, renewals)
	require.Equal(t, 1, reports)
	require.Equal(t, directory.TargetReady, harness.targetState(1))
}
