package compare

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// Parameters of the flows. Lifetimes and request rates have bounded Pareto distributions.
const (
	lifetimeShape   = 1.5
	lifetimeMinimum = 10 * time.Second
	lifetimeMaximum = 30 * time.Minute
	rateShape       = 1.5
	// rateRange is the ratio of the highest request rate to the lowest.
	rateRange = 100
	// keepAlive is the longest time between two packets of a flow.
	keepAlive = 10 * time.Second
)

var serviceAddress = netip.MustParseAddrPort("127.2.0.1:443")

// flowPlan is the workload of one flow. It does not depend on the algorithm.
type flowPlan struct {
	number   uint64
	arrival  time.Duration
	lifetime time.Duration
	// rate is the mean number of requests a second.
	rate float64
	quic bool
}

// paretoMean returns the mean of a Pareto distribution with shape, bounded to [1, highest].
func paretoMean(shape, highest float64) float64 {
	cut := math.Pow(highest, -shape)
	return shape / (shape - 1) * (1 - math.Pow(highest, 1-shape)) / (1 - cut)
}

// pareto draws from a Pareto distribution with shape, bounded to [1, highest].
func pareto(random *kernel.Random, shape, highest float64) float64 {
	cut := math.Pow(highest, -shape)
	return math.Pow(1-uniform(random.Uint64())*(1-cut), -1/shape)
}

// uniform maps a random 64-bit number to [0, 1).
func uniform(number uint64) float64 { return float64(number>>11) / (1 << 53) }

// planFlows draws all flows of a comparison, sorted by arrival.
func planFlows(options Options) []flowPlan {
	random := kernel.NewRandom(options.Seed, "compare flows")
	between := time.Duration(float64(time.Second) / (options.FlowsPerSecond * float64(options.Targets)))
	lowestRate := options.lowestRate()
	var plans []flowPlan
	for at := random.Exponential(between); at < options.duration(); at += random.Exponential(between) {
		lifetime := pareto(random, lifetimeShape, lifetimeMaximum.Seconds()/lifetimeMinimum.Seconds())
		plans = append(plans, flowPlan{
			number:   uint64(len(plans)),
			arrival:  at,
			lifetime: time.Duration(lifetime * float64(lifetimeMinimum)),
			rate:     lowestRate * pareto(random, rateShape, rateRange),
			quic:     uniform(random.Uint64()) < options.QUICShare,
		})
	}
	return plans
}

// lowestRate returns the lowest request rate of a flow, in requests a second, with which the mean
// utilization of the slots is Options.Utilization.
func (options Options) lowestRate() float64 {
	requests := options.Utilization * float64(options.Slots) / options.ServiceTime.Seconds()
	meanLifetime := lifetimeMinimum.Seconds() * paretoMean(lifetimeShape, lifetimeMaximum.Seconds()/lifetimeMinimum.Seconds())
	flows := options.FlowsPerSecond * meanLifetime
	return requests / flows / paretoMean(rateShape, rateRange)
}

// draw returns a random number that depends only on the seed, a flow (or a node), a count and a
// purpose, so that it is the same with every algorithm.
func (run *run) draw(flow uint64, count uint32, purpose byte) uint64 {
	var key [21]byte
	binary.BigEndian.PutUint64(key[0:], run.options.Seed)
	binary.BigEndian.PutUint64(key[8:], flow)
	binary.BigEndian.PutUint32(key[16:], count)
	key[20] = purpose
	return xxhash.Sum64(key[:])
}

// The purposes of draws.
const (
	drawBalancer byte = iota
	drawGap
	drawService
	drawDelay
)

// exponential maps a random number to an exponentially distributed duration with the given mean in
// seconds.
func exponential(number uint64, mean float64) time.Duration {
	return time.Duration(-math.Log(1-uniform(number)) * mean * float64(time.Second))
}

// portsPerAddress is the number of five-tuples that share a caller's address.
const portsPerAddress = 1 << 14

// attemptsPerFlow is the number of five-tuples that the connections of one flow use in turn.
const attemptsPerFlow = 8

// tupleOf returns the five-tuple of a connection of a flow. All five-tuples have the protocol of
// the one service, TCP; whether a flow is QUIC is part of its plan.
func tupleOf(flow uint64, attempt uint32) model.FiveTuple {
	serial := flow*attemptsPerFlow + uint64(attempt%attemptsPerFlow)
	caller := serial / portsPerAddress
	address := netip.AddrFrom4([4]byte{127, 1, byte(caller >> 8), byte(caller)})
	return model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.AddrPortFrom(address, uint16(1024+serial%portsPerAddress)),
		Destination: serviceAddress,
	}
}
