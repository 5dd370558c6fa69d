package feed

import (
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// maxPreparedChanges bounds the start revisions whose changes are cached. Few are needed: balancers
// that have just started are at revision zero, the others at one of the last few revisions.
const maxPreparedChanges = 8

// preparedChanges are changes in the form in which they are sent.
type preparedChanges struct {
	// changes has all changes, or only the revisions and the version if packed is set.
	changes directory.Changes
	packed  []byte
}

// preparedCache caches the changes up to a store's current revision, so that the same table is not
// packed again for each of many balancers that start one after the other, as after an outage.
type preparedCache struct {
	store Store
	// revision is the end revision of all cached changes.
	revision model.Revision
	// byStart has the cached changes by their start revision.
	byStart map[model.Revision]preparedChanges
}

func newPreparedCache(store Store) preparedCache {
	return preparedCache{store: store, byStart: make(map[model.Revision]preparedChanges)}
}

// since returns the changes after the revision from, up to the store's current revision. The result
// is not cached if the store advanced while it was read.
func (cache *preparedCache) since(from model.Revision) preparedChanges {
	if revision := cache.store.Revision(); revision != cache.revision || len(cache.byStart) >= maxPreparedChanges {
		cache.revision = revision
		clear(cache.byStart)
	}
	if cached, exists := cache.byStart[from]; exists {
		return cached
	}
	prepared := prepare(cache.store.ChangesSince(from))
	if prepared.changes.To == cache.revision {
		cache.byStart[from] = prepared
	}
	return prepared
}

// prepare packs changes that have at least minPackedEntries entries. Changes that cannot be packed
// are sent as they are.
func prepare(changes directory.Changes) preparedChanges {
	if changes.Size() < minPackedEntries {
		return preparedChanges{changes: changes}
	}
	packed, err := pack(changes)
	if err != nil {
		return preparedChanges{changes: changes}
	}
	header := directory.Changes{Whole: changes.Whole, From: changes.From, To: changes.To, Version: changes.Version}
	return preparedChanges{changes: header, packed: packed}
}
