package outcome

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
)

// simulation applies an Ejector's changes to the targets of one service.
type simulation struct {
	ejector *Ejector
	targets []directory.Target
	now     time.Time
	// mostEjected is the largest number of targets that were ejected at the same time.
	mostEjected int
}

// newSimulation returns a simulation with count ready targets.
func newSimulation(count int) *simulation {
	result := &simulation{ejector: NewEjector(), now: start}
	for id := range count {
		result.targets = append(result.targets, directory.Target{Token: directory.Token(id + 1), Service: "feed", State: directory.TargetReady})
	}
	return result
}

// run simulates the duration in steps of half a second. Each target that is not ejected gets ten
// requests a step; share returns the share of them that it leaves unanswered.
func (simulation *simulation) run(duration time.Duration, share func(id directory.Token) float64) {
	for end := simulation.now.Add(duration); simulation.now.Before(end); simulation.now = simulation.now.Add(stepLength) {
		var report feed.OutcomeReport
		for _, target := range simulation.targets {
			if !target.Aside {
				unanswered := uint32(10 * share(target.Token))
				report.Counts = append(report.Counts, feed.OutcomeCount{Token: target.Token, Answered: 10 - unanswered, Unanswered: unanswered})
			}
		}
		simulation.ejector.AddReport(report, simulation.now)
		simulation.apply(simulation.ejector.Decide(simulation.targets, simulation.now))
	}
}

// apply ejects and restores targets.
func (simulation *simulation) apply(changes Changes) {
	ejected := 0
	for index := range simulation.targets {
		target := &simulation.targets[index]
		if slices.Contains(changes.Eject, target.Token) {
			target.Aside = true
		}
		if slices.Contains(changes.Restore, target.Token) {
			target.Aside = false
		}
		if target.Aside {
			ejected++
		}
	}
	simulation.mostEjected = max(simulation.mostEjected, ejected)
}

// ejected returns the targets that are ejected now.
func (simulation *simulation) ejected() []directory.Token {
	var ids []directory.Token
	for _, target := range simulation.targets {
		if target.Aside {
			ids = append(ids, target.Token)
		}
	}
	return ids
}

func TestTargetsWithUnansweredRequestsAreEjected(t *testing.T) {
	unanswered := func(share float64, ids ...directory.Token) func(directory.Token) float64 {
		return func(id directory.Token) float64 {
			if slices.Contains(ids, id) {
				return share
			}
			return 0
		}
	}
	cases := []struct {
		name  string
		count int
		share func(directory.Token) float64
		want  []directory.Token
	}{
		{"all targets answer", 10, unanswered(0), nil},
		{"one target hangs", 10, unanswered(0.5, 3), []directory.Token{3}},
		{"two targets hang", 10, unanswered(0.5, 3, 7), []directory.Token{3, 7}},
		{"more targets hang than may be ejected", 10, unanswered(0.5, 1, 3, 7, 9), []directory.Token{1, 3}},
		{"all targets hang", 10, func(directory.Token) float64 { return 0.5 }, nil},
		{"half of the targets hang", 10, func(id directory.Token) float64 { return float64(id%2) * 0.5 }, nil},
		{"one is much worse than a bad median", 10, func(id directory.Token) float64 {
			if id == 4 {
				return 1
			}
			return 0.1
		}, []directory.Token{4}},
		{"one of three is ejected", 3, unanswered(0.9, 2), []directory.Token{2}},
		{"one of two is not ejected", 2, unanswered(0.9, 2), nil},
		{"the only target is not ejected", 1, unanswered(0.9, 1), nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(test.count)
			simulation.run(2*time.Second, test.share)
			require.Equal(t, test.want, simulation.ejected())
		})
	}
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	simulation := newSimulation(10)
	hangs := func(id directory.Token) float64 {
		if id == 3 {
			return 0.8
		}
		return 0
	}
	answers := func(directory.Token) float64 { return 0 }
	simulation.run(time.Second, hangs)
	require.Equal(t, []directory.Token{3}, simulation.ejected())
	simulation.run(firstEjection+stepLength, answers)
	require.Empty(t, simulation.ejected(), "restored")
	simulation.run(time.Second, hangs)
	require.Equal(t, []directory.Token{3}, simulation.ejected())
	simulation.run(firstEjection+stepLength, hangs)
	require.Equal(t, []directory.Token{3}, simulation.ejected(), "the second ejection is longer")
	simulation.run(maxEjection, answers)
	require.Empty(t, simulation.ejected())
	simulation.run(ejectionResetAfter, answers)
	simulation.run(time.Second, hangs)
	simulation.run(firstEjection+stepLength, answers)
	require.Empty(t, simulation.ejected(), "after some time without ejections they start again with the shortest")
}

func TestTargetsEjectedByAPreviousLeaderAreRestored(t *testing.T) {
	simulation := newSimulation(10)
	simulation.targets[4].Aside = true
	simulation.run(firstEjection+2*stepLength, func(directory.Token) float64 { return 0 })
	require.Empty(t, simulation.ejected())
}

func TestDrainingTargetsAreRestored(t *testing.T) {
	simulation := newSimulation(10)
	simulation.targets[4].Aside = true
	simulation.targets[4].State = directory.TargetDraining
	require.Equal(t, Changes{Restore: []directory.Token{5}}, simulation.ejector.Decide(simulation.targets, start))
}

func TestRecordsOfRemovedTargetsAreDropped(t *testing.T) {
	simulation := newSimulation(200)
	simulation.run(time.Second, func(directory.Token) float64 { return 0 })
	simulation.targets = simulation.targets[:3]
	simulation.run(time.Second, func(directory.Token) float64 { return 0 })
	require.LessOrEqual(t, len(simulation.ejector.records), 2*3+recordsSlack)
}

// TestEjectionsAreBoundedAndTemporary: whatever the outcomes, no more than the allowed share of a
// service is ejected at a time, and all targets are restored once they all answer.
func TestEjectionsAreBoundedAndTemporary(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(99))
	properties.Property("bounded and temporary", prop.ForAll(func(count int, seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		simulation := newSimulation(count)
		for range 10 {
			shares := make(map[directory.Token]float64)
			for id := range count {
				shares[directory.Token(id+1)] = random.Float64() * float64(random.IntN(2))
			}
			simulation.run(2*time.Second, func(id directory.Token) float64 { return shares[id] })
		}
		simulation.run(maxEjection+time.Second, func(directory.Token) float64 { return 0 })
		return simulation.mostEjected <= maxEjected(count) && len(simulation.ejected()) == 0
	}, gen.IntRange(1, 40), gen.UInt64()))
	properties.TestingRun(t)
}
