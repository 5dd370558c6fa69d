// Package routing maps flows to buckets and buckets to targets. It is pure and
// deterministic: every process that applies the same changes gets the same
// tables.
//
// A row of a bucket table is a head, an alternate and earlier targets; together
// they are the chain of the bucket. The package keeps these invariants:
//
//   - Every target that may hold a flow of a bucket is in its chain, until its
//     agent reports the bucket empty at a revision at or after the move, or
//     the target is dead, which means that its flows are lost.
//   - A target that stops being the head or the alternate becomes an earlier
//     target with the revision of that change. An earlier target that becomes
//     the alternate again keeps its entry: only its report shows that it has
//     applied the first move.
//   - When the head changes, the previous head becomes an earlier target unless
//     it is dead. When it is dead, the previous alternate gets an entry, because
//     only the dead head knew which flows it had assigned to the alternate.
//   - A row has at most model.MaximumEarlierTargets earlier targets. A change
//     that would need more is not made; a later call makes it once an entry
//     has been removed.
//   - Only serving targets become head or alternate. The exception is the
//     alternate of a dead head, which becomes the head, serving or not, when no
//     serving target can.
package routing

import (
	"slices"

	"merlinpaddle/internal/model"
)

// MinimumBuckets is the smallest number of buckets of a service, so that a
// service that starts small still spreads evenly when it grows.
const MinimumBuckets = 256

// NewTable returns the first table of a service: model.BucketsPerTarget buckets for each target, but
// at least MinimumBuckets. The number of buckets stays the same for the life of the service, because
// it determines the bucket of each open flow.
func NewTable(service model.ServiceID, targets []model.Target, at model.Revision) *model.BucketTable {
	count := max(MinimumBuckets, model.BucketsPerTarget*len(targets))
	table := &model.BucketTable{
		Service:    service,
		Heads:      make([]model.TargetID, count),
		Alternates: make([]model.TargetID, count),
		Earlier:    make(map[model.BucketIndex][]model.EarlierTarget),
	}
	for _, row := range Rebalance(table, targets, at) {
		table.Set(row)
	}
	return table
}

// Rebalance returns the rows that must change for the table to fit the targets, in order of their
// index: dead and removed targets are taken out at once, serving targets replace heads and
// alternates that are not serving, and heads and alternates are spread evenly with few moves.
// Changes that need a new earlier target record revision at in it. Rebalance does not modify the
// table.
func Rebalance(table *model.BucketTable, targets []model.Target, at model.Revision) []model.Bucket {
	plan := newPlan(table, targets, at)
	plan.removeDeadTargets()
	plan.replaceHeads()
	plan.replaceAlternates()
	plan.balanceHeads()
	plan.balanceAlternates()
	return plan.changedRows()
}

func (plan *plan) changedRows() []model.Bucket {
	var changed []model.Bucket
	for index, row := range plan.rows {
		if !equalRows(row, plan.table.Bucket(model.BucketIndex(index))) {
			changed = append(changed, row)
		}
	}
	return changed
}

// equalRows compares all but the index.
func equalRows(left, right model.Bucket) bool {
	return left.Head == right.Head && left.Alternate == right.Alternate && slices.Equal(left.Earlier, right.Earlier)
}
