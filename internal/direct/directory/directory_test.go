package directory

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// runner applies commands to a directory, each at the next revision.
type runner struct {
	t         testing.TB
	directory *Directory
	index     model.Revision
}

func newRunner(t testing.TB) *runner { return &runner{t: t, directory: New()} }

func (runner *runner) apply(command Command) Result {
	runner.t.Helper()
	data, err := EncodeCommand(command)
	require.NoError(runner.t, err)
	runner.index++
	result, err := DecodeResult(runner.directory.Apply(runner.index, time.Time{}, data))
	require.NoError(runner.t, err)
	return result
}

func (runner *runner) register(target Target) Result {
	runner.t.Helper()
	return runner.apply(Command{Register: &Registration{Target: target}})
}

// state returns the state of the latest incarnation of a target; zero when there is none.
func (runner *runner) state(id TargetID) TargetState {
	target, _ := runner.directory.Target(id)
	return target.State
}

// token returns the token of the latest incarnation of a target; zero when there is none.
func (runner *runner) token(id TargetID) Token {
	token, _ := runner.directory.TokenOf(id)
	return token
}

func (runner *runner) reportFailed(id TargetID) {
	runner.t.Helper()
	runner.apply(Command{TargetHealth: &HealthChange{Failed: []Token{runner.token(id)}}})
}

func (runner *runner) reportRecovered(id TargetID) {
	runner.t.Helper()
	runner.apply(Command{TargetHealth: &HealthChange{Recovered: []Token{runner.token(id)}}})
}

// currentStart returns a start time that increases every 8 commands, so that targets restart now
// and then.
func (runner *runner) currentStart() StartTime { return StartTime(1 + runner.index/8) }

func withStart(started StartTime, target Target) Target {
	target.Started = started
	return target
}

// targetAt returns a target of the service "feed" at 10.0.0.host:8080 that processes 2 requests
// concurrently.
func targetAt(id TargetID, host byte, sequence uint64, state TargetState) Target {
	return Target{
		ID: id, Service: "feed", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 8080),
		Capacity: 2, State: state, Sequence: sequence,
	}
}

// replace registers a target at the address of another one, and records that the leader found the
// former alive and the latter dead.
func (runner *runner) replace(replaced, successor TargetID) {
	runner.t.Helper()
	occupant, _ := runner.directory.Target(replaced)
	added := targetAt(successor, 1, 1, TargetReady)
	added.Address = occupant.Address
	runner.register(added)
	runner.apply(Command{TargetHealth: &HealthChange{Failed: []Token{occupant.Token}, Recovered: []Token{runner.token(successor)}}})
}

func TestTokensAreNeverReused(t *testing.T) {
	runner := newRunner(t)
	first := runner.register(targetAt(1, 1, 1, TargetReady))
	again := runner.register(targetAt(1, 1, 2, TargetReady))
	require.Equal(t, first.Token, again.Token, "an incarnation keeps its token")
	runner.apply(Command{ForgetTargets: &Forgetting{Tokens: []Token{first.Token}}})
	second := runner.register(targetAt(1, 1, 3, TargetReady))
	require.NotEqual(t, first.Token, second.Token)
	require.NotZero(t, first.Token)
}

