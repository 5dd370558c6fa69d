package steer

import (
	"math"
	"time"
)

// Near targets first, the surplus elsewhere. The load it answers is demand that differs by
// zone, and zones that are cut off: a flow that crosses zones without need is lost when they
// part, and one that stays beside a full target waits while others are idle.
//
// Nothing is agreed on between balancers. Each flow is decided by what its balancer knows of
// a few targets, so that the surplus alone crosses, in proportion to it, and comes back flow
// by flow as near targets get room: there is no share that could swing.

const (
	// blindNearWeight is the weight of near targets for a balancer that does not know how
	// busy targets are. It would not see a zone fill up, and so leaves a part of its flows
	// to other zones always.
	localZoneWeightWithoutLoads = 4
	// mostShare is how many times its part of the capacity a zone's targets may get of the
	// zone's flows by preference alone, if zones ask alike: with the double, targets that
	// are a third used have room nearly always. A zone that has few targets, as within a
	// release or after losses, could not bear all of its callers.
	maxLocalZoneShareFactor = 2
	// spillFrom is the pressure of the least busy near candidate from which other zones are
	// looked at: it has no idle slot, so that a request would wait for another one's work,
	// tens of milliseconds, where the way to another zone takes about one.
	spilloverOccupancy = 1.0
	// spillRatio is the most that a target elsewhere may be pressed, relative to the near
	// one: half, so that at least half of the wait is saved. Where all zones are as full,
	// crossing gains nothing and is not done for chance differences.
	maxSpilloverOccupancyRatio = 0.5
)

// nearWeightOf returns the weight of a service's near targets against others.
func (table *Table) localZoneWeightFor(service *service) float64 {
	weight := table.options.LocalZoneWeight
	if table.options.Loads == nil || !table.options.Loads.Reliable() {
		weight = min(weight, localZoneWeightWithoutLoads)
	}
	return min(weight, service.maxLocalZoneWeight)
}

// measureZones settles the greatest weight of near targets with which they get no more than
// mostShare allows.
func (service *service) updateMaxLocalZoneWeight() {
	near, total := service.localZoneSlots, 0
	for _, slots := range service.slotsByZone {
		total += slots
	}
	service.maxLocalZoneWeight = math.Inf(1)
	share := maxLocalZoneShareFactor * float64(near) * float64(len(service.slotsByZone)) / float64(total)
	if near == 0 || share >= 1 {
		return
	}
	elsewhere := float64(total - near)
	service.maxLocalZoneWeight = max(share/(1-share)*elsewhere/float64(near), 1)
}

// spill returns the target elsewhere that a new flow goes to because the chosen near one has
// no idle slot, or nil where it stays.
func (table *Table) spilloverTarget(service *service, chosen *targetRecord, hash uint64, now time.Time) *targetRecord {
	if !chosen.inLocalZone || table.options.SpilloverCandidates == 0 || table.options.Loads == nil {
		return nil
	}
	pressure := table.options.occupancyOf(chosen)
	if pressure < spilloverOccupancy {
		return nil
	}
	var elsewhere rankedTargets
	service.pool.rank(rankCriteria{hash: hash, now: now}, &elsewhere)
	var least *targetRecord
	lowest := pressure * maxSpilloverOccupancyRatio
	for _, target := range elsewhere.targets[:min(elsewhere.count, table.options.SpilloverCandidates)] {
		other := table.options.occupancyOf(target)
		if other < lowest || least == nil && other == lowest {
			least, lowest = target, other
		}
	}
	return least
}
