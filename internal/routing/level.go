package routing

import (
	"cmp"
	"slices"

	"merlinpaddle/internal/model"
)

// balanceTolerance is the largest difference between the counts of two targets for which no row
// is moved.
const balanceTolerance = 1

// maximumEarlierForBalancing is the number of earlier targets above which the alternate of a row
// is not replaced only to spread alternates: the remaining entries are reserved for changes of
// the head.
const maximumEarlierForBalancing = 1

// replaceAlternates sets a new alternate, or none if there is no other serving target, on each row
// whose alternate is not serving or is the head. A row without room for the earlier target that
// this needs keeps its alternate.
func (plan *plan) replaceAlternates() {
	for index := range plan.rows {
		row := &plan.rows[index]
		if row.Alternate != row.Head && plan.isServing(row.Alternate) {
			continue
		}
		plan.setAlternate(row, plan.chooseAlternate(*row))
	}
}

// chooseAlternate returns the serving target other than the head that is the alternate of the
// fewest rows, or zero. It prefers targets outside the chain: they hold no flows of the bucket, so
// no entry has to be kept for them.
func (plan *plan) chooseAlternate(row model.Bucket) model.TargetID {
	isOutsideChain := func(candidate model.TargetID) bool { return !isInChain(row, candidate) }
	if chosen := plan.targetWithLowestCount(plan.alternates, row.Index, isOutsideChain); chosen != 0 {
		return chosen
	}
	isNotHead := func(candidate model.TargetID) bool { return candidate != row.Head }
	return plan.targetWithLowestCount(plan.alternates, row.Index, isNotHead)
}

// balanceHeads moves buckets from targets that are the head of many to those that are the head of
// few.
func (plan *plan) balanceHeads() {
	rowsOf := plan.groupRowsBy(func(row model.Bucket) model.TargetID { return row.Head })
	plan.balance(plan.heads, rowsOf, plan.moveHead)
}

// balanceAlternates evens out the number of buckets of which each target is the alternate.
func (plan *plan) balanceAlternates() {
	rowsOf := plan.groupRowsBy(func(row model.Bucket) model.TargetID { return row.Alternate })
	plan.balance(plan.alternates, rowsOf, plan.moveAlternate)
}

// rowSets has the indexes of rows by target.
type rowSets map[model.TargetID][]model.BucketIndex

// groupRowsBy groups the rows by the serving target that targetOf returns for them, each group in
// order of the index.
func (plan *plan) groupRowsBy(targetOf func(model.Bucket) model.TargetID) rowSets {
	sets := make(rowSets, len(plan.serving))
	for _, row := range plan.rows {
		target := targetOf(row)
		if plan.isServing(target) {
			sets[target] = append(sets[target], row.Index)
		}
	}
	return sets
}

// moveFunc moves one of the rows from its target to receiver, and returns the position of that
// row in rows, or -1 when no row can move.
type moveFunc func(rows []model.BucketIndex, receiver model.TargetID) int

// balance moves rows until the counts differ by no more than balanceTolerance or no row can move.
func (plan *plan) balance(counts map[model.TargetID]int, rowsOf rowSets, move moveFunc) {
	for plan.moveOneRow(counts, rowsOf, move) {
	}
}

// moveOneRow moves one row from a target with a high count to one with a low count, and reports
// whether it did. The function move updates the counts.
func (plan *plan) moveOneRow(counts map[model.TargetID]int, rowsOf rowSets, move moveFunc) bool {
	ascending := plan.servingByCount(counts)
	for _, donor := range slices.Backward(ascending) {
		for _, receiver := range ascending {
			if counts[donor]-counts[receiver] <= balanceTolerance {
				break
			}
			position := move(rowsOf[donor], receiver)
			if position < 0 {
				continue
			}
			rowsOf[receiver] = append(rowsOf[receiver], rowsOf[donor][position])
			rowsOf[donor] = slices.Delete(rowsOf[donor], position, position+1)
			return true
		}
	}
	return false
}

// servingByCount returns the serving targets in ascending order of their count, and of their ID
// where counts are equal.
func (plan *plan) servingByCount(counts map[model.TargetID]int) []model.TargetID {
	ordered := slices.Clone(plan.serving)
	slices.SortStableFunc(ordered, func(left, right model.TargetID) int {
		return cmp.Compare(counts[left], counts[right])
	})
	return ordered
}

// moveHead makes receiver the head of the row that has the fewest earlier targets afterwards. That
// favors rows of which receiver is an earlier target, because its entry is removed.
func (plan *plan) moveHead(rows []model.BucketIndex, receiver model.TargetID) int {
	best := -1
	var bestNext model.Bucket
	var bestScore uint64
	for position, index := range rows {
		row := plan.rows[index]
		if !plan.headFits(row, receiver) {
			continue
		}
		next := plan.withHead(row, receiver)
		rowScore := tieBreakScore(plan.table.Service, index, receiver)
		if best < 0 || cheaper(next, bestNext, rowScore, bestScore) {
			best, bestNext, bestScore = position, next, rowScore
		}
	}
	if best >= 0 {
		plan.replaceRow(&plan.rows[rows[best]], plan.refillAlternate(bestNext))
	}
	return best
}

// cheaper reports whether left has fewer earlier targets than right, or as many and a lower score.
func cheaper(left, right model.Bucket, leftScore, rightScore uint64) bool {
	if difference := len(left.Earlier) - len(right.Earlier); difference != 0 {
		return difference < 0
	}
	return leftScore < rightScore
}

// refillAlternate returns the row with a new alternate if it has none, as when its alternate
// became the head.
func (plan *plan) refillAlternate(row model.Bucket) model.Bucket {
	if row.Alternate == 0 {
		row.Alternate = plan.chooseAlternate(row)
	}
	return row
}

// moveAlternate makes receiver the alternate of the first row whose chain does not contain it and
// that has at most maximumEarlierForBalancing earlier targets.
func (plan *plan) moveAlternate(rows []model.BucketIndex, receiver model.TargetID) int {
	for position, index := range rows {
		row := &plan.rows[index]
		if isInChain(*row, receiver) || len(row.Earlier) > maximumEarlierForBalancing {
			continue
		}
		if plan.setAlternate(row, receiver) {
			return position
		}
	}
	return -1
}
