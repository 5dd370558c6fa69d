package rollout

import "merlinpaddle/internal/model"

// ApplyResult is the result of applying an update to a receiver.
type ApplyResult struct {
	// Changed means that the configuration changed.
	Changed bool
	// Resync means that a delta does not continue the configuration, so the deltas that follow the
	// configuration's revision must be requested.
	Resync bool
}

// Receiver applies updates in order to a working configuration, and never returns to a lower
// revision. It is not safe for concurrent use.
type Receiver struct {
	current *model.Configuration
	history *History
}

// NewReceiver returns a receiver that starts at the empty configuration and
// keeps the deltas that it applies in history.
func NewReceiver(history *History) *Receiver {
	return &Receiver{current: model.NewConfiguration(), history: history}
}

// Current returns the working configuration, which must not be written.
func (receiver *Receiver) Current() *model.Configuration { return receiver.current }

// DeltasSince returns the deltas that lead from revision to the working configuration, and whether
// the history has all of them.
func (receiver *Receiver) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return receiver.history.Since(revision)
}

// ApplySnapshot replaces the working configuration by a full snapshot. A snapshot of a lower
// revision is ignored. One of the same revision is applied only if the digests differ, which
// repairs a node whose configuration is wrong.
func (receiver *Receiver) ApplySnapshot(snapshot *model.Configuration) ApplyResult {
	if snapshot.Revision < receiver.current.Revision {
		return ApplyResult{}
	}
	if snapshot.Revision == receiver.current.Revision && snapshot.Digest() == recomputedDigest(receiver.current) {
		return ApplyResult{}
	}
	receiver.current = withEmptyMaps(snapshot)
	receiver.history.Reset()
	return ApplyResult{Changed: true}
}

// ApplyDeltas applies deltas in order. It skips those that are already applied, and stops with
// Resync set at one that does not continue the working configuration.
func (receiver *Receiver) ApplyDeltas(deltas []model.Delta) ApplyResult {
	var result ApplyResult
	for _, delta := range deltas {
		if delta.To <= receiver.current.Revision {
			continue
		}
		next, err := receiver.current.Apply(delta)
		if err != nil {
			result.Resync = true
			return result
		}
		receiver.current = next
		receiver.history.Append(delta)
		result.Changed = true
	}
	return result
}

// withEmptyMaps returns a sealed copy of a decoded configuration, in which empty maps replace the
// nil ones that the codec leaves.
func withEmptyMaps(configuration *model.Configuration) *model.Configuration {
	completed := *configuration
	empty := model.NewConfiguration()
	if completed.Services == nil {
		completed.Services = empty.Services
	}
	if completed.Targets == nil {
		completed.Targets = empty.Targets
	}
	if completed.Buckets == nil {
		completed.Buckets = empty.Buckets
	}
	completed.Seal()
	return &completed
}

// recomputedDigest returns the digest computed from every row, without the sum that a sealed
// configuration keeps.
func recomputedDigest(configuration *model.Configuration) uint64 {
	unsealed := model.Configuration{
		Revision: configuration.Revision,
		Services: configuration.Services,
		Targets:  configuration.Targets,
		Buckets:  configuration.Buckets,
	}
	return unsealed.Digest()
}
