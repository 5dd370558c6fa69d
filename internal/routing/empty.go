package routing

import (
	"slices"

	"merlinpaddle/internal/model"
)

// RemoveEarlierTargets removes the earlier targets that reported their bucket empty, and returns
// the changed rows in order of their index. It does not modify the table.
//
// Invariant: an earlier target is removed only by a report of a revision at or after its move.
// When a report of an older revision was made, the target could still open flows of the bucket,
// so the report does not show that the bucket is empty now. The head and the alternate are never
// removed by a report.
func RemoveEarlierTargets(table *model.BucketTable, reports []model.BucketEmpty) []model.Bucket {
	changed := make(map[model.BucketIndex]model.Bucket)
	for _, report := range reports {
		if report.Service != table.Service || int(report.Bucket) >= table.Count() {
			continue
		}
		row, seen := changed[report.Bucket]
		if !seen {
			row = table.Bucket(report.Bucket)
		}
		position := slices.IndexFunc(row.Earlier, func(earlier model.EarlierTarget) bool {
			return earlier.Target == report.Target && report.At >= earlier.MovedAt
		})
		if position < 0 {
			continue
		}
		row.Earlier = slices.Delete(slices.Clone(row.Earlier), position, position+1)
		changed[report.Bucket] = row
	}
	return sortedRows(changed)
}

// sortedRows returns the rows in order of their index.
func sortedRows(rows map[model.BucketIndex]model.Bucket) []model.Bucket {
	sorted := make([]model.Bucket, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, row)
	}
	slices.SortFunc(sorted, func(left, right model.Bucket) int { return int(left.Index) - int(right.Index) })
	return sorted
}

// BucketsMovedFrom returns, in order of their index, the buckets that have target as an earlier
// target whose MovedAt is not later than revision at.
func BucketsMovedFrom(table *model.BucketTable, target model.TargetID, at model.Revision) []model.BucketIndex {
	var left []model.BucketIndex
	for bucket, earlier := range table.Earlier {
		if slices.ContainsFunc(earlier, func(entry model.EarlierTarget) bool {
			return entry.Target == target && entry.MovedAt <= at
		}) {
			left = append(left, bucket)
		}
	}
	slices.Sort(left)
	return left
}
