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

// bench carries a judge's verdicts out on targets of one service.
type bench struct {
	judge   *Ejector
	targets []directory.Target
	now     time.Time
	// most is the largest number of targets that were aside at a time.
	most int
}

func newBench(count int) *bench {
	made := &bench{judge: NewEjector(), now: start}
	for id := range count {
		made.targets = append(made.targets, directory.Target{Token: directory.Token(id + 1), Service: "feed", State: directory.TargetReady})
	}
	return made
}

// play lets time pass in steps of half a second. Each target that is not aside
// gets ten requests a step; share returns which part of them it leaves
// unanswered.
func (bench *bench) play(duration time.Duration, share func(id directory.Token) float64) {
	for end := bench.now.Add(duration); bench.now.Before(end); bench.now = bench.now.Add(stepLength) {
		var report feed.OutcomeReport
		for _, target := range bench.targets {
			if !target.Aside {
				unanswered := uint32(10 * share(target.Token))
				report.Counts = append(report.Counts, feed.OutcomeCount{Token: target.Token, Answered: 10 - unanswered, Unanswered: unanswered})
			}
		}
		bench.judge.AddReport(report, bench.now)
		bench.carryOut(bench.judge.Decide(bench.targets, bench.now))
	}
}

func (bench *bench) carryOut(verdict Changes) {
	aside := 0
	for index := range bench.targets {
		target := &bench.targets[index]
		if slices.Contains(verdict.Eject, target.Token) {
			target.Aside = true
		}
		if slices.Contains(verdict.Restore, target.Token) {
			target.Aside = false
		}
		if target.Aside {
			aside++
		}
	}
	bench.most = max(bench.most, aside)
}

func (bench *bench) aside() []directory.Token {
	var ids []directory.Token
	for _, target := range bench.targets {
		if target.Aside {
			ids = append(ids, target.Token)
		}
	}
	return ids
}

func TestJudge(t *testing.T) {
	grey := func(share float64, ids ...directory.Token) func(directory.Token) float64 {
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
		{"all answer", 10, grey(0), nil},
		{"one hangs", 10, grey(0.5, 3), []directory.Token{3}},
		{"two hang", 10, grey(0.5, 3, 7), []directory.Token{3, 7}},
		{"more hang than may be set aside", 10, grey(0.5, 1, 3, 7, 9), []directory.Token{1, 3}},
		{"all hang", 10, func(directory.Token) float64 { return 0.5 }, nil},
		{"half hang", 10, func(id directory.Token) float64 { return float64(id%2) * 0.5 }, nil},
		{"the worse one of a bad pool", 10, func(id directory.Token) float64 {
			if id == 4 {
				return 1
			}
			return 0.1
		}, []directory.Token{4}},
		{"one of three", 3, grey(0.9, 2), []directory.Token{2}},
		{"one of two stays", 2, grey(0.9, 2), nil},
		{"the only one stays", 1, grey(0.9, 1), nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(test.count)
			bench.play(2*time.Second, test.share)
			require.Equal(t, test.want, bench.aside())
		})
	}
}

func TestTargetsReturnAndAreSetAsideLongerEachTime(t *testing.T) {
	bench := newBench(10)
	hangs := func(id directory.Token) float64 {
		if id == 3 {
			return 0.8
		}
		return 0
	}
	answers := func(directory.Token) float64 { return 0 }
	bench.play(time.Second, hangs)
	require.Equal(t, []directory.Token{3}, bench.aside())
	bench.play(firstAside+stepLength, answers)
	require.Empty(t, bench.aside(), "it returns")
	bench.play(time.Second, hangs)
	require.Equal(t, []directory.Token{3}, bench.aside())
	bench.play(firstAside+stepLength, hangs)
	require.Equal(t, []directory.Token{3}, bench.aside(), "the second time is longer")
	bench.play(longestAside, answers)
	require.Empty(t, bench.aside())
	bench.play(calmAfter, answers)
	bench.play(time.Second, hangs)
	bench.play(firstAside+stepLength, answers)
	require.Empty(t, bench.aside(), "after a calm while it begins anew")
}

func TestWhatAnotherLeaderSetAsideReturns(t *testing.T) {
	bench := newBench(10)
	bench.targets[4].Aside = true
	bench.play(firstAside+2*stepLength, func(directory.Token) float64 { return 0 })
	require.Empty(t, bench.aside())
}

func TestTargetsThatLeaveAreNotKeptAside(t *testing.T) {
	bench := newBench(10)
	bench.targets[4].Aside = true
	bench.targets[4].State = directory.TargetDraining
	require.Equal(t, Changes{Restore: []directory.Token{5}}, bench.judge.Decide(bench.targets, start))
}

func TestRecordsOfForgottenTargetsGo(t *testing.T) {
	bench := newBench(200)
	bench.play(time.Second, func(directory.Token) float64 { return 0 })
	bench.targets = bench.targets[:3]
	bench.play(time.Second, func(directory.Token) float64 { return 0 })
	require.LessOrEqual(t, len(bench.judge.records), 2*3+recordsSlack)
}

// TestMostTargetsStay: whatever the outcomes, no more than the allowed share of
// a service is set aside at a time, and all return once all answer.
func TestMostTargetsStay(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(99))
	properties.Property("bounded and temporary", prop.ForAll(func(count int, seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		bench := newBench(count)
		for range 10 {
			shares := make(map[directory.Token]float64)
			for id := range count {
				shares[directory.Token(id+1)] = random.Float64() * float64(random.IntN(2))
			}
			bench.play(2*time.Second, func(id directory.Token) float64 { return shares[id] })
		}
		bench.play(longestAside+time.Second, func(directory.Token) float64 { return 0 })
		return bench.most <= roomFor(count) && len(bench.aside()) == 0
	}, gen.IntRange(1, 40), gen.UInt64()))
	properties.TestingRun(t)
}
