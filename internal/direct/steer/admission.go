package steer

import (
	"math"
	"time"
)

// assumedParts is the part of a route's objective that a request is assumed to
// take on an idle target while nobody knows better.
const assumedServiceTimeDivisor = 4

// rankShare is the part of AdmitShare that is left for routes of the next lower
// priority, so that they are refused first. Targets hold a few requests for each slot and
// turn further ones away whatever their priority; with two thirds, the less urgent stop
// while the queue still has room for the urgent ones and for requests on open flows, which
// cannot be refused.
const rankObjectiveFactor = 0.65

// crowdShare is the part of Options.FullCrowd that is left for routes of the next lower
// priority: seven requests for two slots where the most urgent may find ten.
const rankOccupancyFactor = 0.7

// ranksKept is the number of ranks whose congestion is told apart.
const trackedRanks = maxTrackedPriorities

// congestions has the congestion of a service as routes of each rank see it. Each rank has
// one of its own: a lower one finds a service full while a higher one still has room, and
// whether it does must not make the higher one be refused.
type congestionByRank [trackedRanks]congestionDetector

// observe takes in whether a new flow of a rank is expected to miss its share of the
// objective, and returns whether the service is congested for that rank.
func (congestions *congestionByRank) observe(rank int, late bool, now time.Time) bool {
	return congestions[min(rank, trackedRanks-1)].observe(late, now)
}

// slots is the number of requests that the target works on at once, one at the
// least.
func (target *targetRecord) slots() int { return max(target.Capacity, 1) }

// expected returns how long a further request would take at the target: serving
// is the time on an idle one, zero when it is not known.
func (target *targetRecord) expectedTime(open int, serving, objective time.Duration) time.Duration {
	if serving == 0 {
		serving = objective / assumedServiceTimeDivisor
	}
	crowd := max(float64(open+1)/float64(target.slots()), 1)
	return time.Duration(crowd * float64(serving))
}

// admits takes in a new flow of the route, and tells whether its candidate has room for it,
// or its service is not congested for routes as urgent.
func (table *Table) admits(service *service, candidate candidate, route route, now time.Time) bool {
	rank := service.priorities.rank(route.priority, now)
	late := table.overloaded(candidate, route, rank) && table.options.Loads.SufficientForRefusal(now)
	congested := service.congestion.observe(rank, late, now)
	return !congested || !late
}

// late tells whether a further request of the route, of a rank, would find the candidate too
// full: no slot is idle, and it would miss its share of the objective or be turned away.
func (table *Table) overloaded(candidate candidate, route route, rank int) bool {
	if candidate.open < candidate.target.slots() || route.objective == 0 || table.options.MaxObjectiveShare == 0 {
		return false
	}
	return table.exceedsObjectiveShare(candidate.expected, route, rank) || table.saturated(candidate.target, candidate.open, rank)
}

// crowded tells whether the target would hold more than it may for routes of the rank.
func (table *Table) saturated(target *targetRecord, open, rank int) bool {
	most := table.options.MaxOccupancy * math.Pow(rankOccupancyFactor, float64(rank))
	return most > 0 && float64(open+1) > most*float64(target.slots())
}

// exceeds tells whether a request that takes as long would miss the share of the
// route's objective that is allowed.
func (table *Table) exceedsObjectiveShare(expected time.Duration, route route, rank int) bool {
	share := table.options.MaxObjectiveShare * math.Pow(rankObjectiveFactor, float64(rank))
	return float64(expected) > share*float64(route.objective)
}
