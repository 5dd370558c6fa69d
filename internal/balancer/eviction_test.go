package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/steering"
)

// evictionFlows is the number of established flows in each eviction run.
const evictionFlows = 20_000

// evictionRun sends packets of established flows and of a flood of new flows through
// one balancer, with a flow cache of a given size, to the agents of a simulatedService.
type evictionRun struct {
	service *simulatedService
	router  *Router
	index   *Index
	random  *rand.Rand
	// owners holds the owner of each established flow.
	owners []model.TargetID
	// floodFlows is the number of flows that the flood has opened so far.
	floodFlows int
}

// evictionConfiguration returns the test configuration with rate limits on new flows that
// are too high to be reached, because these tests are about the cache.
func evictionConfiguration() *model.Configuration {
	configuration := testConfiguration()
	service := configuration.Services[quicService]
	service.Limits.NewFlowsPerSecond = 1e9
	service.Limits.NewFlowBurst = 1 << 30
	service.Limits.MaximumConnections = evictionFlows / 2
	configuration.Services[quicService] = service
	return configuration
}

// newEvictionRun opens the established flows. If afterDrain is set, a target then
// drains, so that chains have earlier targets.
func newEvictionRun(t testing.TB, cacheFlows int, afterDrain bool) *evictionRun {
	t.Helper()
	configuration := evictionConfiguration()
	limits := NewLimits(0)
	run := &evictionRun{
		service: newSimulatedService(configuration),
		router:  NewRouter(flow.NewCache(cacheFlows), limits),
		index:   newIndex(startTime, configuration, nil, limits),
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	run.service.now = startTime.Add(2 * flow.DefaultAssignmentLifetime)
	for number := range evictionFlows {
		owner, _ := run.send(t, benchmarkSource(number), quicInitial)
		require.NotZero(t, owner)
		run.owners = append(run.owners, owner)
	}
	if afterDrain {
		run.drain(configuration)
	}
	return run
}

// drain drains the first target, which moves its buckets to others, and advances the
// agents and the balancer to the new configuration.
func (run *evictionRun) drain(configuration *model.Configuration) {
	targets := configuration.ServiceTargets(quicService)
	after := configurationAfterDrain(configuration, targets[0].ID)
	after.Services = configuration.Services
	for _, target := range targets {
		run.service.advance(after, target.ID)
	}
	run.index = newIndex(startTime, after, run.index, run.router.limits)
}

// send routes one packet and follows it to its owner, gives the agent's hint to the
// balancer, and returns the owner and the number of passes, which are hops from agent
// to agent.
func (run *evictionRun) send(t testing.TB, source netip.AddrPort, payload []byte) (owner model.TargetID, passes int) {
	t.Helper()
	// Enough time for the limiters of new flows to always have tokens.
	run.service.now = run.service.now.Add(100 * time.Microsecond)
	encapsulated := ingressPacket(model.ProtocolUDP, quicAddress, payload)
	encapsulated.Flow.Source = source
	_, verdict := run.router.Route(run.service.now, run.index, encapsulated)
	require.Equal(t, VerdictForward, verdict)
	owner, decision, passes := run.service.deliverCountingPasses(encapsulated)
	if decision.Action == steering.ActionDeliver && decision.Hint {
		hint := &packet.Encapsulated{Kind: packet.KindHint, Service: quicService, Opening: encapsulated.Opening, Owner: owner, Flow: encapsulated.Flow}
		agent := run.index.targets[owner].agent.Addr()
		require.Equal(t, VerdictHint, run.router.Hint(run.index, agent, hint))
	}
	return owner, passes
}

// warmCache sends a packet of each established flow, so that the cache learns its owner.
func (run *evictionRun) warmCache(t testing.TB) {
	t.Helper()
	for number := range run.owners {
		run.send(t, benchmarkSource(number), quicShort)
	}
}

// sendFlood opens a new flow and closes it at once, so that the flood does not change
// the targets' load.
func (run *evictionRun) sendFlood(t testing.TB) {
	t.Helper()
	run.floodFlows++
	source := benchmarkSource(evictionFlows + run.floodFlows)
	owner, _ := run.send(t, source, quicInitial)
	require.NotZero(t, owner)
	tuple := model.FiveTuple{Protocol: model.ProtocolQUIC, Source: source, Destination: quicAddress}
	table := run.service.stores[owner].Current().Buckets[quicService]
	bucket := routing.BucketOf(routing.FlowHash(tuple), table.Count())
	require.True(t, run.service.ownedFlows[owner].Close(bucket, tuple))
}

// sendEstablished sends count packets of random established flows, each after
// floodPerPacket opening packets of the flood, and returns the mean number of passes
// of an established flow's packet.
func (run *evictionRun) sendEstablished(t testing.TB, count, floodPerPacket int) float64 {
	t.Helper()
	passes := 0
	for range count {
		for range floodPerPacket {
			run.sendFlood(t)
		}
		number := run.random.IntN(evictionFlows)
		owner, packetPasses := run.send(t, benchmarkSource(number), quicShort)
		require.Equal(t, run.owners[number], owner, "flow %d changed its owner", number)
		passes += packetPasses
	}
	return float64(passes) / float64(count)
}

// A cache that is too small, or that a flood fills with other flows, costs extra passes
// between agents but breaks no flow. The mean stays below one pass per packet while each
// chain has two targets, and below two with one earlier target.
func TestEvictionBreaksNoFlow(t *testing.T) {
	cases := []struct {
		name           string
		cacheFlows     int
		afterDrain     bool
		floodPerPacket int
		bound          float64
	}{
		{"tiny cache", 1, false, 0, 1},
		{"tiny cache after a drain", 1, true, 0, 2},
		{"flood", evictionFlows / 10, false, 3, 1},
		{"flood after a drain", evictionFlows / 10, true, 3, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			run := newEvictionRun(t, test.cacheFlows, test.afterDrain)
			require.Less(t, run.sendEstablished(t, 5000, test.floodPerPacket), test.bound)
			require.LessOrEqual(t, run.router.cache.Len(), run.router.cache.Capacity())
		})
	}
}

