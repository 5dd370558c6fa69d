package steering

import (
	"time"

	"golang.org/x/time/rate"

	"merlinpaddle/internal/model"
)

// ownScore returns the agent's own load score, or maximumScore when the agent
// may not take a new flow: it drains, it has as many flows as it may have, or
// the limit of new flows is reached.
func (steering *Steering) ownScore(packet *packetState) uint16 {
	limits := packet.service.Limits
	flows := steering.options.OwnedFlows.Len()
	if packet.phase != model.PhaseServing || steering.isDraining() {
		return maximumScore
	}
	if limits.MaximumConnections > 0 && flows >= limits.MaximumConnections {
		return maximumScore
	}
	if !steering.hasToken(packet) {
		return maximumScore
	}
	load := steering.load()
	load.Flows = uint32(flows)
	return Score(load, steering.requests.observe(packet.now, load), limits.MaximumConnections)
}

func (steering *Steering) load() model.TargetLoad {
	if steering.options.Load == nil {
		return model.TargetLoad{Healthy: true}
	}
	return steering.options.Load()
}

// ObserveLoad takes the present number of requests into the average that decides
// about new flows. The more often it is called, the less chance there is in the
// average; each opening packet observes as well.
func (steering *Steering) ObserveLoad(now time.Time) { steering.requests.observe(now, steering.load()) }

func (steering *Steering) isDraining() bool {
	return steering.options.Draining != nil && steering.options.Draining()
}

// hasToken tells whether the limit of new flows admits one more now.
func (steering *Steering) hasToken(packet *packetState) bool {
	steering.applyLimits(packet)
	return steering.limiter.TokensAt(packet.now) >= 1
}

// takeToken counts one new flow, and tells whether the limit admits it. The
// caller gives the token back when no flow was opened.
func (steering *Steering) takeToken(packet *packetState) (*rate.Reservation, bool) {
	token := steering.limiter.ReserveN(packet.now, 1)
	if !token.OK() {
		return token, false
	}
	if token.DelayFrom(packet.now) > 0 {
		token.CancelAt(packet.now)
		return token, false
	}
	return token, true
}

// applyLimits follows the limits of the service when its parameters change.
func (steering *Steering) applyLimits(packet *packetState) {
	limit, burst := newFlowLimit(packet.service.Limits)
	if steering.limiter.Limit() != limit {
		steering.limiter.SetLimitAt(packet.now, limit)
	}
	if steering.limiter.Burst() != burst {
		steering.limiter.SetBurstAt(packet.now, burst)
	}
}

func newFlowLimit(limits model.Limits) (rate.Limit, int) {
	limit, burst := limits.NewFlowsPerSecond, limits.NewFlowBurst
	if limit <= 0 {
		limit = model.DefaultNewFlowsPerSecond
	}
	if burst <= 0 {
		burst = model.DefaultNewFlowBurst
	}
	return rate.Limit(limit), burst
}
