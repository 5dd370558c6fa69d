package routing_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

const (
	historySteps   = 60
	maximumTargets = 12
	// stillServes marks a target that is the head or the alternate of a bucket.
	stillServes = model.Revision(0)
)

// history is a random course of one service's table. It keeps, apart from the
// table, which targets may hold flows of each bucket.
type history struct {
	random   *rand.Rand
	table    *model.BucketTable
	targets  []model.Target
	revision model.Revision
	// holds has the targets that may hold flows of a bucket, with the revision
	// at which they were last removed as head or alternate, or stillServes.
	holds []map[model.TargetID]model.Revision
	// reports are under way to control.
	reports []model.BucketEmpty
	err     error
}

func newHistory(seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 1))
	created := &history{random: random, targets: servingTargets(2 + random.IntN(6)), revision: 1}
	created.table = routing.NewTable(testService, created.targets, created.revision)
	created.holds = make([]map[model.TargetID]model.Revision, created.table.Count())
	for bucket := range created.holds {
		created.holds[bucket] = make(map[model.TargetID]model.Revision)
	}
	created.follow()
	return created
}

func (history *history) fail(format string, arguments ...any) {
	if history.err == nil {
		history.err = fmt.Errorf("revision %d: "+format, append([]any{history.revision}, arguments...)...)
	}
}

// follow brings holds in line with the heads and alternates of the table.
func (history *history) follow() {
	for bucket := range history.holds {
		row := history.table.Bucket(model.BucketIndex(bucket))
		for target, left := range history.holds[bucket] {
			if left == stillServes && target != row.Head && target != row.Alternate {
				history.holds[bucket][target] = history.revision
			}
		}
		for _, target := range []model.TargetID{row.Head, row.Alternate} {
			if target != 0 {
				history.holds[bucket][target] = stillServes
			}
		}
	}
}

// step makes one change.
func (history *history) step() {
	switch history.random.IntN(8) {
	case 0:
		history.join()
	case 1, 2:
		history.setPhase(model.PhaseDraining)
	case 3:
		history.setPhase(model.PhaseServing)
	case 4:
		history.setPhase(model.PhaseDead)
	case 5:
		history.report()
	default:
		history.deliver()
	}
	history.check()
}

func (history *history) join() {
	if len(history.targets) < maximumTargets {
		id := model.TargetID(len(history.targets) + 1)
		history.targets = append(history.targets, model.Target{ID: id, Service: testService, Phase: model.PhaseServing})
		history.rebalance()
	}
}

// setPhase changes any target. A target that dies has lost its flows.
func (history *history) setPhase(phase model.TargetPhase) {
	target := &history.targets[history.random.IntN(len(history.targets))]
	target.Phase = phase
	if phase == model.PhaseDead {
		for _, holders := range history.holds {
			delete(holders, target.ID)
		}
	}
	history.rebalance()
}

func (history *history) rebalance() {
	history.revision++
	history.commit(history.rebalanced())
}

func (history *history) commit(rows []model.Bucket) {
	history.table = apply(history.table, rows)
	history.follow()
}

// report lets one agent report empty buckets as of its table, which it may
// have applied some revisions ago.
func (history *history) report() {
	target := history.targets[history.random.IntN(len(history.targets))].ID
	at := history.revision - min(history.revision, model.Revision(history.random.IntN(3)))
	for _, bucket := range routing.BucketsMovedFrom(history.table, target, at) {
		if history.random.IntN(2) == 0 {
			history.reports = append(history.reports, model.BucketEmpty{Service: testService, Target: target, Bucket: bucket, At: at})
		}
	}
}

// deliver brings some reports to control, in any order and some twice.
func (history *history) deliver() {
	history.random.Shuffle(len(history.reports), func(left, right int) {
		history.reports[left], history.reports[right] = history.reports[right], history.reports[left]
	})
	count := history.random.IntN(len(history.reports) + 1)
	delivered := slices.Clone(history.reports[:count])
	if history.random.IntN(3) > 0 {
		history.reports = slices.Clone(history.reports[count:])
	}
	for _, report := range delivered {
		left, holds := history.holds[report.Bucket][report.Target]
		if holds && left != stillServes && report.At >= left {
			delete(history.holds[report.Bucket], report.Target)
		}
	}
	history.revision++
	history.commit(routing.RemoveEarlierTargets(history.table, delivered))
	history.commit(history.rebalanced())
}

// rebalanced returns the rows that change, and checks that another process
// computes the same from the targets in another order.
func (history *history) rebalanced() []model.Bucket {
	rows := routing.Rebalance(history.table, history.targets, history.revision)
	shuffled := slices.Clone(history.targets)
	history.random.Shuffle(len(shuffled), func(left, right int) {
		shuffled[left], shuffled[right] = shuffled[right], shuffled[left]
	})
	others := routing.Rebalance(history.table.Clone(), shuffled, history.revision)
	if !slices.EqualFunc(rows, others, sameRow) {
		history.fail("the order of the targets changes the rows")
	}
	return rows
}

func sameRow(left, right model.Bucket) bool {
	return left.Index == right.Index && left.Head == right.Head && left.Alternate == right.Alternate &&
		slices.Equal(left.Earlier, right.Earlier)
}

func (history *history) check() {
	for bucket, holders := range history.holds {
		row := history.table.Bucket(model.BucketIndex(bucket))
		chain := routing.Chain(row)
		for target := range holders {
			if !slices.Contains(chain, target) {
				history.fail("bucket %d: target %d may hold flows and is not in %v", bucket, target, chain)
			}
		}
		if len(row.Earlier) > model.MaximumEarlierTargets {
			history.fail("bucket %d: %d earlier targets", bucket, len(row.Earlier))
		}
		history.checkHead(row)
	}
}

