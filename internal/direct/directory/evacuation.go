package directory

import (
	"cmp"
	"slices"

	"merlinpaddle/internal/model"
)

// maxEvacuatedZones bounds the number of zones evacuated at a time, so that orders for random
// names cannot fill the replicated state. Systems have about eight zones.
const maxEvacuatedZones = 256

// Evacuation records that an operator evacuated a zone: its targets get no new flows, and open
// flows continue.
type Evacuation struct {
	Zone string
	// Since is the revision of the order that began the evacuation.
	Since model.Revision
}

// EvacuationOrder is an operator's order to begin or end the evacuation of a zone.
//
// Orders have no version. A member may delay an order and propose it after the operator gave up on
// that member and had a later order acknowledged by another one. Base protects against that: an
// order takes effect only if no other order was applied since the member read the state for it.
type EvacuationOrder struct {
	Zone string
	// End ends the evacuation; otherwise the order begins it.
	End bool
	// Base is the revision of the latest order in the state that the member read before it proposed
	// this one.
	Base model.Revision
}

// evacuations has the zones that are evacuated.
//
// Invariant: changedAt is the revision of the latest order that was applied, whether or not it
// changed anything.
type evacuations struct {
	byZone    map[string]Evacuation
	changedAt model.Revision
}

func newEvacuations() evacuations { return evacuations{byZone: make(map[string]Evacuation)} }

// apply applies an order at a revision. An order that is already fulfilled is acknowledged
// whatever its base, because operators repeat an order whose response was lost. It sets changedAt
// even then: an opposite order that a slow member still holds must not take effect after the
// acknowledgement.
func (evacuations *evacuations) apply(order *EvacuationOrder, revision model.Revision) Result {
	_, evacuated := evacuations.byZone[order.Zone]
	fulfilled := evacuated != order.End
	switch {
	case fulfilled:
	case order.Base != evacuations.changedAt:
		return Result{Conflict: true}
	case order.End:
		delete(evacuations.byZone, order.Zone)
	case len(evacuations.byZone) >= maxEvacuatedZones:
		return Result{Full: true}
	default:
		evacuations.byZone[order.Zone] = Evacuation{Zone: order.Zone, Since: revision}
	}
	evacuations.changedAt = revision
	return Result{}
}

// list returns the evacuations, sorted by zone.
func (evacuations *evacuations) list() []Evacuation {
	listed := make([]Evacuation, 0, len(evacuations.byZone))
	for _, evacuation := range evacuations.byZone {
		listed = append(listed, evacuation)
	}
	slices.SortFunc(listed, func(left, right Evacuation) int { return cmp.Compare(left.Zone, right.Zone) })
	return listed
}

// restore replaces the evacuations by those of a snapshot.
func (evacuations *evacuations) restore(saved []Evacuation, changedAt model.Revision) {
	*evacuations = newEvacuations()
	evacuations.changedAt = changedAt
	for _, evacuation := range saved {
		evacuations.byZone[evacuation.Zone] = evacuation
	}
}

// Evacuations returns the evacuated zones, sorted, and the revision of the latest order.
func (directory *Directory) Evacuations() ([]Evacuation, model.Revision) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.evacuations.list(), directory.evacuations.changedAt
}
