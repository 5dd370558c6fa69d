package directory

import (
	"time"

	"merlinpaddle/internal/direct/declared"
)

// leastCold is the remaining time of a target that counts as cold while its service
// states no time.
const leastCold = time.Millisecond

// ColdLimit returns the bound of cold targets of a service, and false when it has
// none.
func (directory *Directory) ColdLimit(service string) (declared.ColdLimit, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	limit, bounded := directory.coldLimits[service]
	return limit, bounded
}

// takeColdLimits collects the bounds of the configuration.
func (directory *Directory) takeColdLimits() {
	directory.coldLimits = make(map[string]declared.ColdLimit)
	for _, service := range directory.configuration.Services {
		if service.Cold.Bounded() {
			directory.coldLimits[service.Name] = service.Cold
		}
	}
}

func (directory *Directory) coldLimitsOfAll() *ColdLimits {
	limits := &ColdLimits{PerSecond: make(map[string]float64, len(directory.coldLimits))}
	for service, limit := range directory.coldLimits {
		limits.PerSecond[service] = limit.PerSecond
	}
	return limits
}

// changeColdness takes in what a target states of its coldness.
func (directory *Directory) changeColdness(target *Target, stated Target) {
	isCold, wasCold := stated.Cold > 0, target.Cold > 0
	switch {
	case isCold == wasCold:
	case !isCold && target.ColdDoubted:
		target.ColdDoubted = false
	default:
		target.Cold = stated.Cold
		directory.touch(target)
	}
	if isCold && target.Holder == "" {
		target.Holder = stated.Holder
		directory.touch(target)
	}
}

// orderZone carries an order for a zone out. Targets of a zone that is taken back may
// have turned cold shortly before and say so only in their next renewal: until they
// say that they are warm, those of bounded services count as cold.
func (directory *Directory) orderZone(order *EvacuationOrder) Result {
	_, evacuated := directory.evacuations.byZone[order.Zone]
	result := directory.evacuations.order(order, directory.revision)
	if carriedOut := !result.Conflict && !result.Full; carriedOut && evacuated && order.End {
		directory.doubtWarmth(order.Zone)
	}
	return result
}

func (directory *Directory) doubtWarmth(zone string) {
	for _, target := range directory.targets.ordered {
		limit, bounded := directory.coldLimits[target.Service]
		if !bounded || target.Zone != zone || target.Cold > 0 {
			continue
		}
		target.Cold = max(limit.Start, leastCold)
		target.ColdDoubted = true
		directory.touch(target)
	}
}
