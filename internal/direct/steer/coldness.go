package steer

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
)

// holderWindow is the span in which the holder of a cold target gives it no more new
// flows than it bears in a second. It is longer than a second, because opening packets
// may wait up to some tens of milliseconds on their way, so that those of a longer
// span arrive within one second.
const coldRateWindow = 1200 * time.Millisecond

// coldness is the state of a table that concerns cold targets.
type coldLimits struct {
	// perSecond is the number of new flows a second that a cold target bears, by
	// service; services without a bound are not in it.
	perSecond map[string]float64
}

func (coldness *coldLimits) apply(limits *directory.ColdLimits) {
	if limits != nil {
		coldness.perSecond = limits.PerSecond
	}
}

// limits returns the bounds for another balancer.
func (coldness *coldLimits) export() *directory.ColdLimits {
	return &directory.ColdLimits{PerSecond: coldness.perSecond}
}

// ColdBounded tells whether the new flows of cold targets of a service are bounded.
func (table *Table) HasColdLimit(service string) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.coldLimits.perSecond[service] > 0
}

// holding counts the new flows that a balancer gave to a cold target that it holds.
type rateWindow struct {
	lock     sync.Mutex
	admitted []time.Time
}

// take notes one more new flow, and returns false when the target would get more than
// perSecond of them within the window.
func (holding *rateWindow) allow(now time.Time, perSecond float64) bool {
	holding.lock.Lock()
	defer holding.lock.Unlock()
	kept := holding.admitted[:0]
	for _, at := range holding.admitted {
		if now.Sub(at) < coldRateWindow {
			kept = append(kept, at)
		}
	}
	holding.admitted = kept
	if float64(len(kept)+1) > perSecond {
		return false
	}
	holding.admitted = append(holding.admitted, now)
	return true
}

// openCold gives a new flow to a cold target that this balancer holds and that bears
// one more, the best by hash first. A balancer that started within the window does not
// know what it gave in its former life, and gives none.
func (table *Table) openCold(service *service, hash uint64, segment Segment, route route, now time.Time) (Decision, bool) {
	if segment.Attempt > 0 || now.Sub(table.servingSince) < coldRateWindow {
		return Decision{}, false
	}
	var choices rankedTargets
	for _, target := range service.heldCold {
		if target.usable(now) {
			choices.add(target, target.score(hash, now, 1))
		}
	}
	for _, target := range choices.targets[:choices.count] {
		if target.coldWindow.allow(now, service.coldFlowRate) {
			decision := forwardTo(target, ReasonChosen)
			decision.Objective = route.objective
			return decision, true
		}
	}
	return Decision{}, false
}

// refuseCold answers an opening packet whose service has no target but cold ones that
// bear no more. It is refused at once: a cold target's rate is used by those that came
// before, and waiting would only add to those that come after. A copy of a packet that
// was sent on is not refused, because the flow may have opened.
func refuseCold(segment Segment) Decision {
	if segment.AlreadyForwarded {
		return Decision{Reason: ReasonCold}
	}
	return Decision{Action: Reset, Reason: ReasonCold}
}
