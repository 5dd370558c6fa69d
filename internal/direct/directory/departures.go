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
	// lateCallWindow is how long after a departure without a start registrations that tell one may
	// be late. It ends before departureTTL, because the clock of a target that starts again may be
	// behind.
	lateCallWindow = 20 * time.Second
	// startClockTolerance is how far the clock of a target may be ahead of the log's time. It is
	// shorter than targets serve on after their departure, so that no later start falls into it.
	startClockTolerance = 2 * time.Second
)

// keptDeparture is what is known of the departures of incarnations with an identifier that have no
// record, or not any more.
type keptDeparture struct {
	ID TargetID
	// Started is the latest start that is known to have left.
	Started StartTime
	// At is the log time of the latest departure in nanoseconds since 1970.
	At int64
	// WithoutStartAt is the log time of the latest notice that does not tell its start; zero for none.
	// Snapshots of earlier versions of the program lack it.
	WithoutStartAt int64
}

// departures has the departures of incarnations whose registrations are not recorded and may still
// arrive.
type departures struct {
	byID map[TargetID]keptDeparture
	// order has the identifiers in the order of their departures.
	order []TargetID
}

func newDepartures() departures { return departures{byID: make(map[TargetID]keptDeparture)} }

// addNotice keeps the notice of a departure.
func (departures *departures) addNotice(departure *Departure, at time.Time) {
	departures.add(departure.ID, departure.Started, at)
	if departure.Started == 0 {
		kept := departures.byID[departure.ID]
		kept.WithoutStartAt = kept.At
		departures.byID[departure.ID] = kept
	}
}

// add keeps the departure of the starts up to the given one. It drops expired departures, and the oldest
// above the bound.
func (departures *departures) add(id TargetID, started StartTime, at time.Time) {
	for len(departures.order) > 0 && departures.byID[departures.order[0]].expired(at) {
		departures.dropOldest()
	}
	kept, known := departures.byID[id]
	if known {
		departures.order = slices.DeleteFunc(departures.order, func(other TargetID) bool { return other == id })
	}
	kept.ID, kept.Started, kept.At = id, max(kept.Started, started), at.UnixNano()
	departures.order = append(departures.order, id)
	departures.byID[id] = kept
	if len(departures.order) > maxDepartures {
		departures.dropOldest()
	}
}

func (departures *departures) dropOldest() {
	delete(departures.byID, departures.order[0])
	departures.order = departures.order[1:]
}

// covers reports whether the reporting incarnation has left: a notice told its start or a later one, or
// it started before a notice that told none. An incarnation that does not tell its start is covered by
// every notice.
func (departures *departures) covers(reported Target, at time.Time) bool {
	kept, left := departures.byID[reported.ID]
	if !left || kept.expired(at) {
		return false
	}
	return reported.Started <= kept.Started || kept.coversWithoutStart(reported.Started, at)
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

// coversWithoutStart reports whether an incarnation with the start may have sent a notice without a start, and
// its registration may be late.
func (kept keptDeparture) coversWithoutStart(started StartTime, at time.Time) bool {
	if kept.WithoutStartAt == 0 {
		return false
	}
	noticed := time.Unix(0, kept.WithoutStartAt)
	return at.Sub(noticed) <= lateCallWindow && !time.UnixMilli(int64(started)).After(noticed.Add(startClockTolerance))
}

func (kept keptDeparture) expired(at time.Time) bool {
	return at.Sub(time.Unix(0, kept.At)) > departureTTL
}