func TestStateMovesForwardOnly(t *testing.T) {
	cases := []struct {
		name string
		run  func(runner *runner)
		want TargetState
	}{
		{"ready", func(*runner) {}, TargetReady},
		{"call with an older sequence number after draining", func(r *runner) {
			r.register(targetAt(1, 1, 5, TargetDraining))
			r.register(targetAt(1, 1, 4, TargetReady))
		}, TargetDraining},
		{"ready with a higher sequence after draining", func(r *runner) {
			r.register(targetAt(1, 1, 5, TargetDraining))
			r.register(targetAt(1, 1, 6, TargetReady))
		}, TargetDraining},
		{"draining after it left", func(r *runner) {
			r.apply(Command{Leave: &Departure{ID: 1}})
			r.register(targetAt(1, 1, 6, TargetDraining))
		}, TargetLeft},
		{"leaving twice", func(r *runner) {
			r.apply(Command{Leave: &Departure{ID: 1}})
			r.apply(Command{Leave: &Departure{ID: 1}})
		}, TargetLeft},
		{"failed", func(r *runner) {
			r.reportFailed(1)
		}, TargetFailed},
		{"failed and recovered", func(r *runner) {
			r.reportFailed(1)
			r.reportRecovered(1)
		}, TargetReady},
		{"failed while draining and recovered", func(r *runner) {
			r.register(targetAt(1, 1, 5, TargetDraining))
			r.reportFailed(1)
			r.reportRecovered(1)
		}, TargetDraining},
		{"failed, then left, then recovered", func(r *runner) {
			r.reportFailed(1)
			r.apply(Command{Leave: &Departure{ID: 1}})
			r.reportRecovered(1)
		}, TargetLeft},
		{"failed, then renewed", func(r *runner) {
			r.reportFailed(1)
			r.register(targetAt(1, 1, 9, TargetReady))
		}, TargetFailed},
		{"failed, then draining, then recovered", func(r *runner) {
			r.reportFailed(1)
			r.register(targetAt(1, 1, 9, TargetDraining))
			r.reportRecovered(1)
		}, TargetDraining},
		{"another target calls from its address", func(r *runner) {
			r.register(targetAt(2, 1, 1, TargetReady))
			require.Equal(r.t, TargetFailed, r.state(2), "until the leader knows which one is alive")
		}, TargetReady},
		{"another target calls from its address while it drains", func(r *runner) {
			r.register(targetAt(1, 1, 5, TargetDraining))
			r.register(targetAt(2, 1, 1, TargetReady))
			require.Equal(r.t, TargetFailed, r.state(2))
		}, TargetDraining},
		{"replaced, then renewed", func(r *runner) {
			r.replace(1, 2)
			r.register(targetAt(1, 1, 9, TargetReady))
		}, TargetFailed},
		{"replaced by one that failed, then recovered", func(r *runner) {
			r.replace(1, 2)
			r.reportFailed(2)
			r.reportRecovered(1)
		}, TargetReady},
		{"replaced at its address", func(r *runner) {
			r.replace(1, 2)
			require.Equal(r.t, TargetReady, r.state(2))
		}, TargetFailed},
		{"replaced, then recovered", func(r *runner) {
			r.replace(1, 2)
			r.reportRecovered(1)
		}, TargetFailed},
		{"another target calls from its address after it left", func(r *runner) {
			r.apply(Command{Leave: &Departure{ID: 1}})
			r.register(targetAt(2, 1, 1, TargetReady))
			require.Equal(r.t, TargetFailed, r.state(2))
		}, TargetLeft},
		{"replaced after it left", func(r *runner) {
			r.apply(Command{Leave: &Departure{ID: 1}})
			r.replace(1, 2)
			require.Equal(r.t, TargetReady, r.state(2))
		}, TargetFailed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runner := newRunner(t)
			runner.register(targetAt(1, 1, 3, TargetReady))
			test.run(runner)
			require.Equal(t, test.want, runner.state(1))
		})
	}
}

// configurationWithPorts returns a configuration with one route per port to the service "feed".
func configurationWithPorts(version uint64, ports ...int) *declared.Configuration {
	configuration := &declared.Configuration{Version: version, Services: []declared.Service{{Name: "feed"}}}
	for _, port := range ports {
		configuration.Routes = append(configuration.Routes, declared.Route{
			Name: fmt.Sprint(port), Kind: declared.KindSafe, Timeout: time.Second,
			Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(port)),
			Pool:    []declared.PoolPart{{Service: "feed", Weight: 1}},
		})
	}
	return configuration
}

func (runner *runner) declare(base, next *declared.Configuration) Result {
	runner.t.Helper()
	difference := declared.Compare(base, next)
	return runner.apply(Command{Declare: &difference})
}

func TestHighestVersionWins(t *testing.T) {
	runner := newRunner(t)
	empty := &declared.Configuration{}
	seven := configurationWithPorts(7, 1, 2)
	require.Equal(t, Result{Version: 7}, runner.declare(empty, seven))
	require.Equal(t, Result{Version: 7}, runner.declare(empty, configurationWithPorts(7, 3)), "equal versions change nothing")
	require.Equal(t, Result{Version: 7}, runner.declare(empty, configurationWithPorts(6, 3)), "older versions change nothing")
	require.Equal(t, Result{Conflict: true, Version: 7}, runner.declare(empty, configurationWithPorts(9, 3)), "a difference from another base version is refused")
	require.Equal(t, seven, runner.directory.Configuration())
	require.Equal(t, Result{Version: 9}, runner.declare(seven, configurationWithPorts(9, 3)))
	require.Equal(t, uint64(9), runner.directory.Configuration().Version)
}

// TestRouteChangesCarryObjectiveAndPriority checks the fields by which balancers admit flows.
func TestRouteChangesCarryObjectiveAndPriority(t *testing.T) {
	runner := newRunner(t)
	configuration := configurationWithPorts(7, 1)
	configuration.Routes[0].Objective = 200 * time.Millisecond
	configuration.Routes[0].Priority = 2
	runner.declare(&declared.Configuration{}, configuration)
	changes := runner.directory.ChangesSince(0)
	require.Len(t, changes.Routes, 1)
	require.Equal(t, 200*time.Millisecond, changes.Routes[0].Objective)
	require.Equal(t, 2, changes.Routes[0].Priority)
	again := configurationWithPorts(8, 1)
	again.Routes[0].Objective = 300 * time.Millisecond
	runner.declare(configuration, again)
	changes = runner.directory.ChangesSince(changes.To)
	require.Len(t, changes.Routes, 1, "a new objective changes the route")
	require.Equal(t, 300*time.Millisecond, changes.Routes[0].Objective)
}

