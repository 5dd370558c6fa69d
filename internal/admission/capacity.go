package admission

import "time"

// Settings of the number of usable slots.
const (
	// shedHoldTime is how long each slot stays withheld after a shed request.
	shedHoldTime = 2 * time.Second
	// minimumSlots is the number of slots that are always usable.
	minimumSlots = 1
)

// capacity computes how many slots are usable at a given time: all of them, except
// that there are fewer during the slow start after a cold start, and one fewer for
// each recent shed result of the back end.
type capacity struct {
	// slots is the number of slots without any reduction.
	slots int
	// ramp is the duration of the slow start, and startedAt its beginning.
	ramp      time.Duration
	startedAt time.Time
	// withheld is the number of slots that are withheld after shed results, and
	// restoreAt when the next of them becomes usable again.
	withheld  int
	restoreAt time.Time
}

func newCapacity(slots int, ramp time.Duration, startedAt time.Time) *capacity {
	return &capacity{slots: slots, ramp: ramp, startedAt: startedAt}
}

// restart begins a new slow start ramp, after the back end has recovered.
func (capacity *capacity) restart(now time.Time) { capacity.startedAt = now }

// cold reports whether the slow start ramp is in progress.
func (capacity *capacity) cold(now time.Time) bool {
	return now.Sub(capacity.startedAt) < capacity.ramp
}

// recordShed withholds one more slot, down to minimumSlots, and sets the return of the next
// slot to shedHoldTime from now.
func (capacity *capacity) recordShed(now time.Time) {
	capacity.restoreSlots(now)
	capacity.withheld = min(capacity.withheld+1, capacity.slots-minimumSlots)
	capacity.restoreAt = now.Add(shedHoldTime)
}

// restoreSlots returns one withheld slot for each shedHoldTime that has passed.
func (capacity *capacity) restoreSlots(now time.Time) {
	for capacity.withheld > 0 && !now.Before(capacity.restoreAt) {
		capacity.withheld--
		capacity.restoreAt = capacity.restoreAt.Add(shedHoldTime)
	}
}

// usable returns the number of slots that may be used now, at least minimumSlots.
func (capacity *capacity) usable(now time.Time) int {
	capacity.restoreSlots(now)
	usable := capacity.slots - capacity.withheld
	if capacity.cold(now) {
		elapsed := now.Sub(capacity.startedAt)
		ramped := minimumSlots + int(int64(capacity.slots-minimumSlots)*int64(elapsed)/int64(capacity.ramp))
		usable = min(usable, ramped)
	}
	return max(usable, minimumSlots)
}

// nextChange returns the next time at which the number of usable slots may grow by
// itself, and false if it is not reduced.
func (capacity *capacity) nextChange(now time.Time) (time.Time, bool) {
	var next time.Time
	if capacity.withheld > 0 {
		next = capacity.restoreAt
	}
	if capacity.cold(now) && capacity.slots > minimumSlots {
		step := capacity.ramp / time.Duration(capacity.slots-minimumSlots)
		steps := now.Sub(capacity.startedAt)/step + 1
		change := capacity.startedAt.Add(steps * step)
		if next.IsZero() || change.Before(next) {
			next = change
		}
	}
	return next, !next.IsZero()
}
