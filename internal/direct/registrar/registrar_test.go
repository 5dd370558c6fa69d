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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// group is a stand-in for the control group: it applies commands at once, or
// refuses them with err, or keeps them when silent.
type group struct {
	directory *directory.Directory
	status    replica.Status
	index     model.Revision
	err       error
	silent    bool
	proposed  int
}

// Submit implements Group.
func (group *group) Submit(command []byte, done func(result []byte, err error)) {
	group.proposed++
	switch {
	case group.silent:
	case group.err != nil:
		done(nil, group.err)
	default:
		group.index++
		done(group.directory.Apply(group.index, start, command), nil)
	}
}

// ReadBarrier implements Group.
func (group *group) ReadBarrier(done func(err error)) {
	if !group.silent {
		done(group.err)
	}
}

// StatusAt implements Group.
func (group *group) StatusAt(time.Time) replica.Status { return group.status }

// bench is a leader's registrar on a clock of its own.
type bench struct {
	t         testing.TB
	now       time.Time
	group     *group
	mailbox   *protocol.Mailbox
	dispatch  *protocol.Dispatcher
	proposer  *Proposer
	registrar *Registrar
	health    *Health
	probes    []netip.AddrPort
	outcome   probe.Outcome
}

func newBench(t testing.TB) *bench {
	made := &bench{t: t, now: start, mailbox: protocol.NewMailbox("self"), outcome: probe.Answered}
	made.group = &group{directory: directory.New(), status: replica.Status{Leader: "self", Leading: true, Term: 1}}
	made.dispatch = protocol.NewDispatcher(made.mailbox)
	renewed := NewRenewed()
	made.proposer = NewProposer(made.mailbox, made.dispatch, made.group, made.group.directory, 0)
	made.registrar = NewRegistrar(made.group.directory, made.proposer, made.group, renewed, peersOf("x"), zap.NewNop())
	prober := probe.NewWithStarter(func(address netip.AddrPort, done func(probe.Outcome)) {
		made.probes = append(made.probes, address)
		done(made.outcome)
	})
	made.health = NewHealth(HealthOptions{
		SilentAfter: 5 * time.Second, MissedAfter: 2 * time.Second, ProbePause: 700 * time.Millisecond, ForgetAfter: 75 * time.Second,
	}, made.mailbox, made.dispatch, made.group, made.group.directory, renewed, prober, zap.NewNop())
	return made
}

func (bench *bench) run(duration time.Duration) {
	for end := bench.now.Add(duration); bench.now.Before(end); bench.now = bench.now.Add(25 * time.Millisecond) {
		bench.dispatch.Reconcile(bench.now)
		bench.proposer.Reconcile(bench.now)
		bench.health.Reconcile(bench.now)
	}
}

func ready(id directory.TargetID, sequence uint64) directory.Target {
	return directory.Target{
		ID: id, Service: "feed", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
		Capacity: 2, State: directory.TargetReady, Sequence: sequence,
	}
}

// register registers a target and returns the outcome after a while.
func (bench *bench) register(target directory.Target) error {
	bench.t.Helper()
	outcome, ended := error(nil), 0
	bench.registrar.Register(bench.now, target, bench.now.Add(800*time.Millisecond), func(err error) { outcome, ended = err, ended+1 })
	bench.run(time.Second)
	require.Equal(bench.t, 1, ended, "a call ends once")
	return outcome
}

func (bench *bench) declare(next *declared.Configuration) error {
	bench.t.Helper()
	outcome, ended := error(nil), 0
	bench.registrar.Declare(bench.now, next, bench.now.Add(800*time.Millisecond), func(err error) { outcome, ended = err, ended+1 })
	bench.run(time.Second)
	require.Equal(bench.t, 1, ended, "a call ends once")
	return outcome
}

func configurationOf(version uint64, port uint16) *declared.Configuration {
	return &declared.Configuration{Version: version, Services: []declared.Service{{Name: "feed"}}, Routes: []declared.Route{{
		Name: "a", Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Kind: declared.KindSafe,
		Timeout: time.Second, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
	}}}
}

func TestRenewalIsNotCommitted(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(ready(1, 1)))
	require.Equal(t, 1, bench.group.proposed)
	require.NoError(t, bench.register(ready(1, 2)))
	require.Equal(t, 1, bench.group.proposed)
	draining := ready(1, 3)
	draining.State = directory.TargetDraining
	require.NoError(t, bench.register(draining))
	require.Equal(t, 2, bench.group.proposed)
	require.NoError(t, bench.register(ready(1, 2)), "a late renewal changes nothing")
	require.Equal(t, 2, bench.group.proposed)
}

