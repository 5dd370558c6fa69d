// Package rollout distributes the configuration. Control publishes a delta for each revision,
// relays send the deltas on to nodes, and nodes apply them in order and never return to a lower
// revision. The package also has the nodes' side of heartbeats, leases and the choice of a relay.
package rollout

import (
	"sync/atomic"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
)

// Store holds the configuration that a node runs. It is safe for concurrent use. Readers on the
// packet path load a pointer and take no lock.
type Store struct {
	current  atomic.Pointer[model.Configuration]
	notifier board.Notifier
}

// NewStore returns a store with an empty configuration.
func NewStore() *Store {
	store := &Store{}
	store.current.Store(model.NewConfiguration())
	return store
}

// Current returns the running configuration, which must not be modified.
func (store *Store) Current() *model.Configuration { return store.current.Load() }

// Advance installs the configuration if its revision is higher than the running one's, because a
// node never returns to a lower revision. It reports whether it installed it.
func (store *Store) Advance(configuration *model.Configuration) bool {
	for {
		running := store.current.Load()
		if configuration.Revision <= running.Revision {
			return false
		}
		if store.current.CompareAndSwap(running, configuration) {
			store.notifier.Notify()
			return true
		}
	}
}

// Repair replaces the running configuration by another one of the same revision, after a digest
// showed that the running one is wrong. It reports whether it did. It does not if the revision
// differs, or if the running configuration was replaced at the same time.
func (store *Store) Repair(configuration *model.Configuration) bool {
	running := store.current.Load()
	if configuration.Revision != running.Revision {
		return false
	}
	if !store.current.CompareAndSwap(running, configuration) {
		return false
	}
	store.notifier.Notify()
	return true
}

// Watch returns a new channel that is notified after each change.
func (store *Store) Watch() <-chan struct{} { return store.notifier.Watch() }
