package directory

import (
	"slices"
	"time"
)

const (
	// maxDepartures bounds the departures that are kept.
	maxDepartures = 4096
	// departureTTL is how long a departure is kept by the log's time: longer than a call may be held
	// back on its way.
	departureTTL = 2 * time.Minute
)

// keptDeparture is the departure of an incarnation that has no record.
type keptDeparture struct {
	ID      TargetID
	Started StartTime
	// At is the log time of the departure in nanoseconds since 1970.
	At int64
}

// departures has the incarnations that left before any of their registrations was recorded. Their
// registrations may still arrive. Of each identifier it has the latest departure.
type departures struct {
	byID map[TargetID]keptDeparture
	// order has the identifiers in the order of their departures.
	order []TargetID
}

func newDepartures() departures { return departures{byID: make(map[TargetID]keptDeparture)} }

// add keeps a departure. It drops expired ones, and the oldest above the bound.
func (departures *departures) add(departure *Departure, at time.Time) {
	departures.order = slices.DeleteFunc(departures.order, func(id TargetID) bool {
		return id == departure.ID || departures.byID[id].expired(at)
	})
	departures.order = append(departures.order, departure.ID)
	departures.byID[departure.ID] = keptDeparture{ID: departure.ID, Started: departure.Started, At: at.UnixNano()}
	if excess := len(departures.order) - maxDepartures; excess > 0 {
		departures.order = slices.Delete(departures.order, 0, excess)
	}
	if len(departures.byID) > len(departures.order) {
		departures.restore(departures.list())
	}
}

// covers reports whether the reporting incarnation has left: the departure is that of its start, or
// of a later one. A departure without a start covers only incarnations that do not tell theirs.
func (departures *departures) covers(reported Target, at time.Time) bool {
	kept, left := departures.byID[reported.ID]
	return left && reported.Started <= kept.Started && !kept.expired(at)
}

// list returns the departures in their order.
func (departures *departures) list() []keptDeparture {
	var list []keptDeparture
	for _, id := range departures.order {
		list = append(list, departures.byID[id])
	}
	return list
}

// restore replaces the departures by those of a list.
func (departures *departures) restore(list []keptDeparture) {
	*departures = newDepartures()
	for _, kept := range list {
		departures.byID[kept.ID] = kept
		departures.order = append(departures.order, kept.ID)
	}
}

func (kept keptDeparture) expired(at time.Time) bool {
	return at.Sub(time.Unix(0, kept.At)) > departureTTL
}
