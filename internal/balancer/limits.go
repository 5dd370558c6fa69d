package balancer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"merlinpaddle/internal/model"
)

const (
	// sourceRows is the number of limiters that each source address is hashed to.
	// A source is refused only if all of them refuse, so busy sources limit a
	// quiet one only if every one of its limiters is shared with a busy source.
	sourceRows = 2
	// sourceColumns is the number of limiters in a row. Memory does not grow with
	// the number of sources.
	sourceColumns = 1 << 13
	// openingPacketsPerFlow allows for a QUIC Initial that spans several datagrams
	// and for retransmitted opening packets of one flow.
	openingPacketsPerFlow = 4
)

// Limits rate-limits opening packets by token buckets, for each source address and
// for each service. It is safe for concurrent use: each limiter has its own lock.
type Limits struct {
	// sources has sourceRows rows of sourceColumns limiters; it is nil when source
	// addresses are not limited.
	sources [][]*rate.Limiter
}

// NewLimits returns limits that allow openingsPerSource opening packets per second
// from each source address; zero means no limit. The burst is one second's worth, and at
// least one packet.
func NewLimits(openingsPerSource float64) *Limits {
	limits := &Limits{}
	if openingsPerSource <= 0 {
		return limits
	}
	burst := max(1, int(openingsPerSource))
	limits.sources = make([][]*rate.Limiter, sourceRows)
	for row := range limits.sources {
		limits.sources[row] = make([]*rate.Limiter, sourceColumns)
		for column := range limits.sources[row] {
			limits.sources[row][column] = rate.NewLimiter(rate.Limit(openingsPerSource), burst)
		}
	}
	return limits
}

// allowSource takes a token from the source's limiters and reports whether the
// source may send an opening packet now.
func (limits *Limits) allowSource(now time.Time, source netip.Addr) bool {
	if limits.sources == nil {
		return true
	}
	address := source.As16()
	hash := xxhash.Sum64(address[:])
	var halves [8]byte
	binary.BigEndian.PutUint64(halves[:], hash)
	first := binary.BigEndian.Uint32(halves[:4]) % sourceColumns
	second := binary.BigEndian.Uint32(halves[4:]) % sourceColumns
	// Take a token from both limiters, so that a source uses them up equally.
	isFirstAllowed := limits.sources[0][first].AllowN(now, 1)
	isSecondAllowed := limits.sources[1][second].AllowN(now, 1)
	return isFirstAllowed || isSecondAllowed
}

// serviceLimiter returns the limiter of a service with the given number of serving
// targets: the one of the previous index, with rate and burst updated, or a new one.
//
// The limit is the number of flows that all the service's targets together may
// open, times openingPacketsPerFlow. The fabric spreads opening packets over all
// balancers, so a balancer that alone receives more than that is being flooded.
func (limits *Limits) serviceLimiter(now time.Time, service model.Service, servingTargets int, previous *Index) *rate.Limiter {
	bounds := service.Limits
	perSecond, burst := bounds.NewFlowsPerSecond, bounds.NewFlowBurst
	if perSecond <= 0 {
		perSecond = model.DefaultNewFlowsPerSecond
	}
	if burst <= 0 {
		burst = model.DefaultNewFlowBurst
	}
	factor := openingPacketsPerFlow * max(1, servingTargets)
	wantedRate, wantedBurst := rate.Limit(perSecond*float64(factor)), burst*factor
	limiter := previous.limiterOf(service)
	if limiter == nil {
		return rate.NewLimiter(wantedRate, wantedBurst)
	}
	if limiter.Limit() != wantedRate {
		limiter.SetLimitAt(now, wantedRate)
	}
	if limiter.Burst() != wantedBurst {
		limiter.SetBurstAt(now, wantedBurst)
	}
	return limiter
}
