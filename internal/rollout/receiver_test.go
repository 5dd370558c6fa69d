package rollout

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// configurationAt returns a configuration whose only service has the revision as a limit, so that
// each revision has its own content.
func configurationAt(revision model.Revision) *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = revision
	configuration.Services[1] = model.Service{ID: 1, Limits: model.Limits{MaximumQueue: int(revision)}}
	return configuration
}

// deltaTo returns the delta from the previous revision to configurationAt(revision).
func deltaTo(revision model.Revision) model.Delta {
	return model.Delta{From: revision - 1, To: revision, Services: []model.Service{configurationAt(revision).Services[1]}}
}

// TestReceiverNeverGoesBack delivers snapshots and deltas of any revision in any order, as delayed,
// duplicated and reordered messages do.
func TestReceiverNeverGoesBack(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the revision never decreases and the content matches it", prop.ForAll(
		func(steps []int) bool {
			receiver := NewReceiver(&History{})
			store := NewStore()
			highest := model.Revision(0)
			for _, step := range steps {
				revision := model.Revision(step/2 + 1)
				if step%2 == 0 {
					receiver.ApplySnapshot(configurationAt(revision))
				} else {
					receiver.ApplyDeltas([]model.Delta{deltaTo(revision)})
				}
				store.Advance(receiver.Current())
				current := store.Current()
				if current.Revision < highest || (current.Revision > 0 && current.Digest() != configurationAt(current.Revision).Digest()) {
					return false
				}
				highest = current.Revision
			}
			return true
		},
		gen.SliceOf(gen.IntRange(0, 19)),
	))
	properties.TestingRun(t)
}

func TestReceiverApplyResults(t *testing.T) {
	other := configurationAt(5)
	other.Services[1] = model.Service{ID: 1, Name: "other"}
	cases := []struct {
		name     string
		apply    func(receiver *Receiver) ApplyResult
		want     ApplyResult
		revision model.Revision
	}{
		{name: "next delta", apply: applyDeltas(6), want: ApplyResult{Changed: true}, revision: 6},
		{name: "applied delta", apply: applyDeltas(4), revision: 5},
		{name: "gap", apply: applyDeltas(7), want: ApplyResult{Resync: true}, revision: 5},
		{name: "applied delta, then next", apply: applyDeltas(5, 6), want: ApplyResult{Changed: true}, revision: 6},
		{name: "older snapshot", apply: applySnapshot(configurationAt(4)), revision: 5},
		{name: "same snapshot", apply: applySnapshot(configurationAt(5)), revision: 5},
		{name: "same revision, other content", apply: applySnapshot(other), want: ApplyResult{Changed: true}, revision: 5},
		{name: "newer snapshot", apply: applySnapshot(configurationAt(9)), want: ApplyResult{Changed: true}, revision: 9},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			receiver := NewReceiver(&History{})
			receiver.ApplySnapshot(configurationAt(5))
			require.Equal(t, test.want, test.apply(receiver))
			require.Equal(t, test.revision, receiver.Current().Revision)
		})
	}
}

func applyDeltas(revisions ...model.Revision) func(*Receiver) ApplyResult {
	return func(receiver *Receiver) ApplyResult {
		var all []model.Delta
		for _, revision := range revisions {
			all = append(all, deltaTo(revision))
		}
		return receiver.ApplyDeltas(all)
	}
}

func applySnapshot(configuration *model.Configuration) func(*Receiver) ApplyResult {
	return func(receiver *Receiver) ApplyResult { return receiver.ApplySnapshot(configuration) }
}
