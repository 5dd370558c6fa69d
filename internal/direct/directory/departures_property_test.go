package directory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// maxCallDelay is how late registrations arrive in this property.
const maxCallDelay = 10 * time.Second

// startedTarget is one start of a target in a restartingTarget.
type startedTarget struct {
	started  StartTime
	sequence uint64
	// endedAt is when it sent its last registration: when it left or crashed; zero before.
	endedAt time.Time
}

// restartingTarget is a target that registers, leaves, crashes and restarts under its identifier, with a
// directory that applies its calls in a random order.
type restartingTarget struct {
	t         *testing.T
	random    *rand.Rand
	directory *Directory
	index     model.Revision
	now       time.Time
	starts    []*startedTarget
	// left is the latest start that left.
	left StartTime
}

const restartingID TargetID = 1

func (target *restartingTarget) apply(command Command) {
	data, err := EncodeCommand(command)
	require.NoError(target.t, err)
	target.index++
	target.directory.Apply(target.index, target.now, data)
}

func (target *restartingTarget) current() *startedTarget { return target.starts[len(target.starts)-1] }

func (target *restartingTarget) start() {
	target.starts = append(target.starts, &startedTarget{started: StartTime(target.now.UnixMilli())})
}

// register applies a registration of a start that may be sent now or be late.
func (target *restartingTarget) register() {
	sender := target.starts[target.random.IntN(len(target.starts))]
	if !sender.endedAt.IsZero() && target.now.Sub(sender.endedAt) > maxCallDelay {
		return
	}
	sender.sequence++
	reported := withStart(sender.started, targetAt(restartingID, 1, sender.sequence, TargetReady))
	if target.random.IntN(2) == 0 {
		target.apply(Command{Register: &Registration{Target: reported}})
		return
	}
	target.apply(Command{RegisterAll: &Registrations{Targets: []Target{reported}}})
}

// leave applies a notice of the current start, which tells its start or does not, or repeats a notice of
// an earlier start.
func (target *restartingTarget) leave() {
	sender := target.current()
	departure := Departure{ID: restartingID, Started: sender.started}
	switch target.random.IntN(3) {
	case 0:
		departure.Started = 0
	case 1:
		departure.Started = target.starts[target.random.IntN(len(target.starts))].started
	}
	if departure.Started != 0 && departure.Started != sender.started {
		if departure.Started <= target.left {
			target.apply(Command{Leave: &departure})
		}
		return
	}
	if sender.endedAt.IsZero() {
		sender.endedAt = target.now
	}
	target.left = sender.started
	target.apply(Command{Leave: &departure})
}

// restart ends the current start, which serves on for some seconds if it has left, and begins another one.
func (target *restartingTarget) restart() {
	if sender := target.current(); sender.endedAt.IsZero() {
		sender.endedAt = target.now
		target.now = target.now.Add(100 * time.Millisecond)
	} else {
		target.now = target.now.Add(startClockTolerance + time.Millisecond)
	}
	target.start()
}

// reportHealth applies a result of health checks, a removal or a snapshot.
func (target *restartingTarget) reportHealth() {
	targets := target.directory.Targets()
	if len(targets) == 0 {
		return
	}
	token := targets[target.random.IntN(len(targets))].Token
	switch target.random.IntN(4) {
	case 0:
		target.apply(Command{TargetHealth: &HealthChange{Failed: []Token{token}}})
	case 1:
		target.apply(Command{TargetHealth: &HealthChange{Recovered: []Token{token}}})
	case 2:
		if incarnation, _ := target.directory.Incarnation(token); incarnation.State == TargetFailed {
			target.apply(Command{ForgetTargets: &Forgetting{Tokens: []Token{token}}})
		}
	default:
		snapshot, err := target.directory.Snapshot()
		require.NoError(target.t, err)
		target.directory = New()
		require.NoError(target.t, target.directory.Restore(snapshot))
	}
}

// step plays a random event.
func (target *restartingTarget) step() {
	switch target.random.IntN(6) {
	case 0, 1:
		target.register()
	case 2:
		target.leave()
	case 3:
		target.restart()
	case 4:
		target.reportHealth()
	default:
		target.now = target.now.Add(time.Duration(target.random.Int64N(int64(2 * time.Second))))
	}
}

// takesFlowsAfterLeaving reports whether a start that left, or an earlier one, takes new flows.
func (target *restartingTarget) takesFlowsAfterLeaving() bool {
	return slices.ContainsFunc(target.directory.Targets(), func(recorded Target) bool {
		return recorded.State == TargetReady && recorded.Started <= target.left
	})
}

// startsAgain reports whether a start that began after all notices is recorded once it registers.
func (target *restartingTarget) startsAgain() bool {
	target.restart()
	target.current().sequence++
	reported := withStart(target.current().started, targetAt(restartingID, 1, target.current().sequence, TargetReady))
	target.apply(Command{Register: &Registration{Target: reported}})
	recorded, _ := target.directory.Target(restartingID)
	return recorded.Started == reported.Started
}

// TestNoFlowsAfterDeparture guards against new flows to a target that has left. After a notice was
// applied, no start up to the one that sent it takes new flows, in whichever order notices,
// registrations, health results and removals come; and a later start is not shut out.
func TestNoFlowsAfterDeparture(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(parameters)
	properties.Property("no flows after a departure", prop.ForAll(func(seed uint64) bool {
		target := &restartingTarget{
			t: t, random: rand.New(rand.NewPCG(seed, 9)), directory: New(),
			now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		}
		target.start()
		for step := range 30 {
			target.step()
			if target.takesFlowsAfterLeaving() {
				t.Logf("seed %d, step %d: start %d has left; %+v", seed, step, target.left, target.directory.Targets())
				return false
			}
		}
		return target.startsAgain()
	}, gen.UInt64()))
	properties.TestingRun(t)
}
