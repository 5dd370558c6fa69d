package state

import (
	"slices"

	"merlinpaddle/internal/model"
)

func isServing(target model.Target) bool { return target.Phase == model.PhaseServing }

// retireLeaving returns the rows that change when leaving targets stop being heads
// and alternates of a service that has no serving target to replace them. They become
// earlier targets, so that their open flows are still found and their agents report
// the buckets empty once these flows have ended. A row that has the maximum number of
// earlier targets is left as it is and changes in a later call, after one of them was
// removed.
func (transaction *transaction) retireLeaving(buckets *model.BucketTable) []model.Bucket {
	var rows []model.Bucket
	for index := range buckets.Heads {
		row := buckets.Bucket(model.BucketIndex(index))
		retired := row
		retired.Earlier = slices.Clone(row.Earlier)
		transaction.retire(&retired, &retired.Head)
		transaction.retire(&retired, &retired.Alternate)
		if retired.Head != row.Head || retired.Alternate != row.Alternate {
			rows = append(rows, retired)
		}
	}
	return rows
}

// retire clears position, which is the row's head or alternate, and makes its target
// an earlier target, if the target is leaving and the row has space for it.
func (transaction *transaction) retire(row *model.Bucket, position *model.TargetID) {
	record, known := transaction.view.targets.get(*position)
	if !known || !record.Leaving {
		return
	}
	entry := model.EarlierTarget{Target: *position, MovedAt: transaction.revision}
	listed := slices.IndexFunc(row.Earlier, func(earlier model.EarlierTarget) bool { return earlier.Target == *position })
	switch {
	case listed >= 0:
		row.Earlier[listed] = entry
	case len(row.Earlier) < model.MaximumEarlierTargets:
		row.Earlier = append([]model.EarlierTarget{entry}, row.Earlier...)
	default:
		return
	}
	*position = 0
}
