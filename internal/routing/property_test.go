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
	// stillAssigned stands for the revision of the move of a target that is still the head or the
	// alternate of a bucket.
	stillAssigned = model.Revision(0)
)

// history is a random sequence of changes to one service's table. It records, independently of the
// table, which targets may hold flows of each bucket.
type history struct {
	random   *rand.Rand
	table    *model.BucketTable
	targets  []model.Target
	revision model.Revision
	// holders has for each bucket the targets that may hold flows of it, with the revision at which
	// they stopped being its head or alternate, or stillAssigned.
	holders []map[model.TargetID]model.Revision
	// reports were sent and have not reached control yet.
	reports []model.BucketEmpty
	// err is the first violation of an invariant.
	err error
}

func newHistory(seed uint64) *history {
	random := rand.New(rand.NewPCG(seed, 1))
	created := &history{random: random, targets: servingTargets(2 + random.IntN(6)), revision: 1}
	created.table = routing.NewTable(testService, created.targets, created.revision)
	created.holders = make([]map[model.TargetID]model.Revision, created.table.Count())
	for bucket := range created.holders {
		created.holders[bucket] = make(map[model.TargetID]model.Revision)
	}
	created.updateHolders()
	return created
}

func (history *history) fail(format string, arguments ...any) {
	if history.err == nil {
		history.err = fmt.Errorf("revision %d: "+format, append([]any{history.revision}, arguments...)...)
	}
}

// updateHolders updates holders after a change of the table's heads and alternates.
func (history *history) updateHolders() {
	for bucket := range history.holders {
		row := history.table.Bucket(model.BucketIndex(bucket))
		for target, left := range history.holders[bucket] {
			if left == stillAssigned && target != row.Head && target != row.Alternate {
				history.holders[bucket][target] = history.revision
			}
		}
		for _, target := range []model.TargetID{row.Head, row.Alternate} {
			if target != 0 {
				history.holders[bucket][target] = stillAssigned
			}
		}
	}
}

// step makes one random change and checks the invariants.
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
		history.sendReports()
	default:
		history.deliverReports()
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

// setPhase changes the phase of a random target. A target that becomes dead loses its flows.
func (history *history) setPhase(phase model.TargetPhase) {
	target := &history.targets[history.random.IntN(len(history.targets))]
	target.Phase = phase
	if phase == model.PhaseDead {
		for _, holders := range history.holders {
			delete(holders, target.ID)
		}
	}
	history.rebalance()
}

func (history *history) rebalance() {
	history.revision++
	history.applyRows(history.rebalancedRows())
}

func (history *history) applyRows(rows []model.Bucket) {
	history.table = apply(history.table, rows)
	history.updateHolders()
}

// sendReports makes one agent report some buckets empty. The agent may be up to two revisions
// behind the table.
func (history *history) sendReports() {
	target := history.targets[history.random.IntN(len(history.targets))].ID
	at := history.revision - min(history.revision, model.Revision(history.random.IntN(3)))
	for _, bucket := range routing.BucketsMovedFrom(history.table, target, at) {
		if history.random.IntN(2) == 0 {
			history.reports = append(history.reports, model.BucketEmpty{Service: testService, Target: target, Bucket: bucket, At: at})
		}
	}
}

// deliverReports delivers some reports to control, in random order and sometimes twice.
func (history *history) deliverReports() {
	history.random.Shuffle(len(history.reports), func(left, right int) {
		history.reports[left], history.reports[right] = history.reports[right], history.reports[left]
	})
	count := history.random.IntN(len(history.reports) + 1)
	delivered := slices.Clone(history.reports[:count])
	if history.random.IntN(3) > 0 {
		history.reports = slices.Clone(history.reports[count:])
	}
	for _, report := range delivered {
		left, holds := history.holders[report.Bucket][report.Target]
		if holds && left != stillAssigned && report.At >= left {
			delete(history.holders[report.Bucket], report.Target)
		}
	}
	history.revision++
	history.applyRows(routing.RemoveEarlierTargets(history.table, delivered))
	history.applyRows(history.rebalancedRows())
}

// rebalancedRows returns the rows that Rebalance changes, and checks that they do not depend on the
// order of the targets, so that every process computes the same rows.
func (history *history) rebalancedRows() []model.Bucket {
	rows := routing.Rebalance(history.table, history.targets, history.revision)
	shuffled := slices.Clone(history.targets)
	history.random.Shuffle(len(shuffled), func(left, right int) {
		shuffled[left], shuffled[right] = shuffled[right], shuffled[left]
	})
	shuffledRows := routing.Rebalance(history.table.Clone(), shuffled, history.revision)
	if !slices.EqualFunc(rows, shuffledRows, sameRow) {
		history.fail("the changed rows depend on the order of the targets")
	}
	return rows
}

