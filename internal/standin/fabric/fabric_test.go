package fabric

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditionTimeout bounds waits for a condition. It is not a performance requirement.
const conditionTimeout = 20 * time.Second

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// openSocket opens a UDP socket on a free loopback port until the test ends.
func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := listen(loopback)
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(conditionTimeout)))
	return socket
}

func receive(t *testing.T, socket *net.UDPConn) ([]byte, netip.AddrPort) {
	t.Helper()
	buffer := make([]byte, receiveBufferBytes)
	length, source, err := socket.ReadFromUDPAddrPort(buffer)
	require.NoError(t, err)
	return buffer[:length], netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
}

func listedBalancer(name string, socket *net.UDPConn, state platform.State) platform.Machine {
	return platform.Machine{Name: name, Role: balancerRole, Zone: "zone-1", Address: boundAddress(socket).String(), State: state}
}

// startFabric runs a fabric with one virtual address until the test ends.
func startFabric(t *testing.T, machines ...platform.Machine) *Fabric {
	t.Helper()
	list := NewMachines()
	list.Replace(machines)
	fabric, err := New(Options{
		Addresses: []netip.AddrPort{loopback}, Geneve: loopback, Seed: 1,
		Latencies: []settings.Latency{{From: CallerZone, To: "far", Delay: 5 * time.Millisecond}},
		Machines:  list, Registry: prometheus.NewRegistry(),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fabric.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return fabric
}

// hasDropped returns a condition that holds once the fabric has dropped a packet for reason.
func (fabric *Fabric) hasDropped(t *testing.T, reason dropReason) func() bool {
	t.Helper()
	return func() bool { return testutil.ToFloat64(fabric.metrics.dropped[reason]) >= 1 }
}

func TestDatagramReachesABalancerWithItsHeaders(t *testing.T) {
	for _, zone := range []string{"zone-1", "far"} {
		t.Run(zone, func(t *testing.T) {
			balancer, caller := openSocket(t), openSocket(t)
			listed := listedBalancer("b1", balancer, platform.StateLive)
			listed.Zone = zone
			fabric := startFabric(t, listed)
			_, err := caller.WriteToUDPAddrPort([]byte("payout"), fabric.Addresses()[0])
			require.NoError(t, err)
			data, source := receive(t, balancer)
			require.Equal(t, fabric.Geneve(), source)
			decoded, err := packet.Decode(data)
			require.NoError(t, err)
			require.Equal(t, packet.KindIngress, decoded.Kind)
			require.Equal(t, "payout", string(decoded.Payload))
			require.Equal(t, model.FiveTuple{
				Protocol: model.ProtocolUDP, Source: boundAddress(caller), Destination: fabric.Addresses()[0],
			}, decoded.Flow)
		})
	}
}

func TestAnswerLeavesByTheVirtualAddress(t *testing.T) {
	fabric := startFabric(t)
	agent, caller := openSocket(t), openSocket(t)
	flow := model.FiveTuple{Source: fabric.Addresses()[0], Destination: boundAddress(caller)}
	data, err := packet.Encode(packet.Encapsulated{Kind: packet.KindReturn, Inner: packet.BuildInnerUDP(flow, []byte("paid"))})
	require.NoError(t, err)
	_, err = agent.WriteToUDPAddrPort(data, fabric.Geneve())
	require.NoError(t, err)
	answer, source := receive(t, caller)
	require.Equal(t, "paid", string(answer))
	require.Equal(t, fabric.Addresses()[0], source)
}

func TestPacketsAreSprayedOverLiveBalancersOnly(t *testing.T) {
	first, second, leaving, caller := openSocket(t), openSocket(t), openSocket(t), openSocket(t)
	fabric := startFabric(t,
		listedBalancer("b1", first, platform.StateLive),
		listedBalancer("b2", second, platform.StateLive),
		listedBalancer("b3", leaving, platform.StateLeaving),
		platform.Machine{Name: "a1", Role: "agent", Address: boundAddress(leaving).String(), State: platform.StateLive},
	)
	const packets = 64
	for index := range packets {
		_, err := caller.WriteToUDPAddrPort(fmt.Append(nil, index), fabric.Addresses()[0])
		require.NoError(t, err)
	}
	arrivals := make(chan int, packets)
	for index, socket := range []*net.UDPConn{first, second} {
		go func() {
			buffer := make([]byte, receiveBufferBytes)
			for {
				if _, _, err := socket.ReadFromUDPAddrPort(buffer); err != nil {
					return
				}
				arrivals <- index
			}
		}()
	}
	counts := [2]int{}
	for range packets {
		select {
		case index := <-arrivals:
			counts[index]++
		case <-time.After(conditionTimeout):
			t.Fatalf("received only %v of %d packets", counts, packets)
		}
	}
	require.Greater(t, counts[0], packets/5)
	require.Greater(t, counts[1], packets/5)
}

func TestDroppedPackets(t *testing.T) {
	flow := model.FiveTuple{Source: netip.MustParseAddrPort("127.9.9.9:1"), Destination: loopback}
	inner := packet.BuildInnerUDP(flow, nil)
	encode := func(t *testing.T, kind packet.Kind) []byte {
		data, err := packet.Encode(packet.Encapsulated{Kind: kind, Inner: inner})
		require.NoError(t, err)
		return data
	}
	cases := []struct {
		name    string
		virtual bool
		data    func(t *testing.T) []byte
		reason  dropReason
	}{
		{"no live balancer", true, func(*testing.T) []byte { return []byte("x") }, dropNoBalancer},
		{"not Geneve", false, func(*testing.T) []byte { return []byte("x") }, dropMalformed},
		{"not a return packet", false, func(t *testing.T) []byte { return encode(t, packet.KindIngress) }, dropUnexpectedKind},
		{"answer from an unknown virtual address", false, func(t *testing.T) []byte { return encode(t, packet.KindReturn) }, dropUnknownAddress},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fabric, sender := startFabric(t), openSocket(t)
			destination := fabric.Geneve()
			if test.virtual {
				destination = fabric.Addresses()[0]
			}
			_, err := sender.WriteToUDPAddrPort(test.data(t), destination)
			require.NoError(t, err)
			require.Eventually(t, fabric.hasDropped(t, test.reason), conditionTimeout, time.Millisecond)
		})
	}
}

func TestTooLargeDatagramIsDropped(t *testing.T) {
	balancer, caller := openSocket(t), openSocket(t)
	fabric := startFabric(t, listedBalancer("b1", balancer, platform.StateLive))
	_, err := caller.WriteToUDPAddrPort(make([]byte, packet.MaximumPayload+1), fabric.Addresses()[0])
	require.NoError(t, err)
	require.Eventually(t, fabric.hasDropped(t, dropTooLarge), conditionTimeout, time.Millisecond)
}

func TestNewErrors(t *testing.T) {
	taken := openSocket(t)
	cases := []struct {
		name    string
		options Options
		code    faults.Code
	}{
		{"no virtual address", Options{Geneve: loopback}, faults.FabricSettingsIncomplete},
		{"Geneve address taken", Options{Addresses: []netip.AddrPort{loopback}, Geneve: boundAddress(taken)}, faults.PacketSocket},
		{"virtual address taken", Options{Addresses: []netip.AddrPort{boundAddress(taken)}, Geneve: loopback}, faults.PacketSocket},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.options.Machines = NewMachines()
			test.options.Registry = prometheus.NewRegistry()
			_, err := New(test.options)
			require.Equal(t, test.code, faults.CodeOf(err), "%v", err)
		})
	}
}
