package balancer

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

func TestOpeningLimits(t *testing.T) {
	const perSource = 10
	cases := []struct {
		name        string
		protocol    model.Protocol
		destination netip.AddrPort
		payload     []byte
		// newFlows is the service's limit of new flows per second for each target;
		// zero means the default.
		newFlows float64
		sources  int
		packets  int
		allowed  int
		verdict  Verdict
	}{
		{"one source floods with Initials", model.ProtocolUDP, quicAddress, quicInitial, 0, 1, 40, perSource, VerdictSourceLimit},
		{"established packets have no limit", model.ProtocolUDP, quicAddress, quicShort, 1, 1, 400, 400, VerdictForward},
		{"plain UDP has no limit", model.ProtocolUDP, udpAddress, quicInitial, 1, 1, 400, 400, VerdictForward},
		// 16: four targets with one flow per second each, and four packets per flow.
		{"many sources flood one service", model.ProtocolUDP, quicAddress, quicInitial, 1, 100, 100, 16, VerdictServiceLimit},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router, limits := newTestRouter(perSource)
			configuration := testConfiguration()
			for id, service := range configuration.Services {
				service.Limits.NewFlowsPerSecond = test.newFlows
				service.Limits.NewFlowBurst = int(test.newFlows)
				configuration.Services[id] = service
			}
			index := newIndex(startTime, configuration, nil, limits)
			allowed := 0
			for sequence := range test.packets {
				encapsulated := ingressPacket(test.protocol, test.destination, test.payload)
				encapsulated.Flow.Source = netip.AddrPortFrom(sourceAddress(sequence%test.sources), 7)
				_, verdict := router.Route(startTime, index, encapsulated)
				if verdict == VerdictForward {
					allowed++
					continue
				}
				require.Equal(t, test.verdict, verdict)
			}
			require.Equal(t, test.allowed, allowed)
		})
	}
}

// sourceAddress returns a distinct loopback address for each number.
func sourceAddress(number int) netip.Addr {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 0x7f030000+uint32(number))
	return netip.AddrFrom4(address)
}

func TestCachedFlowIsNotLimited(t *testing.T) {
	router, limits := newTestRouter(1)
	configuration := testConfiguration()
	index := newIndex(startTime, configuration, nil, limits)
	row := rowOf(t, configuration, quicService)
	hint := ingressPacket(model.ProtocolQUIC, quicAddress, nil)
	hint.Service, hint.Owner = quicService, row.Head
	require.Equal(t, VerdictHint, router.Hint(index, configuration.Targets[row.Head].Agent.Addr(), hint))
	for range 20 {
		_, verdict := router.Route(startTime, index, ingressPacket(model.ProtocolUDP, quicAddress, quicInitial))
		require.Equal(t, VerdictForward, verdict)
	}
}

// A source that has used up its limit must not cause other sources to be refused. A
// source shares both limiters with the busy one only by a hash collision in both rows,
// which none of these 5000 does.
func TestBusySourceDoesNotLimitQuietSources(t *testing.T) {
	limits := NewLimits(10)
	busy := sourceAddress(1 << 15)
	for range 1000 {
		limits.allowSource(startTime, busy)
	}
	require.False(t, limits.allowSource(startTime, busy))
	refused := 0
	for number := range 5000 {
		if !limits.allowSource(startTime, sourceAddress(number)) {
			refused++
		}
	}
	require.Zero(t, refused)
	require.True(t, limits.allowSource(startTime.Add(time.Second), busy), "tokens are refilled with time")
}

// A flood of one tenant's service, from more sources than there are limiters for
// sources, must not use up the limit of another tenant's service.
func TestFloodOfOneTenantDoesNotLimitOtherTenants(t *testing.T) {
	configuration := testConfiguration()
	for id, service := range configuration.Services {
		service.Tenant = model.TenantName(service.Name)
		service.Limits.NewFlowsPerSecond, service.Limits.NewFlowBurst = 1, 1
		configuration.Services[id] = service
	}
	router, limits := newTestRouter(0)
	index := newIndex(startTime, configuration, nil, limits)
	syn := make([]byte, 20)
	syn[13] = 0x02
	open := func(number int, protocol model.Protocol, destination netip.AddrPort, payload []byte) Verdict {
		encapsulated := ingressPacket(protocol, destination, payload)
		encapsulated.Flow.Source = netip.AddrPortFrom(sourceAddress(number), 7)
		_, verdict := router.Route(startTime, index, encapsulated)
		return verdict
	}
	for number := range 10_000 {
		open(number, model.ProtocolUDP, quicAddress, quicInitial)
	}
	require.Equal(t, VerdictServiceLimit, open(1, model.ProtocolUDP, quicAddress, quicInitial))
	require.Equal(t, VerdictForward, open(2, model.ProtocolUDP, quicAddress, quicShort), "established flows of the flooded service")
	for number := range 16 {
		require.Equal(t, VerdictForward, open(number, model.ProtocolTCP, tcpAddress, syn), "opening packet %d of another tenant", number)
	}
	require.Equal(t, VerdictServiceLimit, open(17, model.ProtocolTCP, tcpAddress, syn))
}

func TestConfigurationChangeKeepsTheServiceLimiter(t *testing.T) {
	limits := NewLimits(0)
	configuration := testConfiguration()
	first := newIndex(startTime, configuration, nil, limits)
	key := serviceKey{protocol: model.ProtocolUDP, destination: quicAddress}
	limiter := first.services[key].openings
	require.True(t, limiter.AllowN(startTime, limiter.Burst()))

	next := testConfiguration()
	next.Revision++
	service := next.Services[quicService]
	service.Limits.NewFlowsPerSecond = 1
	next.Services[quicService] = service
	second := newIndex(startTime, next, first, limits)
	require.Same(t, limiter, second.services[key].openings)
	require.False(t, limiter.AllowN(startTime, 1), "a configuration change refills no token bucket")
	require.EqualValues(t, 16, limiter.Limit())

	delete(next.Services, quicService)
	addService(next, 8, model.ProtocolQUIC, quicAddress, 1)
	third := newIndex(startTime, next, second, limits)
	require.NotSame(t, limiter, third.services[key].openings, "another service at the address gets its own limiter")
}
