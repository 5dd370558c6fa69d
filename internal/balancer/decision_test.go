package balancer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
)

func TestRoute(t *testing.T) {
	segment := func(flags byte) []byte {
		header := make([]byte, 20)
		header[13] = flags
		return header
	}
	const syn, ack = 0x02, 0x10
	cases := []struct {
		name        string
		protocol    model.Protocol
		destination netip.AddrPort
		payload     []byte
		verdict     Verdict
		service     model.ServiceID
		flow        model.Protocol
		opening     bool
	}{
		{"QUIC Initial", model.ProtocolUDP, quicAddress, quicInitial, VerdictForward, quicService, model.ProtocolQUIC, true},
		{"QUIC short header", model.ProtocolUDP, quicAddress, quicShort, VerdictForward, quicService, model.ProtocolQUIC, false},
		{"plain UDP", model.ProtocolUDP, udpAddress, quicShort, VerdictForward, udpService, model.ProtocolUDP, true},
		{"TCP SYN at the address of the QUIC service", model.ProtocolTCP, tcpAddress, segment(syn), VerdictForward, tcpService, model.ProtocolTCP, true},
		{"TCP ACK", model.ProtocolTCP, tcpAddress, segment(ack), VerdictForward, tcpService, model.ProtocolTCP, false},
		{"TCP to a UDP service", model.ProtocolTCP, udpAddress, segment(syn), VerdictUnknownService, 0, 0, false},
		{"unknown port", model.ProtocolUDP, netip.AddrPortFrom(quicAddress.Addr(), 444), quicInitial, VerdictUnknownService, 0, 0, false},
		{"unknown address", model.ProtocolUDP, netip.MustParseAddrPort("[2001:db8::1]:443"), quicInitial, VerdictUnknownService, 0, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router, limits := newTestRouter(0)
			configuration := testConfiguration()
			index := newIndex(startTime, configuration, nil, limits)
			encapsulated := ingressPacket(test.protocol, test.destination, test.payload)
			target, verdict := router.Route(startTime, index, encapsulated)
			require.Equal(t, test.verdict, verdict)
			if verdict != VerdictForward {
				return
			}
			row := rowOf(t, configuration, test.service)
			require.Equal(t, configuration.Targets[row.Head].Agent, target.agent)
			require.Equal(t, packet.KindForward, encapsulated.Kind)
			require.Equal(t, test.service, encapsulated.Service)
			require.Equal(t, model.Revision(5), encapsulated.Revision)
			require.Equal(t, routing.Chain(row), encapsulated.Chain)
			require.Zero(t, encapsulated.Position)
			require.Equal(t, test.opening, encapsulated.Opening)
			require.Equal(t, test.flow, encapsulated.Flow.Protocol)
		})
	}
}