// checkHead demands a serving head, unless the row is so full that another
// head would need an entry too many.
func (history *history) checkHead(row model.Bucket) {
	anyServing := slices.ContainsFunc(history.targets, func(target model.Target) bool { return target.Phase == model.PhaseServing })
	isFull := len(row.Earlier) == model.MaximumEarlierTargets
	if anyServing && !isFull && !history.isServing(row.Head) {
		history.fail("bucket %d: head %d does not serve: %v", row.Index, row.Head, row)
	}
}

func (history *history) isServing(id model.TargetID) bool {
	return id != 0 && history.targets[id-1].Phase == model.PhaseServing
}

func TestTablesKeepTheirInvariantsThroughAnyHistory(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20300301)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("targets that may hold flows stay in the chain, and heads serve", prop.ForAll(
		func(seed uint64) (bool, error) {
			run := newHistory(seed)
			for range historySteps {
				run.step()
			}
			return run.err == nil, run.err
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestMembershipChangesMoveFewBuckets(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20300302))
	properties.Property("a join moves no more than the ideal share, and only to the new target", prop.ForAll(
		func(count int) bool {
			before := routing.NewTable(testService, servingTargets(count), 1)
			after := apply(before, routing.Rebalance(before, servingTargets(count+1), 2))
			moved, foreign := movedHeads(before, after, func(_, to model.TargetID) bool { return to == model.TargetID(count+1) })
			return foreign == 0 && moved <= before.Count()/(count+1)+1
		},
		gen.IntRange(1, 60),
	))
	properties.Property("a drain moves only the buckets of the target that leaves", prop.ForAll(
		func(count, leaver int) bool {
			targets := servingTargets(count)
			before := routing.NewTable(testService, targets, 1)
			leaving := leaver % count
			targets[leaving].Phase = model.PhaseDraining
			after := apply(before, routing.Rebalance(before, targets, 2))
			_, foreign := movedHeads(before, after, func(from, _ model.TargetID) bool { return from == targets[leaving].ID })
			return foreign == 0
		},
		gen.IntRange(2, 60), gen.IntRange(0, 1000),
	))
	properties.TestingRun(t)
}

// movedHeads counts the buckets whose head changed, and those among them that
// expected does not admit.
func movedHeads(before, after *model.BucketTable, expected func(from, to model.TargetID) bool) (moved, foreign int) {
	for bucket := range before.Heads {
		from, to := before.Heads[bucket], after.Heads[bucket]
		if from == to {
			continue
		}
		moved++
		if !expected(from, to) {
			foreign++
		}
	}
	return moved, foreign
}

func TestAFullChainIsNotMoved(t *testing.T) {
	targets := servingTargets(8)
	table := routing.NewTable(testService, targets, 1)
	row := table.Bucket(3)
	for _, target := range targets {
		isFree := target.ID != row.Head && target.ID != row.Alternate
		if isFree && len(row.Earlier) < model.MaximumEarlierTargets {
			row.Earlier = append(row.Earlier, model.EarlierTarget{Target: target.ID, MovedAt: 5})
		}
	}
	table.Set(row)
	for index := range targets {
		isChained := slices.Contains(routing.Chain(row), targets[index].ID)
		if !isChained || targets[index].ID == row.Head {
			continue
		}
		targets[index].Phase = model.PhaseDraining
	}
	draining := targets[row.Head-1]
	targets[row.Head-1].Phase = model.PhaseDraining
	after := apply(table, routing.Rebalance(table, targets, 9)).Bucket(3)
	if after.Head != draining.ID || !slices.Equal(after.Earlier, row.Earlier) {
		t.Fatalf("the full row %v moved to %v", row, after)
	}
	rows := routing.RemoveEarlierTargets(table, []model.BucketEmpty{{Service: testService, Target: row.Earlier[0].Target, Bucket: 3, At: 9}})
	emptied := apply(table, rows)
	moved := apply(emptied, routing.Rebalance(emptied, targets, 10)).Bucket(3)
	if moved.Head == draining.ID {
		t.Fatalf("the row %v did not move once an entry had left", moved)
	}
}

// The worst case of a rolling restart: no target ever reports a bucket empty,
// so that all chains fill up. Targets leave one at a time.
func TestARollingDrainLeavesNoBucketWithoutAServingHead(t *testing.T) {
	const rounds = 3
	for _, count := range []int{4, 14, 30} {
		targets := servingTargets(count)
		table := routing.NewTable(testService, targets, 1)
		revision := model.Revision(1)
		setPhase := func(index int, phase model.TargetPhase) {
			revision++
			targets[index].Phase = phase
			table = apply(table, routing.Rebalance(table, targets, revision))
		}
		for step := range rounds * count {
			leaving := step % count
			setPhase(leaving, model.PhaseDraining)
			if slices.Contains(table.Heads, targets[leaving].ID) {
				t.Fatalf("%d targets, step %d: target %d drains and is still a head", count, step, targets[leaving].ID)
			}
			setPhase(leaving, model.PhaseServing)
		}
		heads := headCounts(table)
		t.Logf("%d targets: heads from %d to %d", count, slices.Min(slices.Collect(maps.Values(heads))), slices.Max(slices.Collect(maps.Values(heads))))
	}
}
