package steer

import (
	"math"
	"time"
)

// assumedParts is the part of a route's objective that a request is assumed to
// take on an idle target while nobody knows better.
const assumedParts = 4

// rankShare is the part of AdmitShare that is left for routes of the next lower
// priority, so that they are refused first.
const rankShare = 0.8

// slots is the number of requests that the target works on at once, one at the
// least.
func (target *record) slots() int { return max(target.Capacity, 1) }

// expected returns how long a further request would take at the target: serving
// is the time on an idle one, zero when it is not known.
func (target *record) expected(open int, serving, objective time.Duration) time.Duration {
	if serving == 0 {
		serving = objective / assumedParts
	}
	crowd := max(float64(open+1)/float64(target.slots()), 1)
	return time.Duration(crowd * float64(serving))
}

// exceeds tells whether a request that takes as long would miss the share of the
// route's objective that is allowed.
func (table *Table) exceeds(expected time.Duration, route route) bool {
	if route.objective == 0 || table.options.AdmitShare == 0 {
		return false
	}
	share := table.options.AdmitShare * math.Pow(rankShare, float64(route.rank))
	return float64(expected) > share*float64(route.objective)
}
