package steering

import (
	"time"

	"golang.org/x/time/rate"

	"merlinpaddle/internal/model"
)

// localScore returns the load score of the agent's own target, or maximumScore when the target may
// not open a new flow: it is draining, it has its maximum number of flows, or the rate limit of new
// flows is reached.
func (steering *Steering) localScore(packet *packetState) uint16 {
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
	load := steering.currentLoad()
	load.Flows = uint32(flows)
	return Score(load, steering.requests.observe(packet.now, load), limits.MaximumConnections)
}

// currentLoad returns the load of the agent's own target, or a healthy idle one without Options.Load.
func (steering *Steering) currentLoad() model.TargetLoad {
	if steering.options.Load == nil {
		return model.TargetLoad{Healthy: true}
	}
	return steering.options.Load()
}

// ObserveLoad adds the current number of requests to the average from which load scores are computed.
// The more often it is called, the less the average depends on single moments. Computing a load score
// for an opening packet adds an observation as well.
func (steering *Steering) ObserveLoad(now time.Time) {
	steering.requests.observe(now, steering.currentLoad())
}

func (steering *Steering) isDraining() bool {
	return steering.options.Draining != nil && steering.options.Draining()
}

// hasToken reports whether the rate limit of new flows admits one more now.
func (steering *Steering) hasToken(packet *packetState) bool {
	steering.applyLimits(packet)
	return steering.limiter.TokensAt(packet.now) >= 1
}

// takeToken takes a token for one new flow, and reports whether the rate limit admits it. The caller
// cancels the reservation when no flow was opened.
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

// applyLimits sets the rate limiter to the current limits of the service.
func (steering *Steering) applyLimits(packet *packetState) {
	limit, burst := newFlowLimit(packet.service.Limits)
	if steering.limiter.Limit() != limit {
		steering.limiter.SetLimitAt(packet.now, limit)
	}
	if steering.limiter.Burst() != burst {
		steering.limiter.SetBurstAt(packet.now, burst)
	}
}

// newFlowLimit returns the rate of new flows in flows per second and the burst, with defaults for
// values that are not set.
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
