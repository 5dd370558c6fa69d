package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// countingStore has a large table and counts how often it is asked for.
type countingStore struct {
	revision model.Revision
	asked    int
}

func (store *countingStore) Revision() model.Revision { return store.revision }

func (store *countingStore) ChangesSince(from model.Revision) directory.Changes {
	store.asked++
	changes := largeTable(packFrom, 10)
	changes.Whole, changes.From, changes.To = from == 0, from, store.revision
	return changes
}

func TestChangesArePreparedOnceForEachRevision(t *testing.T) {
	store := &countingStore{revision: 9}
	changes := newPreparedChanges(store)
	whole := changes.since(0)
	require.NotEmpty(t, whole.packed)
	for range 50 {
		require.Equal(t, whole, changes.since(0))
		require.Equal(t, model.Revision(7), changes.since(7).same.From)
	}
	require.Equal(t, 2, store.asked, "balancers that come later, and from other revisions between, cost nothing")
	store.revision = 10
	require.Equal(t, model.Revision(10), changes.since(0).same.To, "a change makes them old")
	require.Equal(t, 3, store.asked)
}

// TestEmptyStoresArePrepared: a member that has just started is at no revision.
func TestEmptyStoresArePrepared(t *testing.T) {
	changes := newPreparedChanges(&countingStore{})
	require.Zero(t, changes.since(0).same.To)
}

func TestPreparedChangesAreBounded(t *testing.T) {
	changes := newPreparedChanges(&countingStore{revision: 100})
	for from := range model.Revision(5 * preparedKept) {
		require.Equal(t, from, changes.since(from).same.From)
		require.LessOrEqual(t, len(changes.from), preparedKept)
	}
}

// TestChangesDuringThePreparationAreNotKept: a store that moves on while it is read
// may answer with a later revision than it told.
func TestChangesDuringThePreparationAreNotKept(t *testing.T) {
	store := &movingStore{}
	changes := newPreparedChanges(store)
	require.Equal(t, model.Revision(2), changes.since(0).same.To)
	require.Empty(t, changes.from)
}

// movingStore moves on between the two questions.
type movingStore struct{}

func (*movingStore) Revision() model.Revision { return 1 }

func (*movingStore) ChangesSince(model.Revision) directory.Changes {
	return directory.Changes{Whole: true, To: 2}
}