// A flood of opening packets, here without rate limits, evicts no established flows from
// the cache: it adds less than 0.02 to the mean passes of an established flow's packet.
func TestFloodOfOpeningPacketsDoesNotEvictEstablishedFlows(t *testing.T) {
	const packets = 5000
	undisturbed := newEvictionRun(t, evictionFlows, true)
	undisturbed.warmCache(t)
	flooded := newEvictionRun(t, evictionFlows, true)
	flooded.warmCache(t)
	withoutFlood := undisturbed.sendEstablished(t, packets, 0)
	require.Less(t, flooded.sendEstablished(t, packets, 10), withoutFlood+0.02)
}

// BenchmarkEviction reports "passes/packet", the mean number of passes between agents
// for a packet of an established flow. It varies the cache size in percent of the flows,
// with chains before and after a drain, without a flood and with ten opening packets of
// new five-tuples for each established packet. The first packet of each flow, which fills
// the cache, is not counted. The figures are the same in every run.
func BenchmarkEviction(b *testing.B) {
	for _, afterDrain := range []bool{false, true} {
		for _, percent := range []int{1, 10, 25, 50, 100, 200} {
			for _, floodPerPacket := range []int{0, 10} {
				name := fmt.Sprintf("moved=%t/cache=%d%%/floods=%d", afterDrain, percent, floodPerPacket)
				b.Run(name, func(b *testing.B) { benchmarkEviction(b, evictionFlows*percent/100, afterDrain, floodPerPacket) })
			}
		}
	}
}

func benchmarkEviction(b *testing.B, cacheFlows int, afterDrain bool, floodPerPacket int) {
	const packets = 2 * evictionFlows
	passes := 0.0
	for b.Loop() {
		run := newEvictionRun(b, cacheFlows, afterDrain)
		run.warmCache(b)
		passes = run.sendEstablished(b, packets, floodPerPacket)
	}
	b.ReportMetric(passes, "passes/packet")
	b.ReportMetric(0, "ns/op")
}