func sameRow(left, right model.Bucket) bool {
	return left.Index == right.Index && left.Head == right.Head && left.Alternate == right.Alternate &&
		slices.Equal(left.Earlier, right.Earlier)
}

// check checks that every target that may hold flows of a bucket is in its chain, and the limits of
// each row.
func (history *history) check() {
	for bucket, holders := range history.holders {
		row := history.table.Bucket(model.BucketIndex(bucket))
		chain := routing.Chain(row)
		for target := range holders {
			if !slices.Contains(chain, target) {
				history.fail("bucket %d: target %d may hold flows and is not in the chain %v", bucket, target, chain)
			}
		}
		if len(row.Earlier) > model.MaximumEarlierTargets {
			history.fail("bucket %d: %d earlier targets", bucket, len(row.Earlier))
		}
		history.checkHead(row)
	}
}

// checkHead requires a serving head, unless no target is serving or the row has no room for the
// earlier target that a change of its head needs.
func (history *history) checkHead(row model.Bucket) {
	anyServing := slices.ContainsFunc(history.targets, func(target model.Target) bool { return target.Phase == model.PhaseServing })
	isFull := len(row.Earlier) == model.MaximumEarlierTargets
	if anyServing && !isFull && !history.isServing(row.Head) {
		history.fail("bucket %d: head %d is not serving: %v", row.Index, row.Head, row)
	}
}

func (history *history) isServing(id model.TargetID) bool {
	return id != 0 && history.targets[id-1].Phase == model.PhaseServing
}

func TestRandomChangesKeepTheInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20300301)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("targets that may hold flows stay in the chain, and heads are serving", prop.ForAll(
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
			moved, unexpected := movedHeads(before, after, func(_, to model.TargetID) bool { return to == model.TargetID(count+1) })
			return unexpected == 0 && moved <= before.Count()/(count+1)+1
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
			_, unexpected := movedHeads(before, after, func(from, _ model.TargetID) bool { return from == targets[leaving].ID })
			return unexpected == 0
		},
		gen.IntRange(2, 60), gen.IntRange(0, 1000),
	))
	properties.TestingRun(t)
}

// movedHeads counts the buckets whose head changed, and those among them for which expected returns
// false.
func movedHeads(before, after *model.BucketTable, expected func(from, to model.TargetID) bool) (moved, unexpected int) {
	for bucket := range before.Heads {
		from, to := before.Heads[bucket], after.Heads[bucket]
		if from == to {
			continue
		}
		moved++
		if !expected(from, to) {
			unexpected++
		}
	}
	return moved, unexpected
}

func TestBucketWithFullChainIsNotMoved(t *testing.T) {
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
		isInChain := slices.Contains(routing.Chain(row), targets[index].ID)
		if !isInChain || targets[index].ID == row.Head {
			continue
		}
		targets[index].Phase = model.PhaseDraining
	}
	draining := targets[row.Head-1]
	targets[row.Head-1].Phase = model.PhaseDraining
	after := apply(table, routing.Rebalance(table, targets, 9)).Bucket(3)
	if after.Head != draining.ID || !slices.Equal(after.Earlier, row.Earlier) {
		t.Fatalf("the full row %v changed to %v", row, after)
	}
	rows := routing.RemoveEarlierTargets(table, []model.BucketEmpty{{Service: testService, Target: row.Earlier[0].Target, Bucket: 3, At: 9}})
	emptied := apply(table, rows)
	moved := apply(emptied, routing.Rebalance(emptied, targets, 10)).Bucket(3)
	if moved.Head == draining.ID {
		t.Fatalf("the row %v kept its head after an entry was removed", moved)
	}
}

// The worst case of a rolling restart: targets drain one at a time, and no target reports a bucket
// empty, so all chains fill up.
func TestRollingDrainKeepsAServingHeadForEveryBucket(t *testing.T) {
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
				t.Fatalf("%d targets, step %d: target %d is draining and still a head", count, step, targets[leaving].ID)
			}
			setPhase(leaving, model.PhaseServing)
		}
		heads := headCounts(table)
		t.Logf("%d targets: heads from %d to %d", count, slices.Min(slices.Collect(maps.Values(heads))), slices.Max(slices.Collect(maps.Values(heads))))
	}
}