func TestInvalidRegistrationsAreRefused(t *testing.T) {
	for name, change := range map[string]func(target *directory.Target){
		"id":       func(target *directory.Target) { target.ID = 0 },
		"service":  func(target *directory.Target) { target.Service = "" },
		"address":  func(target *directory.Target) { target.Address = netip.AddrPort{} },
		"state":    func(target *directory.Target) { target.State = directory.TargetFailed },
		"capacity": func(target *directory.Target) { target.Capacity = -1 },
	} {
		bench := newBench(t)
		target := ready(1, 1)
		change(&target)
		err := bench.register(target)
		require.Equal(t, faults.RegistrationInvalid, faults.CodeOf(err), name)
		require.ErrorContains(t, err, name)
		require.Zero(t, bench.group.proposed)
	}
}

func TestMemberWithoutAQuorumTakesNothing(t *testing.T) {
	bench := newBench(t)
	bench.group.status = replica.Status{Leader: "other", CurrentAt: start.Add(-freshFor)}
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(bench.register(ready(1, 1))))
	require.Equal(t, faults.QuorumUnconfirmed, faults.CodeOf(bench.declare(configurationOf(1, 443))))
	require.Empty(t, bench.mailbox.Outbox.Drain())
}

func TestOlderAndEqualVersionsAreAcknowledgedAndChangeNothing(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.declare(configurationOf(7, 443)))
	require.NoError(t, bench.declare(configurationOf(7, 444)))
	require.NoError(t, bench.declare(configurationOf(3, 445)))
	require.Equal(t, uint16(443), bench.group.directory.Configuration().Routes[0].Address.Port())
}

func TestInvalidConfigurationLeavesNoTrace(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.declare(configurationOf(7, 443)))
	invalid := configurationOf(5, 443)
	invalid.Routes[0].Timeout = 0
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(bench.declare(invalid)), "validity comes before the version")
	invalid.Version = 9
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(bench.declare(invalid)))
	unknown := configurationOf(10, 443)
	unknown.Routes[0].Kind = "odd"
	require.Equal(t, faults.ConfigurationInvalid, faults.CodeOf(bench.declare(unknown)))
	require.Equal(t, uint64(7), bench.group.directory.Configuration().Version)
}

func TestDeclarationThatCameSecondIsComparedAnew(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.declare(configurationOf(1, 443)))
	var outcomes []error
	for version := uint64(2); version <= 5; version++ {
		bench.registrar.Declare(bench.now, configurationOf(version, uint16(443+version)), bench.now.Add(800*time.Millisecond),
			func(err error) { outcomes = append(outcomes, err) })
	}
	bench.run(time.Second)
	require.Equal(t, []error{nil, nil, nil, nil}, outcomes)
	require.Equal(t, *configurationOf(5, 448), *bench.group.directory.Configuration())
}

func TestCallsEndByTheirDeadline(t *testing.T) {
	cases := []struct {
		name   string
		change func(bench *bench)
		want   faults.Code
	}{
		{"leader is silent", func(bench *bench) { bench.group.silent = true }, faults.ForwardTimeout},
		{"nobody leads", func(bench *bench) { bench.group.status.Leader = "" }, faults.QuorumUnconfirmed},
		{"refused as not leading", func(bench *bench) { bench.group.err = faults.New(faults.NotLeader, "no") }, faults.QuorumUnconfirmed},
		{"outcome unknown", func(bench *bench) { bench.group.err = faults.New(faults.OutcomeUnknown, "no") }, faults.OutcomeUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t)
			test.change(bench)
			require.Equal(t, test.want, faults.CodeOf(bench.register(ready(1, 1))))
		})
	}
}

func TestFollowerForwardsToTheLeader(t *testing.T) {
	bench := newBench(t)
	bench.group.status = replica.Status{Leader: "other", CurrentAt: start.Add(time.Hour)}
	ended := 0
	bench.registrar.Register(bench.now, ready(1, 1), bench.now.Add(800*time.Millisecond), func(err error) {
		require.NoError(t, err)
		ended++
	})
	bench.run(50 * time.Millisecond)
	asked := sentTo[ProposeRequest](bench, "other")
	result, err := directory.EncodeResult(directory.Result{Tokens: []directory.Token{5}})
	require.NoError(t, err)
	for range 2 {
		bench.mailbox.Inbox.Put(protocol.Envelope{From: "other", To: "self", Message: Reply{Correlation: asked.Correlation, Result: result}})
	}
	bench.run(100 * time.Millisecond)
	require.Equal(t, 1, ended, "a doubled reply counts once")
}

