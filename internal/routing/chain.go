package routing

import (
	"slices"

	"merlinpaddle/internal/model"
)

// Chain returns the targets that may own a flow of the bucket in the order in
// which a packet visits them: head, alternate, earlier targets from the latest
// to the oldest. It has no duplicates and no zero.
func Chain(bucket model.Bucket) []model.TargetID {
	return AppendChain(make([]model.TargetID, 0, 2+len(bucket.Earlier)), bucket)
}

// AppendChain appends the chain of the bucket to chain, which must be empty,
// and does not allocate when the capacity suffices.
func AppendChain(chain []model.TargetID, bucket model.Bucket) []model.TargetID {
	chain = appendTarget(chain, bucket.Head)
	chain = appendTarget(chain, bucket.Alternate)
	for _, earlier := range bucket.Earlier {
		chain = appendTarget(chain, earlier.Target)
	}
	return chain
}

func appendTarget(chain []model.TargetID, target model.TargetID) []model.TargetID {
	if target == 0 || slices.Contains(chain, target) {
		return chain
	}
	return append(chain, target)
}