// changeReader keeps a copy of the directory from its changes, as a balancer does.
type changeReader struct {
	revision model.Revision
	routes   map[netip.AddrPort]bool
	targets  map[Token]TargetEntry
}

func (reader *changeReader) apply(changes Changes) {
	if changes.Whole {
		reader.routes = make(map[netip.AddrPort]bool)
		reader.targets = make(map[Token]TargetEntry)
	}
	for _, removed := range changes.Removed {
		delete(reader.routes, removed)
	}
	for _, removed := range changes.Forgotten {
		delete(reader.targets, removed)
	}
	for _, route := range changes.Routes {
		reader.routes[route.Address] = true
	}
	for _, target := range changes.Targets {
		reader.targets[target.Token] = target
	}
	reader.revision = changes.To
}

// applyRandomCommands applies count random commands and calls afterEach after each of them.
func applyRandomCommands(runner *runner, seed uint64, count int, afterEach func(random *rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, 1))
	version := uint64(0)
	for range count {
		id := TargetID(1 + random.IntN(12))
		switch random.IntN(7) {
		case 0, 1:
			runner.register(withStart(runner.currentStart(), targetAt(id, byte(random.IntN(6)), uint64(runner.index), TargetReady)))
		case 2:
			runner.register(withStart(runner.currentStart(), targetAt(id, byte(random.IntN(6)), uint64(runner.index), TargetDraining)))
		case 3:
			runner.apply(Command{Leave: &Departure{ID: id}})
		case 4:
			runner.apply(Command{TargetHealth: &HealthChange{Failed: []Token{runner.token(id)}, Recovered: []Token{runner.token(id + 1)}}})
		case 5:
			runner.apply(Command{ForgetTargets: &Forgetting{Tokens: []Token{runner.token(id)}}})
		case 6:
			version += uint64(random.IntN(3))
			var ports []int
			for port := 1; port <= 9; port++ {
				if random.IntN(2) == 0 {
					ports = append(ports, port)
				}
			}
			runner.declare(runner.directory.Configuration(), configurationWithPorts(version, ports...))
		}
		afterEach(random)
	}
}

// TestIncrementalChangesMatchFullTable compares a reader that applies changes, some of them from a
// restored copy, with a reader of the full table.
func TestIncrementalChangesMatchFullTable(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("changes add up to the full table", prop.ForAll(func(seed uint64) bool {
		runner := newRunner(t)
		incremental := &changeReader{}
		agree := true
		applyRandomCommands(runner, seed, 60, func(random *rand.Rand) {
			if random.IntN(10) == 0 {
				restored := New()
				snapshot, err := runner.directory.Snapshot()
				require.NoError(t, err)
				require.NoError(t, restored.Restore(snapshot))
				require.Equal(t, runner.directory.Digest(), restored.Digest())
				runner.directory = restored
			}
			if random.IntN(3) > 0 {
				return
			}
			incremental.apply(runner.directory.ChangesSince(incremental.revision))
			full := &changeReader{}
			full.apply(runner.directory.ChangesSince(0))
			agree = agree && fmt.Sprint(full.routes) == fmt.Sprint(incremental.routes) &&
				fmt.Sprint(full.targets) == fmt.Sprint(incremental.targets)
		})
		return agree
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestReaderAheadOfTheDirectoryGetsNoChanges(t *testing.T) {
	runner := newRunner(t)
	runner.register(targetAt(1, 1, 1, TargetReady))
	changes := runner.directory.ChangesSince(50)
	require.False(t, changes.Whole)
	require.Empty(t, changes.Targets)
	require.Less(t, changes.To, changes.From)
}

func TestEqualCommandsGiveEqualDigests(t *testing.T) {
	first, second := newRunner(t), newRunner(t)
	applyRandomCommands(first, 11, 200, func(*rand.Rand) {})
	applyRandomCommands(second, 11, 200, func(*rand.Rand) {})
	require.Equal(t, first.directory.Digest(), second.directory.Digest())
}

func TestUndecodableCommandChangesNothing(t *testing.T) {
	directory := New()
	_, err := DecodeResult(directory.Apply(5, time.Time{}, []byte("no command")))
	require.NoError(t, err)
	require.Equal(t, model.Revision(5), directory.Revision())
	require.Empty(t, directory.Targets())
}