// sentTo returns the only message of a type that was sent, which must go to
// name.
func sentTo[Message any](bench *bench, name model.NodeName) Message {
	bench.t.Helper()
	var found []Message
	for _, envelope := range bench.mailbox.Outbox.Drain() {
		if message, matches := envelope.Message.(Message); matches {
			require.Equal(bench.t, name, envelope.To)
			found = append(found, message)
		}
	}
	require.Len(bench.t, found, 1)
	return found[0]
}

func TestReadWaitsForThisMembersState(t *testing.T) {
	bench := newBench(t)
	bench.group.status = replica.Status{Leader: "other", CurrentAt: start.Add(time.Hour)}
	ended := 0
	bench.proposer.Read(bench.now.Add(time.Second), func(err error) {
		require.NoError(t, err)
		ended++
	})
	bench.run(50 * time.Millisecond)
	asked := sentTo[ReadRequest](bench, "other")
	bench.mailbox.Inbox.Put(protocol.Envelope{From: "other", To: "self", Message: Reply{Correlation: asked.Correlation, Revision: 1}})
	bench.run(100 * time.Millisecond)
	require.Zero(t, ended)
	data, err := directory.EncodeCommand(directory.Command{Leave: &directory.Departure{ID: 9}})
	require.NoError(t, err)
	bench.group.directory.Apply(1, start, data)
	bench.run(100 * time.Millisecond)
	require.Equal(t, 1, ended)
}

// report hands the leader a balancer's finding.
func (bench *bench) report(balancer model.NodeName, id directory.TargetID, verdict feed.Verdict) {
	token, _ := bench.group.directory.TokenOf(id)
	bench.reportToken(balancer, token, verdict)
}

func (bench *bench) reportToken(balancer model.NodeName, token directory.Token, verdict feed.Verdict) {
	bench.mailbox.Inbox.Put(protocol.Envelope{From: balancer, To: "self", Message: feed.HealthReport{Token: token, Verdict: verdict, Balancer: balancer}})
}

func (bench *bench) state(id directory.TargetID) directory.TargetState {
	target, _ := bench.group.directory.Target(id)
	return target.State
}

// renewUntil keeps the target renewed every second for a while.
func (bench *bench) renewFor(duration time.Duration, id directory.TargetID) {
	bench.renewTargetFor(duration, ready(id, 1))
}

func (bench *bench) renewTargetFor(duration time.Duration, target directory.Target) {
	for end := bench.now.Add(duration); bench.now.Before(end); {
		target.Sequence = uint64(bench.now.UnixNano())
		require.NoError(bench.t, bench.register(target))
	}
}