// The chain in a packet is always the complete row. The flow cache and the targets'
// phases affect only the position at which the packet enters it.
func TestRouteChoosesThePositionInTheChain(t *testing.T) {
	const targetOutsideChain model.TargetID = 99
	cases := []struct {
		name string
		// cached is the position of the cached owner in the chain, or -1.
		cached int
		owner  model.TargetID
		phases map[int]model.TargetPhase
		remove []int
		want   int
	}{
		{"nothing cached", -1, 0, nil, nil, 0},
		{"alternate cached", 1, 0, nil, nil, 1},
		{"earlier target cached", 2, 0, nil, nil, 2},
		{"cached owner drains", 2, 0, map[int]model.TargetPhase{2: model.PhaseDraining}, nil, 2},
		{"cached owner not in the chain", -1, targetOutsideChain, nil, nil, 0},
		{"head drains", -1, 0, map[int]model.TargetPhase{0: model.PhaseDraining}, nil, 0},
		{"head dead", -1, 0, map[int]model.TargetPhase{0: model.PhaseDead}, nil, 1},
		{"head unknown", -1, 0, nil, []int{0}, 1},
		{"head and alternate dead", -1, 0, map[int]model.TargetPhase{0: model.PhaseDead, 1: model.PhaseDead}, nil, 2},
		{"cached owner dead", 1, 0, map[int]model.TargetPhase{1: model.PhaseDead}, nil, 2},
		{"last cached owner dead", 2, 0, map[int]model.TargetPhase{2: model.PhaseDead}, nil, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router, limits := newTestRouter(0)
			configuration := testConfiguration()
			row := addEarlierTarget(t, configuration)
			chain := routing.Chain(row)
			for position, phase := range test.phases {
				target := configuration.Targets[chain[position]]
				target.Phase = phase
				configuration.Targets[chain[position]] = target
			}
			for _, position := range test.remove {
				delete(configuration.Targets, chain[position])
			}
			index := newIndex(startTime, configuration, nil, limits)
			encapsulated := ingressPacket(model.ProtocolUDP, quicAddress, quicShort)
			owner := test.owner
			if test.cached >= 0 {
				owner = chain[test.cached]
			}
			cachedFlow := encapsulated.Flow
			cachedFlow.Protocol = model.ProtocolQUIC
			router.cache.Insert(routing.FlowHash(cachedFlow), cachedFlow, owner)
			target, verdict := router.Route(startTime, index, encapsulated)
			require.Equal(t, VerdictForward, verdict)
			require.Equal(t, chain, encapsulated.Chain)
			require.Equal(t, test.want, int(encapsulated.Position))
			require.Equal(t, configuration.Targets[chain[test.want]].Agent, target.agent)
		})
	}
}

// addEarlierTarget adds an earlier target to the row of the test's QUIC flow, and
// returns the row.
func addEarlierTarget(t *testing.T, configuration *model.Configuration) model.Bucket {
	t.Helper()
	row := rowOf(t, configuration, quicService)
	for _, target := range configuration.ServiceTargets(quicService) {
		if target.ID != row.Head && target.ID != row.Alternate {
			row.Earlier = []model.EarlierTarget{{Target: target.ID, MovedAt: 4}}
			break
		}
	}
	table := configuration.Buckets[quicService].Clone()
	table.Set(row)
	configuration.Buckets[quicService] = table
	return row
}

// A bucket table that names a target of another service must not cause a packet to be
// sent to it. No committed change produces such a table.
func TestRouteNeverChoosesATargetOfAnotherService(t *testing.T) {
	const foreign model.TargetID = 21
	cases := []struct {
		name    string
		row     model.Bucket
		verdict Verdict
		want    model.TargetID
	}{
		{"foreign head", model.Bucket{Head: foreign, Alternate: 12}, VerdictForward, 12},
		{"foreign alternate", model.Bucket{Head: 12, Alternate: foreign}, VerdictForward, 12},
		{"only foreign targets", model.Bucket{Head: foreign, Alternate: 31}, VerdictNoTarget, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router, limits := newTestRouter(0)
			configuration := testConfiguration()
			row := test.row
			row.Index = rowOf(t, configuration, quicService).Index
			table := configuration.Buckets[quicService].Clone()
			table.Set(row)
			configuration.Buckets[quicService] = table
			index := newIndex(startTime, configuration, nil, limits)
			encapsulated := ingressPacket(model.ProtocolUDP, quicAddress, quicInitial)
			cachedFlow := encapsulated.Flow
			cachedFlow.Protocol = model.ProtocolQUIC
			router.cache.Insert(routing.FlowHash(cachedFlow), cachedFlow, foreign)
			target, verdict := router.Route(startTime, index, encapsulated)
			require.Equal(t, test.verdict, verdict)
			if verdict == VerdictForward {
				require.Equal(t, configuration.Targets[test.want].Agent, target.agent)
			}
		})
	}
}

func TestRouteWithoutAnyTarget(t *testing.T) {
	router, limits := newTestRouter(0)
	configuration := testConfiguration()
	for id, target := range configuration.Targets {
		target.Phase = model.PhaseDead
		configuration.Targets[id] = target
	}
	index := newIndex(startTime, configuration, nil, limits)
	_, verdict := router.Route(startTime, index, ingressPacket(model.ProtocolUDP, quicAddress, quicInitial))
	require.Equal(t, VerdictNoTarget, verdict)
}

