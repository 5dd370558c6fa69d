package directory

import (
	"cmp"
	"slices"

	"merlinpaddle/internal/model"
)

// evacuationsKept bounds the zones that are evacuated at a time, so that orders
// for names that are drawn at random cannot fill the replicated state. Systems
// have some eight zones.
const evacuationsKept = 256

// Evacuation tells that a zone is emptied by order of an operator: its targets
// get no new flows, and open flows go on.
type Evacuation struct {
	Zone string
	// Since is the revision of the order that began it.
	Since model.Revision
}

// EvacuationOrder is an operator's order to empty a zone, or to take it back into
// use.
//
// Orders have no version. A member may hold one back and propose it after the
// operator gave up on that member and had a later order acknowledged elsewhere.
// Base protects against that: the order changes something only if no other order
// was applied since the member looked.
type EvacuationOrder struct {
	Zone string
	// End takes the zone back into use.
	End bool
	// Base is the revision of the latest order that the member knew when the call
	// came.
	Base model.Revision
}

// evacuations has the zones that are evacuated.
//
// Invariant: changedAt is the revision of the latest order that was applied,
// whether or not it changed anything.
type evacuations struct {
	byZone    map[string]Evacuation
	changedAt model.Revision
}

func newEvacuations() evacuations { return evacuations{byZone: make(map[string]Evacuation)} }

// order carries an order out. One that is already fulfilled is acknowledged
// whatever its base, because operators repeat an order whose answer was lost. It
// moves changedAt all the same: an opposite order that a slow member still holds
// must not take effect after the acknowledgement.
func (evacuations *evacuations) order(order *EvacuationOrder, revision model.Revision) Result {
	_, evacuated := evacuations.byZone[order.Zone]
	fulfilled := evacuated != order.End
	switch {
	case fulfilled:
	case order.Base != evacuations.changedAt:
		return Result{Conflict: true}
	case order.End:
		delete(evacuations.byZone, order.Zone)
	case len(evacuations.byZone) >= evacuationsKept:
		return Result{Full: true}
	default:
		evacuations.byZone[order.Zone] = Evacuation{Zone: order.Zone, Since: revision}
	}
	evacuations.changedAt = revision
	return Result{}
}

// list returns the evacuations in the order of their zones.
func (evacuations *evacuations) list() []Evacuation {
	listed := make([]Evacuation, 0, len(evacuations.byZone))
	for _, evacuation := range evacuations.byZone {
		listed = append(listed, evacuation)
	}
	slices.SortFunc(listed, func(left, right Evacuation) int { return cmp.Compare(left.Zone, right.Zone) })
	return listed
}

func (evacuations *evacuations) restore(saved []Evacuation, changedAt model.Revision) {
	*evacuations = newEvacuations()
	evacuations.changedAt = changedAt
	for _, evacuation := range saved {
		evacuations.byZone[evacuation.Zone] = evacuation
	}
}

// Evacuations returns the zones that are evacuated, sorted, and the revision of
// the latest order.
func (directory *Directory) Evacuations() ([]Evacuation, model.Revision) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.evacuations.list(), directory.evacuations.changedAt
}
