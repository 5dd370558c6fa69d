package steer

import (
	"math"
	"time"
)

// New flows go to targets of the balancer's local zone first, and only the surplus goes to remote
// zones (spillover). This addresses demand that differs by zone, and network partitions between
// zones: a flow that crosses zones without need is lost when they are cut off from each other, and
// a flow that stays at a full target waits while other targets are idle.
//
// Balancers do not coordinate on this. Each flow is decided by what its balancer knows of a few
// targets. So only the surplus crosses, in proportion to its size, and flows return one by one as
// targets of the local zone get room: there is no shared ratio that could oscillate.

const (
	// localZoneWeightWithoutLoads is the largest weight factor for the local zone at a balancer
	// without reliable load estimates. Such a balancer would not notice that a zone fills up,
	// and therefore always sends a part of its flows to other zones.
	localZoneWeightWithoutLoads = 4
	// maxLocalZoneShareFactor limits the load of the local zone's targets that the weight factor
	// alone may cause: with equal demand in all zones, they get at most this many times the
	// flows that correspond to their capacity. With 2, targets at a third of their capacity
	// almost always have room. Without the limit, a zone with few targets, as during a release
	// or after failures, would get all flows of its callers and could not handle them.
	maxLocalZoneShareFactor = 2
	// spilloverOccupancy is the occupancy of the least busy local candidate from which remote
	// zones are considered. At 1 it has no idle slot, so that a request would wait for another
	// one to finish, tens of milliseconds, whereas the way to another zone takes about one.
	spilloverOccupancy = 1.0
	// maxSpilloverOccupancyRatio is the largest occupancy that a remote target may have,
	// relative to the local candidate. With a half, at least half of the wait is saved. Where
	// all zones are equally full, crossing gains nothing, and random differences in load must
	// not cause it.
	maxSpilloverOccupancyRatio = 0.5
)

// localZoneWeightFor returns the weight factor for a service's targets in the local zone.
func (table *Table) localZoneWeightFor(service *service) float64 {
	weight := table.options.LocalZoneWeight
	if table.options.Loads == nil || !table.options.Loads.Reliable() {
		weight = min(weight, localZoneWeightWithoutLoads)
	}
	return min(weight, service.maxLocalZoneWeight)
}

// updateMaxLocalZoneWeight computes the largest weight factor for the local zone with which its
// targets get no more than maxLocalZoneShareFactor allows; at least 1.
func (service *service) updateMaxLocalZoneWeight() {
	local, total := service.localZoneSlots, 0
	for _, slots := range service.slotsByZone {
		total += slots
	}
	service.maxLocalZoneWeight = math.Inf(1)
	share := maxLocalZoneShareFactor * float64(local) * float64(len(service.slotsByZone)) / float64(total)
	if local == 0 || share >= 1 {
		return
	}
	remote := float64(total - local)
	service.maxLocalZoneWeight = max(share/(1-share)*remote/float64(local), 1)
}

// spilloverTarget returns the target of a remote zone that a new flow goes to because the chosen
// target of the local zone has no idle slot. It returns nil when the flow stays at the chosen one.
func (table *Table) spilloverTarget(service *service, chosen *targetRecord, hash uint64, now time.Time) *targetRecord {
	if !chosen.inLocalZone || table.options.SpilloverCandidates == 0 || table.options.Loads == nil {
		return nil
	}
	occupancy := table.options.occupancyOf(chosen)
	if occupancy < spilloverOccupancy {
		return nil
	}
	var remote rankedTargets
	service.pool.rank(rankCriteria{hash: hash, now: now}, &remote)
	var least *targetRecord
	lowest := occupancy * maxSpilloverOccupancyRatio
	for _, target := range remote.targets[:min(remote.count, table.options.SpilloverCandidates)] {
		remoteOccupancy := table.options.occupancyOf(target)
		if remoteOccupancy < lowest || least == nil && remoteOccupancy == lowest {
			least, lowest = target, remoteOccupancy
		}
	}
	return least
}
