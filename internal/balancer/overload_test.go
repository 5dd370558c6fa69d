package balancer

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/rollout"
)

// All workers read the same cumulative count of the socket, at different moments. Each
// lost datagram must be counted once, also when the 32-bit count wraps around.
func TestLostDatagramsAreCountedOnceForAllWorkers(t *testing.T) {
	cases := []struct {
		name string
		seen []uint32
		want float64
	}{
		{"none", []uint32{0, 0}, 0},
		{"two workers read the same count", []uint32{3, 3, 7, 7}, 7},
		{"a worker reports an older count", []uint32{8, 5, 9}, 9},
		{"the count wraps around", []uint32{math.MaxInt32, math.MaxUint32 - 1, 4}, math.MaxUint32 + 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			counters := newMetrics(prometheus.NewRegistry(), flow.NewCache(1))
			for _, seen := range test.seen {
				counters.countLost(seen)
			}
			require.Equal(t, test.want, testutil.ToFloat64(counters.lostDatagrams))
		})
	}
}

// ingressDatagram returns the datagram that the fabric sends for a packet of an
// established flow.
func ingressDatagram(t *testing.T, source netip.AddrPort) []byte {
	t.Helper()
	tuple := model.FiveTuple{Source: source, Destination: quicAddress}
	data, err := packet.Encode(packet.Encapsulated{Kind: packet.KindIngress, Inner: packet.BuildInnerUDP(tuple, quicShort)})
	require.NoError(t, err)
	return data
}

// A balancer that is not scheduled in time loses packets because its receive buffer is
// full. It must count each lost packet and forward the others.
func TestBalancerCountsDatagramsLostByItsSocket(t *testing.T) {
	agent, sender := openSocket(t), openSocket(t)
	defer agent.Close()
	defer sender.Close()
	store := rollout.NewStore()
	store.Advance(configurationWithAgent(socketAddress(agent)))
	created, err := New(Options{
		Packets: freePort, CacheFlows: 1000, Workers: 2, Configurations: store,
		Readiness: process.NewReadiness(), Registry: prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	created.Controller().Reconcile(time.Now())
	require.NoError(t, created.socket.SetReadBuffer(8<<10))
	sent := 0
	send := func() {
		_, err := sender.WriteToUDPAddrPort(ingressDatagram(t, caller), created.Address())
		require.NoError(t, err)
		sent++
	}
	for range 400 {
		send()
	}
	runUntilEnd(t, created.Run)
	accounted := func() float64 {
		return testutil.ToFloat64(created.metrics.lostDatagrams) + testutil.ToFloat64(created.metrics.verdicts[VerdictForward])
	}
	// The kernel reports the loss with the next datagram that it queues, so keep sending.
	require.Eventually(t, func() bool {
		if testutil.ToFloat64(created.metrics.lostDatagrams) > 0 && accounted() == float64(sent) {
			return true
		}
		send()
		return false
	}, conditionTimeout, time.Millisecond)
}

// configurationWithAgent returns the test configuration with the given agent address
// for all targets of the QUIC service.
func configurationWithAgent(agent netip.AddrPort) *model.Configuration {
	configuration := testConfiguration()
	for _, target := range configuration.ServiceTargets(quicService) {
		target.Agent = agent
		configuration.Targets[target.ID] = target
	}
	return configuration
}

// A target whose agent has closed its port, or does not read from its socket, must not
// delay packets to other targets.
func TestUnresponsiveTargetDoesNotDelayOtherTargets(t *testing.T) {
	cases := []struct {
		name     string
		isClosed bool
	}{
		{"port closed", true},
		{"receive buffer full", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			unresponsive, agent, sender := openSocket(t), openSocket(t), openSocket(t)
			defer unresponsive.Close()
			defer agent.Close()
			defer sender.Close()
			require.NoError(t, unresponsive.SetReadBuffer(4<<10))
			configuration := configurationWithAgent(socketAddress(unresponsive))
			if test.isClosed {
				require.NoError(t, unresponsive.Close())
			}
			address := netip.MustParseAddrPort("127.1.0.3:443")
			addService(configuration, 9, model.ProtocolUDP, address, 1)
			target := configuration.Targets[90]
			target.Agent = socketAddress(agent)
			configuration.Targets[90] = target
			balancer := startBalancer(t, configuration)
			other, err := packet.Encode(packet.Encapsulated{Kind: packet.KindIngress, Inner: packet.BuildInnerUDP(
				model.FiveTuple{Source: caller, Destination: address}, nil)})
			require.NoError(t, err)
			buffer := make([]byte, receiveBufferBytes)
			require.NoError(t, agent.SetReadDeadline(time.Now().Add(conditionTimeout)))
			const rounds = 20
			for range rounds {
				for number := range 10 {
					_, err := sender.WriteToUDPAddrPort(ingressDatagram(t, benchmarkSource(number)), balancer.Address())
					require.NoError(t, err)
				}
				_, err := sender.WriteToUDPAddrPort(other, balancer.Address())
				require.NoError(t, err)
				_, _, err = agent.ReadFromUDPAddrPort(buffer)
				require.NoError(t, err, "the other service's packet did not arrive")
			}
			require.Eventually(t, func() bool {
				return balancer.counted(VerdictForward)+balancer.counted(VerdictSendFailed) == 11*rounds
			}, conditionTimeout, time.Millisecond)
		})
	}
}
