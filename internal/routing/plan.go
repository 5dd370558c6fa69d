package routing

import (
	"slices"

	"merlinpaddle/internal/model"
)

// plan is the working state of one call of Rebalance: a copy of the rows, and how many rows each
// serving target is the head and the alternate of.
type plan struct {
	table *model.BucketTable
	at    model.Revision
	rows  []model.Bucket
	// live has the targets that may hold flows.
	live map[model.TargetID]bool
	// serving has the targets that accept new flows, in order of their ID.
	serving    []model.TargetID
	heads      map[model.TargetID]int
	alternates map[model.TargetID]int
	// headDied has the rows whose head is dead or no longer configured, and not yet replaced.
	headDied map[model.BucketIndex]bool
}

// newPlan returns a plan with the rows of the table. It leaves out targets of other services and
// dead targets, and counts nothing yet.
func newPlan(table *model.BucketTable, targets []model.Target, at model.Revision) *plan {
	plan := &plan{
		table:      table,
		at:         at,
		rows:       make([]model.Bucket, table.Count()),
		live:       make(map[model.TargetID]bool, len(targets)),
		heads:      make(map[model.TargetID]int, len(targets)),
		alternates: make(map[model.TargetID]int, len(targets)),
		headDied:   make(map[model.BucketIndex]bool),
	}
	for _, target := range targets {
		if target.Service != table.Service || target.Phase == model.PhaseDead {
			continue
		}
		plan.live[target.ID] = true
		if target.Phase == model.PhaseServing {
			plan.serving = append(plan.serving, target.ID)
			plan.heads[target.ID] = 0
		}
	}
	slices.Sort(plan.serving)
	for index := range plan.rows {
		plan.rows[index] = table.Bucket(model.BucketIndex(index))
	}
	return plan
}

func (plan *plan) isServing(target model.TargetID) bool {
	_, serving := plan.heads[target]
	return serving
}

// removeDeadTargets removes targets that are dead or no longer configured from all rows, and counts
// the remaining heads and alternates.
func (plan *plan) removeDeadTargets() {
	for index := range plan.rows {
		row := &plan.rows[index]
		if row.Head != 0 && !plan.live[row.Head] {
			row.Head = 0
			plan.headDied[row.Index] = true
		}
		if !plan.live[row.Alternate] {
			row.Alternate = 0
		}
		row.Earlier = plan.liveEarlier(row.Earlier)
		if plan.isServing(row.Head) {
			plan.heads[row.Head]++
		}
		if plan.isServing(row.Alternate) {
			plan.alternates[row.Alternate]++
		}
	}
}

func (plan *plan) liveEarlier(earlier []model.EarlierTarget) []model.EarlierTarget {
	isDead := func(entry model.EarlierTarget) bool { return !plan.live[entry.Target] }
	if !slices.ContainsFunc(earlier, isDead) {
		return earlier
	}
	return slices.DeleteFunc(slices.Clone(earlier), isDead)
}

// replaceHeads sets a serving head on each row whose head is not serving.
func (plan *plan) replaceHeads() {
	if len(plan.serving) == 0 {
		plan.promoteAlternates()
		return
	}
	// Rounded down, so that the remaining rows go to the targets with the fewest heads and no other
	// row has to move for balance.
	quota := len(plan.rows) / len(plan.serving)
	for index := range plan.rows {
		if !plan.isServing(plan.rows[index].Head) {
			plan.replaceHead(&plan.rows[index], quota)
		}
	}
}

// promoteAlternates promotes the alternate of each row whose head is dead. It is used while no
// target is serving: lookups of open flows still need a head at which to start.
func (plan *plan) promoteAlternates() {
	for index := range plan.rows {
		row := &plan.rows[index]
		if row.Head == 0 && row.Alternate != 0 {
			plan.promoteAlternate(row)
		}
	}
}

// replaceHead makes the alternate the head if the alternate is the head of fewer than quota rows,
// else the serving target with the fewest heads that fits.
func (plan *plan) replaceHead(row *model.Bucket, quota int) {
	// The alternate owns the flows that were assigned to it, so promoting it needs no entry for it.
	if plan.isServing(row.Alternate) && plan.heads[row.Alternate] < quota && plan.setHead(row, row.Alternate) {
		return
	}
	fits := func(candidate model.TargetID) bool { return plan.headFits(*row, candidate) }
	if candidate := plan.targetWithLowestCount(plan.heads, row.Index, fits); candidate != 0 {
		plan.setHead(row, candidate)
		return
	}
	if row.Head == 0 && row.Alternate != 0 {
		// The row has no room for another earlier target: the alternate is the only target that can
		// become the head without one.
		plan.promoteAlternate(row)
	}
}

