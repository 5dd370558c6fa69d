package rollout

import "merlinpaddle/internal/model"

// Progress is what an update did to a receiver.
type ApplyResult struct {
	// Advanced tells that the configuration changed.
	Changed bool
	// Resync tells that the update did not continue the configuration, so
	// that the receiver must ask again.
	Resync bool
}

// Receiver applies updates in order to a working configuration. It never goes
// back to a lower revision. It is used by one controller.
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

// DeltasSince returns the deltas from revision to the working configuration.
func (receiver *Receiver) DeltasSince(revision model.Revision) ([]model.Delta, bool) {
	return receiver.history.Since(revision)
}

// Snapshot takes a whole configuration. One of a lower revision is ignored.
// One of the same revision replaces the working configuration only when the
// digests differ, which repairs a node that went wrong.
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

// Deltas applies deltas in order. Those that are already applied are skipped;
// one that starts later than the working configuration asks for a resync.
func (receiver *Receiver) ApplyDeltas(deltas []model.Delta) ApplyResult {
	var progress ApplyResult
	for _, delta := range deltas {
		if delta.To <= receiver.current.Revision {
			continue
		}
		next, err := receiver.current.Apply(delta)
		if err != nil {
			progress.Resync = true
			return progress
		}
		receiver.current = next
		receiver.history.Append(delta)
		progress.Changed = true
	}
	return progress
}

// complete restores the empty maps that the codec leaves out.
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

// recomputedDigest returns the digest from every row, without the sum that the
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
