package directory

import (
	"time"

	"merlinpaddle/internal/direct/declared"
)

// minColdTime is the remaining cold time of a target that is assumed to be cold if the cold limit of
// its service declares no start time. Zero would mean warm.
const minColdTime = time.Millisecond

// ColdLimit returns the limit for cold targets of a service, and false when the service has none.
func (directory *Directory) ColdLimit(service string) (declared.ColdLimit, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	limit, exists := directory.coldLimits[service]
	return limit, exists
}

// collectColdLimits indexes the cold limits of the declared configuration by service.
func (directory *Directory) collectColdLimits() {
	directory.coldLimits = make(map[string]declared.ColdLimit)
	for _, service := range directory.configuration.Services {
		if service.Cold.Bounded() {
			directory.coldLimits[service.Name] = service.Cold
		}
	}
}

// allColdLimits returns the limits as balancers get them.
func (directory *Directory) allColdLimits() *ColdLimits {
	limits := &ColdLimits{PerSecond: make(map[string]float64, len(directory.coldLimits))}
	for service, limit := range directory.coldLimits {
		limits.PerSecond[service] = limit.PerSecond
	}
	return limits
}

// updateColdness records whether a target reports itself cold or warm. A target that was assumed
// to be cold has to report twice that it is warm. The holder is set once in an incarnation's
// lifetime.
func (directory *Directory) updateColdness(target *Target, reported Target) {
	isCold, wasCold := reported.Cold > 0, target.Cold > 0
	switch {
	case isCold == wasCold:
	case !isCold && target.ColdDoubted:
		target.ColdDoubted = false
	default:
		target.Cold = reported.Cold
		directory.markChanged(target)
	}
	if isCold && target.Holder == "" {
		target.Holder = reported.Holder
		directory.markChanged(target)
	}
}

// applyEvacuationOrder begins or ends the evacuation of a zone. When an evacuation ends, targets
// of the zone may have become cold shortly before and report it only in their next renewal. Until
// they report that they are warm, those of services with a cold limit are assumed to be cold.
func (directory *Directory) applyEvacuationOrder(order *EvacuationOrder) Result {
	_, evacuated := directory.evacuations.byZone[order.Zone]
	result := directory.evacuations.apply(order, directory.revision)
	if applied := !result.Conflict && !result.Full; applied && evacuated && order.End {
		directory.assumeCold(order.Zone)
	}
	return result
}

// assumeCold marks the targets of a zone as cold if their services have a cold limit.
func (directory *Directory) assumeCold(zone string) {
	for _, target := range directory.targets.byToken {
		limit, exists := directory.coldLimits[target.Service]
		if !exists || target.Zone != zone || target.Cold > 0 {
			continue
		}
		target.Cold = max(limit.Start, minColdTime)
		target.ColdDoubted = true
		directory.markChanged(target)
	}
}
