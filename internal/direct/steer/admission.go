package steer

import (
	"math"
	"time"
)

// assumedServiceTimeDivisor divides a route's objective into the service time that is assumed
// for an idle target while none is known.
const assumedServiceTimeDivisor = 4

// rankObjectiveFactor is the factor on Options.MaxObjectiveShare for each rank below the most
// urgent one, so that less urgent routes are refused first. Targets queue a few requests for
// each slot and refuse further ones whatever their priority. With about two thirds, the less
// urgent flows stop while the queue still has room for urgent ones and for requests on open
// flows, which cannot be refused.
const rankObjectiveFactor = 0.65

// rankOccupancyFactor is the factor on Options.MaxOccupancy for each rank below the most urgent
// one: seven requests for two slots where the most urgent rank may have ten.
const rankOccupancyFactor = 0.7

// trackedRanks is the number of ranks with a congestion state of their own. Lower ranks share
// that of the last one.
const trackedRanks = maxTrackedPriorities

// congestionByRank is the congestion of a service as routes of each rank see it. Each rank has
// its own state: a lower rank finds a service full while a higher one still has room, and that
// must not cause the higher one to be refused.
type congestionByRank [trackedRanks]congestionDetector

// observe records whether a new flow of a rank found its target overloaded, and reports whether
// the service is congested for that rank.
func (ranks *congestionByRank) observe(rank int, overloaded bool, now time.Time) bool {
	return ranks[min(rank, trackedRanks-1)].observe(overloaded, now)
}

// slots returns the number of requests that the target works on at once, at least 1.
func (target *targetRecord) slots() int { return max(target.Capacity, 1) }

// expectedTime returns how long a further request would take at the target. serviceTime is the
// time at an idle target; when it is zero, a part of the objective is assumed.
func (target *targetRecord) expectedTime(open int, serviceTime, objective time.Duration) time.Duration {
	if serviceTime == 0 {
		serviceTime = objective / assumedServiceTimeDivisor
	}
	occupancy := max(float64(open+1)/float64(target.slots()), 1)
	return time.Duration(occupancy * float64(serviceTime))
}

// admits records a new flow of the route, and reports whether its candidate has room for it or
// its service is not congested for the rank of the route.
func (table *Table) admits(service *service, candidate candidate, route route, now time.Time) bool {
	rank := service.priorities.rank(route.priority, now)
	overloaded := table.overloaded(candidate, route, rank) && table.options.Loads.SufficientForRefusal(now)
	congested := service.congestion.observe(rank, overloaded, now)
	return !congested || !overloaded
}

// overloaded reports whether the candidate is too full for a further request of the route at the
// rank: it has no idle slot, and the request would exceed its share of the objective or saturate
// the target.
func (table *Table) overloaded(candidate candidate, route route, rank int) bool {
	if candidate.open < candidate.target.slots() || route.objective == 0 || table.options.MaxObjectiveShare == 0 {
		return false
	}
	return table.exceedsObjectiveShare(candidate.expected, route, rank) || table.saturated(candidate.target, candidate.open, rank)
}

// saturated reports whether a further request would exceed the number of requests that the
// target may hold for routes of the rank.
func (table *Table) saturated(target *targetRecord, open, rank int) bool {
	limit := table.options.MaxOccupancy * math.Pow(rankOccupancyFactor, float64(rank))
	return limit > 0 && float64(open+1) > limit*float64(target.slots())
}

// exceedsObjectiveShare reports whether the expected time of a request is more than the share of
// the route's objective that is allowed at the rank.
func (table *Table) exceedsObjectiveShare(expected time.Duration, route route, rank int) bool {
	share := table.options.MaxObjectiveShare * math.Pow(rankObjectiveFactor, float64(rank))
	return float64(expected) > share*float64(route.objective)
}
