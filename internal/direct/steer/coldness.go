package steer

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
)

// coldRateWindow is the time in which the holder of a cold target sends it no more new flows than
// the target can handle in a second. It is longer than a second because opening packets may be
// delayed by up to some tens of milliseconds on their way, so that packets that were sent over
// more than a second may arrive within one second.
const coldRateWindow = 1200 * time.Millisecond

// coldLimits holds the limits on new flows to cold targets.
type coldLimits struct {
	// perSecond is the number of new flows a second that a cold target can handle, by
	// service. Services without a limit are not in it.
	perSecond map[string]float64
}

// apply replaces the limits; nil changes nothing.
func (limits *coldLimits) apply(received *directory.ColdLimits) {
	if received != nil {
		limits.perSecond = received.PerSecond
	}
}

// export returns the limits in the form that they are sent in.
func (limits *coldLimits) export() *directory.ColdLimits {
	return &directory.ColdLimits{PerSecond: limits.perSecond}
}

// HasColdLimit reports whether the service limits the rate of new flows to cold targets.
func (table *Table) HasColdLimit(service string) bool {
	table.lock.RLock()
	defer table.lock.RUnlock()
	return table.coldLimits.perSecond[service] > 0
}

// rateWindow limits the number of new flows to a cold target within coldRateWindow (a sliding
// window log).
type rateWindow struct {
	lock sync.Mutex
	// admitted has the times of the flows admitted within the window, oldest first.
	admitted []time.Time
}

// allow reports whether the target may get one more new flow, which it then records. It may not
// get more than perSecond of them within the window.
func (window *rateWindow) allow(now time.Time, perSecond float64) bool {
	window.lock.Lock()
	defer window.lock.Unlock()
	kept := window.admitted[:0]
	for _, at := range window.admitted {
		if now.Sub(at) < coldRateWindow {
			kept = append(kept, at)
		}
	}
	window.admitted = kept
	if float64(len(kept)+1) > perSecond {
		return false
	}
	window.admitted = append(window.admitted, now)
	return true
}

// openCold gives a new flow to a cold target that this balancer is the holder of and whose rate
// limit allows it, the best by hash first. It returns false when there is none, and for
// retransmissions. A balancer that started within the window does not know which flows it sent
// before its restart, and sends none.
func (table *Table) openCold(service *service, hash uint64, segment Segment, route route, now time.Time) (Decision, bool) {
	if segment.Attempt > 0 || now.Sub(table.servingSince) < coldRateWindow {
		return Decision{}, false
	}
	var ranked rankedTargets
	for _, target := range service.heldCold {
		if target.usable(now) {
			ranked.add(target, target.score(hash, now, 1))
		}
	}
	for _, target := range ranked.targets[:ranked.count] {
		if target.coldWindow.allow(now, service.coldFlowRate) {
			decision := forwardTo(target, ReasonChosen)
			decision.Objective = route.objective
			return decision, true
		}
	}
	return Decision{}, false
}

// refuseCold decides about an opening packet whose service has only cold targets, none of which
// can handle another flow from this balancer. It is refused at once: earlier flows have used up
// the rate of the cold targets, and a flow that waited would only compete with later ones. A
// retransmission of a packet that was already forwarded is dropped instead, because the flow may
// have opened.
func refuseCold(segment Segment) Decision {
	if segment.AlreadyForwarded {
		return Decision{Reason: ReasonCold}
	}
	return Decision{Action: Reset, Reason: ReasonCold}
}