// promoteAlternate makes the alternate the head of a row whose head is dead.
func (plan *plan) promoteAlternate(row *model.Bucket) {
	plan.replaceRow(row, model.Bucket{
		Index:   row.Index,
		Head:    row.Alternate,
		Earlier: withoutTarget(row.Earlier, row.Alternate),
	})
	delete(plan.headDied, row.Index)
}

// withHead returns the row with target as its head, and with the earlier targets that this change
// needs, which may be more than model.MaximumEarlierTargets.
func (plan *plan) withHead(previous model.Bucket, target model.TargetID) model.Bucket {
	next := model.Bucket{Index: previous.Index, Head: target, Alternate: previous.Alternate}
	next.Earlier = withoutTarget(previous.Earlier, target)
	if previous.Head != 0 {
		next.Earlier = plan.withNewEarlier(next.Earlier, previous.Head)
	}
	switch {
	case previous.Alternate == target:
		next.Alternate = 0
	case previous.Alternate != 0 && plan.headDied[previous.Index]:
		next.Earlier = plan.withNewEarlier(next.Earlier, previous.Alternate)
	}
	return next
}

// headFits reports whether target is not the head yet and the row has room for the earlier targets
// that the change needs.
func (plan *plan) headFits(row model.Bucket, target model.TargetID) bool {
	return row.Head != target && len(plan.withHead(row, target).Earlier) <= model.MaximumEarlierTargets
}

// setHead makes target the head of the row if that fits, and reports whether it did.
func (plan *plan) setHead(row *model.Bucket, target model.TargetID) bool {
	if !plan.headFits(*row, target) {
		return false
	}
	plan.replaceRow(row, plan.withHead(*row, target))
	delete(plan.headDied, row.Index)
	return true
}

// setAlternate makes target the alternate of the row if the row has room for the earlier target
// that the change needs, and reports whether it did.
func (plan *plan) setAlternate(row *model.Bucket, target model.TargetID) bool {
	earlier := row.Earlier
	if row.Alternate != 0 {
		earlier = plan.withNewEarlier(earlier, row.Alternate)
	}
	if len(earlier) > model.MaximumEarlierTargets {
		return false
	}
	plan.replaceRow(row, model.Bucket{Index: row.Index, Head: row.Head, Alternate: target, Earlier: earlier})
	return true
}

// replaceRow replaces the row and updates the counts.
func (plan *plan) replaceRow(row *model.Bucket, next model.Bucket) {
	plan.addToCounts(*row, -1)
	*row = next
	plan.addToCounts(*row, 1)
}

// addToCounts adds change to the counts of the row's head and alternate if they are serving.
func (plan *plan) addToCounts(row model.Bucket, change int) {
	if plan.isServing(row.Head) {
		plan.heads[row.Head] += change
	}
	if plan.isServing(row.Alternate) {
		plan.alternates[row.Alternate] += change
	}
}

// withNewEarlier returns earlier with an entry for target at the plan's revision in front, in place
// of a previous entry for target.
func (plan *plan) withNewEarlier(earlier []model.EarlierTarget, target model.TargetID) []model.EarlierTarget {
	next := make([]model.EarlierTarget, 0, len(earlier)+1)
	next = append(next, model.EarlierTarget{Target: target, MovedAt: plan.at})
	return append(next, withoutTarget(earlier, target)...)
}

func withoutTarget(earlier []model.EarlierTarget, target model.TargetID) []model.EarlierTarget {
	isTarget := func(entry model.EarlierTarget) bool { return entry.Target == target }
	if !slices.ContainsFunc(earlier, isTarget) {
		return earlier
	}
	return slices.DeleteFunc(slices.Clone(earlier), isTarget)
}

// targetWithLowestCount returns the serving target with the lowest count for which allowed returns
// true, or zero when there is none. Equal counts are ordered by tieBreakScore for the bucket.
func (plan *plan) targetWithLowestCount(
	counts map[model.TargetID]int, bucket model.BucketIndex, allowed func(model.TargetID) bool,
) model.TargetID {
	var best model.TargetID
	var bestScore uint64
	for _, candidate := range plan.serving {
		if best != 0 && counts[candidate] > counts[best] || !allowed(candidate) {
			continue
		}
		candidateScore := tieBreakScore(plan.table.Service, bucket, candidate)
		if best == 0 || counts[candidate] < counts[best] || candidateScore < bestScore {
			best, bestScore = candidate, candidateScore
		}
	}
	return best
}

// isInChain reports whether target is the head, the alternate or an earlier target of the row.
func isInChain(row model.Bucket, target model.TargetID) bool {
	if row.Head == target || row.Alternate == target {
		return true
	}
	return slices.ContainsFunc(row.Earlier, func(entry model.EarlierTarget) bool { return entry.Target == target })
}