func TestHints(t *testing.T) {
	agentOf := func(target model.TargetID) netip.Addr { return testConfiguration().Targets[target].Agent.Addr() }
	const quicTarget, udpTarget model.TargetID = 12, 21
	cases := []struct {
		name        string
		destination netip.AddrPort
		service     model.ServiceID
		owner       model.TargetID
		sender      netip.Addr
		verdict     Verdict
	}{
		{"owner of the flow's service", quicAddress, quicService, quicTarget, agentOf(quicTarget), VerdictHint},
		{"target of another service", quicAddress, quicService, udpTarget, agentOf(udpTarget), VerdictHintForeignTarget},
		{"unknown target", quicAddress, quicService, 999, agentOf(quicTarget), VerdictHintForeignTarget},
		{"service that left the address", quicAddress, 77, quicTarget, agentOf(quicTarget), VerdictHintUnknownService},
		{"service of another address", udpAddress, quicService, quicTarget, agentOf(quicTarget), VerdictHintUnknownService},
		{"unknown destination", caller, quicService, quicTarget, agentOf(quicTarget), VerdictHintUnknownService},
		{"another machine", quicAddress, quicService, quicTarget, agentOf(udpTarget), VerdictHintForeignSender},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router, limits := newTestRouter(0)
			index := newIndex(startTime, testConfiguration(), nil, limits)
			hint := ingressPacket(model.ProtocolUDP, test.destination, nil)
			hint.Kind, hint.Service, hint.Owner = packet.KindHint, test.service, test.owner
			require.Equal(t, test.verdict, router.Hint(index, test.sender, hint))
			want := 0
			if test.verdict == VerdictHint {
				want = 1
			}
			require.Equal(t, want, router.cache.Len())
		})
	}
}

func TestHintIsUsedForTheNextPacket(t *testing.T) {
	router, limits := newTestRouter(0)
	configuration := testConfiguration()
	row := rowOf(t, configuration, quicService)
	index := newIndex(startTime, configuration, nil, limits)
	hint := ingressPacket(model.ProtocolQUIC, quicAddress, nil)
	hint.Kind, hint.Service, hint.Owner = packet.KindHint, quicService, row.Alternate
	require.Equal(t, VerdictHint, router.Hint(index, configuration.Targets[row.Alternate].Agent.Addr(), hint))
	target, verdict := router.Route(startTime, index, ingressPacket(model.ProtocolUDP, quicAddress, quicShort))
	require.Equal(t, VerdictForward, verdict)
	require.Equal(t, configuration.Targets[row.Alternate].Agent, target.agent)
}

// Packets of cached flows, opening packets, and hints about new flows are all handled
// without allocation while the cache holds benchmarkFlows flows.
func TestPacketPathDoesNotAllocate(t *testing.T) {
	router, index := filledRouter(t)
	agent := testConfiguration().Targets[12].Agent.Addr()
	encapsulated := newBenchmarkPacket()
	number := 0
	send := func(payload []byte) {
		number++
		encapsulated.Flow.Protocol = model.ProtocolUDP
		encapsulated.Flow.Source = benchmarkSource(number)
		encapsulated.Payload = payload
		_, verdict := router.Route(startTime, index, encapsulated)
		require.Equal(t, VerdictForward, verdict)
	}
	hint := ingressPacket(model.ProtocolQUIC, quicAddress, nil)
	hint.Service, hint.Owner = quicService, 12
	require.Zero(t, testing.AllocsPerRun(1000, func() { send(quicShort) }), "cached flow")
	number = benchmarkFlows
	require.Zero(t, testing.AllocsPerRun(1000, func() { send(quicInitial) }), "new flow")
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		number++
		hint.Flow.Source = benchmarkSource(number)
		require.Equal(t, VerdictHint, router.Hint(index, agent, hint))
	}), "hint")
}