func TestHealth(t *testing.T) {
	cases := []struct {
		name string
		play func(bench *bench)
		want directory.TargetState
	}{
		{"renewing target stays", func(bench *bench) { bench.renewFor(20*time.Second, 1) }, directory.TargetReady},
		{"silent target that answers probes stays", func(bench *bench) { bench.run(20 * time.Second) }, directory.TargetReady},
		{"silent target whose port is dead fails", func(bench *bench) {
			bench.outcome = probe.Refused
			bench.run(7 * time.Second)
		}, directory.TargetFailed},
		{"silent target whose machine is dead fails", func(bench *bench) {
			bench.outcome = probe.Silent
			bench.run(9 * time.Second)
		}, directory.TargetFailed},
		{"one probe that is lost is not enough", func(bench *bench) {
			bench.run(3900 * time.Millisecond)
			bench.outcome = probe.Silent
			bench.run(100 * time.Millisecond)
			bench.run(200 * time.Millisecond)
			bench.outcome = probe.Answered
			bench.run(3 * time.Second)
		}, directory.TargetReady},
		{"refused balancer is believed at once", func(bench *bench) {
			bench.report("one", 1, feed.VerdictRefused)
			bench.run(100 * time.Millisecond)
		}, directory.TargetFailed},
		{"one balancer that gets no answer is not enough", func(bench *bench) {
			bench.run(1500 * time.Millisecond)
			bench.report("one", 1, feed.VerdictSilent)
			bench.run(500 * time.Millisecond)
		}, directory.TargetReady},
		{"two balancers are not enough while renewals come", func(bench *bench) {
			bench.report("one", 1, feed.VerdictSilent)
			bench.report("two", 1, feed.VerdictSilent)
			bench.run(200 * time.Millisecond)
		}, directory.TargetReady},
		{"two balancers and a missed renewal are", func(bench *bench) {
			bench.run(1500 * time.Millisecond)
			bench.report("one", 1, feed.VerdictSilent)
			bench.report("two", 1, feed.VerdictSilent)
			bench.run(200 * time.Millisecond)
		}, directory.TargetFailed},
		{"findings long apart do not add up", func(bench *bench) {
			bench.run(1500 * time.Millisecond)
			bench.report("one", 1, feed.VerdictSilent)
			bench.run(witnessFor + 100*time.Millisecond)
			bench.report("two", 1, feed.VerdictSilent)
			bench.run(200 * time.Millisecond)
		}, directory.TargetReady},
		{"failed target that renews is back", func(bench *bench) {
			bench.report("one", 1, feed.VerdictRefused)
			bench.run(time.Second)
			bench.renewFor(time.Second, 1)
		}, directory.TargetReady},
		{"late renewal of a dead target does not bring it back", func(bench *bench) {
			bench.outcome = probe.Refused
			bench.report("one", 1, feed.VerdictRefused)
			bench.run(time.Second)
			require.NoError(bench.t, bench.register(ready(1, 9)))
			bench.run(time.Second)
		}, directory.TargetFailed},
		{"late renewal of a replaced target does not bring it back", func(bench *bench) {
			require.NoError(bench.t, bench.register(atAddressOf(1, ready(2, 1))))
			require.NoError(bench.t, bench.register(ready(1, 9)))
			bench.renewTargetFor(10*time.Second, atAddressOf(1, ready(2, 1)))
			require.Equal(bench.t, directory.TargetReady, bench.state(2))
		}, directory.TargetFailed},
		{"renewing target outlives a late registration at its address", func(bench *bench) {
			require.NoError(bench.t, bench.register(atAddressOf(1, ready(2, 1))))
			bench.renewFor(12*time.Second, 1)
			require.Equal(bench.t, directory.TargetFailed, bench.state(2))
		}, directory.TargetReady},
		{"target that left is failed once its port is dead", func(bench *bench) {
			bench.registrar.Leave(bench.now, directory.Departure{ID: 1}, bench.now.Add(time.Second), func(err error) { require.NoError(t, err) })
			bench.run(time.Second)
			require.Equal(t, directory.TargetLeft, bench.state(1))
			bench.outcome = probe.Refused
			bench.run(2 * time.Second)
		}, directory.TargetFailed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t)
			require.NoError(t, bench.register(ready(1, 1)))
			test.play(bench)
			require.Equal(t, test.want, bench.state(1))
		})
	}
}

// atAddressOf returns target with the address of another one.
func atAddressOf(other directory.TargetID, target directory.Target) directory.Target {
	target.Address = ready(other, 1).Address
	return target
}

func TestFailedTargetIsForgottenAfterItsFlows(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(ready(1, 1)))
	bench.report("one", 1, feed.VerdictRefused)
	bench.run(70 * time.Second)
	_, known := bench.group.directory.Target(1)
	require.True(t, known)
	bench.run(10 * time.Second)
	_, known = bench.group.directory.Target(1)
	require.False(t, known)
}

func TestObservationsAndRenewalsOfForgottenTargetsGo(t *testing.T) {
	bench := newBench(t)
	const targets = 3 * observedSlack
	for id := range directory.TargetID(targets) {
		bench.registrar.Register(bench.now, ready(id+1, 1), bench.now.Add(time.Second), func(err error) { require.NoError(t, err) })
	}
	bench.run(time.Second)
	for id := range directory.TargetID(targets) {
		bench.report("one", id+1, feed.VerdictRefused)
	}
	bench.run(90 * time.Second)
	require.Empty(t, bench.group.directory.Targets())
	require.LessOrEqual(t, len(bench.health.observed), observedSlack)
	require.Zero(t, bench.health.renewed.Length())
}

func TestFollowerPassesOnWhatItHears(t *testing.T) {
	bench := newBench(t)
	require.NoError(t, bench.register(ready(1, 1)))
	bench.group.status = replica.Status{Leader: "other", CurrentAt: start.Add(time.Hour)}
	require.NoError(t, bench.register(ready(1, 2)))
	bench.report("one", 1, feed.VerdictSilent)
	bench.run(time.Second)
	var renewals, reports int
	for _, envelope := range bench.mailbox.Outbox.Drain() {
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
	require.Equal(t, directory.TargetReady, bench.state(1))
}
