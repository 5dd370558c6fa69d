package steering

import (
	"slices"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// row is the newest row of a bucket that an agent knows.
type row struct {
	revision model.Revision
	// chain is in the order head, alternate, earlier targets.
	chain []model.TargetID
	// fromTable reports whether the row is from the agent's own table. Only then alternate and
	// settled are known.
	fromTable bool
	// alternate is the bucket's alternate, or zero.
	alternate model.TargetID
	// settled reports whether the row has no earlier targets.
	settled bool
}

// head returns the bucket's head, or zero.
func (row row) head() model.TargetID {
	if len(row.chain) == 0 {
		return 0
	}
	return row.chain[0]
}

// merge returns the newer of this row and the chain of another revision. When a newer chain equals
// that of this row, it keeps the row's other fields and only updates the revision.
func (row row) merge(revision model.Revision, chain []model.TargetID) row {
	if revision <= row.revision || len(chain) == 0 {
		return row
	}
	if slices.Equal(chain, row.chain) {
		row.revision = revision
		return row
	}
	return newReportedRow(revision, chain)
}

// newReportedRow returns a row of which only the chain is known, from a packet or a fence.
func newReportedRow(revision model.Revision, chain []model.TargetID) row {
	return row{revision: revision, chain: chain}
}

// canonicalChain returns the chain of a packet in the order head, alternate, earlier targets. It is
// the inverse of searchChain for packets in StageSearch.
func canonicalChain(stage model.Stage, chain []model.TargetID) []model.TargetID {
	if stage != model.StageSearch || len(chain) == 0 {
		return chain
	}
	last := len(chain) - 1
	canonical := make([]model.TargetID, 0, len(chain))
	canonical = append(canonical, chain[last])
	return append(canonical, chain[:last]...)
}

// searchChain returns the chain of a packet in StageSearch: every target but the head, then the head.
func searchChain(chain []model.TargetID) []model.TargetID {
	search := make([]model.TargetID, 0, len(chain))
	search = append(search, chain[1:]...)
	return append(search, chain[0])
}

// newestRow returns the newest row of the packet's bucket that the agent knows: from its own table,
// from the fence that other agents raised, or from the packet.
func (steering *Steering) newestRow(packet *packetState) row {
	newest := row{}
	if packet.table != nil && packet.table.Count() > 0 {
		bucket := packet.table.Bucket(packet.bucket)
		newest = row{
			revision:  packet.configuration.Revision,
			chain:     routing.Chain(bucket),
			fromTable: true,
			alternate: bucket.Alternate,
			settled:   len(bucket.Earlier) == 0,
		}
	}
	fence := steering.options.OwnedFlows.Fence(packet.bucket)
	newest = newest.merge(fence.Revision, fence.Chain)
	return newest.merge(packet.input.Revision, packet.chain)
}

func equalChains(left, right []model.TargetID) bool { return slices.Equal(left, right) }
