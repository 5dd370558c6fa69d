package feed

import (
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// preparedKept bounds the starting points whose changes are kept: balancers that
// have just started are at none, the others at one of the last few revisions.
const preparedKept = 8

// prepared are changes in the form in which they are sent. Those of a large table
// are packed, and same has only what identifies them.
type prepared struct {
	same   directory.Changes
	packed []byte
}

// preparedChanges keeps the changes of a store's present revision, so that
// balancers which start one after the other, as after an outage, do not make the
// node pack the same table for each of them.
type preparedChanges struct {
	store Store
	// revision is the one up to which the kept changes go, and from has them by the
	// revision that they begin at.
	revision model.Revision
	from     map[model.Revision]prepared
}

func newPreparedChanges(store Store) preparedChanges {
	return preparedChanges{store: store, from: make(map[model.Revision]prepared)}
}

// since returns the changes after a revision.
func (changes *preparedChanges) since(from model.Revision) prepared {
	if revision := changes.store.Revision(); revision != changes.revision || len(changes.from) >= preparedKept {
		changes.revision = revision
		clear(changes.from)
	}
	if known, exists := changes.from[from]; exists {
		return known
	}
	made := prepare(changes.store.ChangesSince(from))
	if made.same.To == changes.revision {
		changes.from[from] = made
	}
	return made
}

// prepare packs changes when there are many. Changes that cannot be packed are
// sent as they are.
func prepare(changes directory.Changes) prepared {
	if changes.Size() < packFrom {
		return prepared{same: changes}
	}
	packed, err := pack(changes)
	if err != nil {
		return prepared{same: changes}
	}
	identity := directory.Changes{Whole: changes.Whole, From: changes.From, To: changes.To, Version: changes.Version}
	return prepared{same: identity, packed: packed}
}
