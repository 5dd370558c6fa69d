package feed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// countingStore is a Store with a large table that counts the calls of ChangesSince.
type countingStore struct {
	revision model.Revision
	calls    int
}

func (store *countingStore) Revision() model.Revision { return store.revision }

func (store *countingStore) ChangesSince(from model.Revision) directory.Changes {
	store.calls++
	changes := largeTable(minPackedEntries, 10)
	changes.Whole, changes.From, changes.To = from == 0, from, store.revision
	return changes
}

func TestChangesArePreparedOnceForEachRevision(t *testing.T) {
	store := &countingStore{revision: 9}
	cache := newPreparedCache(store)
	fullTable := cache.since(0)
	require.NotEmpty(t, fullTable.packed)
	for range 50 {
		require.Equal(t, fullTable, cache.since(0))
		require.Equal(t, model.Revision(7), cache.since(7).changes.From)
	}
	require.Equal(t, 2, store.calls, "repeated requests are served from the cache, also when other revisions are requested in between")
	store.revision = 10
	require.Equal(t, model.Revision(10), cache.since(0).changes.To, "a new revision invalidates the cache")
	require.Equal(t, 3, store.calls)
}

// TestEmptyStoresArePrepared covers a member that has just started and has revision zero.
func TestEmptyStoresArePrepared(t *testing.T) {
	cache := newPreparedCache(&countingStore{})
	require.Zero(t, cache.since(0).changes.To)
}

func TestPreparedChangesAreBounded(t *testing.T) {
	cache := newPreparedCache(&countingStore{revision: 100})
	for from := range model.Revision(5 * maxPreparedChanges) {
		require.Equal(t, from, cache.since(from).changes.From)
		require.LessOrEqual(t, len(cache.byStart), maxPreparedChanges)
	}
}

// TestChangesDuringPreparationAreNotCached covers a store that advances while it is read, so that
// the changes go up to a later revision than Revision returned.
func TestChangesDuringPreparationAreNotCached(t *testing.T) {
	store := &advancingStore{}
	cache := newPreparedCache(store)
	require.Equal(t, model.Revision(2), cache.since(0).changes.To)
	require.Empty(t, cache.byStart)
}

// advancingStore is a Store that advances between the calls of Revision and ChangesSince.
type advancingStore struct{}

func (*advancingStore) Revision() model.Revision { return 1 }

func (*advancingStore) ChangesSince(model.Revision) directory.Changes {
	return directory.Changes{Whole: true, To: 2}
}
