package balancer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditionTimeout limits the wait for a condition, so that a test that fails ends.
// No test depends on its length.
const conditionTimeout = 20 * time.Second

// receiveBufferBytes is the largest datagram over loopback, in bytes.
const receiveBufferBytes = 1 << 16

const (
	quicService model.ServiceID = 1
	udpService  model.ServiceID = 2
	tcpService  model.ServiceID = 3
)

var (
	quicAddress = netip.MustParseAddrPort("127.1.0.1:443")
	udpAddress  = netip.MustParseAddrPort("127.1.0.2:443")
	tcpAddress  = quicAddress
	caller      = netip.MustParseAddrPort("127.2.0.1:5000")
	startTime   = time.Unix(1_000_000, 0)
)

// addService adds a service with serving targets, whose IDs count up from 10 times
// the service's ID and whose agents are at 127.0.SERVICE.TARGET:6081.
func addService(configuration *model.Configuration, id model.ServiceID, protocol model.Protocol, address netip.AddrPort, targets int) {
	configuration.Services[id] = model.Service{
		ID: id, Tenant: "riga", Name: fmt.Sprintf("service-%d", id), Protocol: protocol, Address: address,
	}
	for offset := range targets {
		target := model.TargetID(10*uint32(id) + uint32(offset))
		configuration.Targets[target] = model.Target{
			ID: target, Service: id, Phase: model.PhaseServing,
			Agent: netip.MustParseAddrPort(fmt.Sprintf("127.0.%d.%d:6081", id, target)),
		}
	}
	configuration.Buckets[id] = routing.NewTable(id, configuration.ServiceTargets(id), configuration.Revision)
}

// testConfiguration returns a configuration at revision 5 with a QUIC and a TCP
// service at one address and a UDP service, with four targets each.
func testConfiguration() *model.Configuration {
	configuration := model.NewConfiguration()
	configuration.Revision = 5
	addService(configuration, quicService, model.ProtocolQUIC, quicAddress, 4)
	addService(configuration, udpService, model.ProtocolUDP, udpAddress, 4)
	addService(configuration, tcpService, model.ProtocolTCP, tcpAddress, 4)
	return configuration
}

// newTestRouter returns a router with an empty cache for 1000 flows, and its limits.
func newTestRouter(openingsPerSource float64) (*Router, *Limits) {
	limits := NewLimits(openingsPerSource)
	return NewRouter(flow.NewCache(1000), limits), limits
}

// quicInitial is the start of a QUIC version 1 Initial packet, quicShort the start of
// a packet with a short header.
var (
	quicInitial = []byte{0xc3, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8}
	quicShort   = []byte{0x43, 1, 2, 3, 4, 5, 6, 7, 8}
)

// ingressPacket returns a packet as decoded from the fabric, sent by caller.
func ingressPacket(protocol model.Protocol, destination netip.AddrPort, payload []byte) *packet.Encapsulated {
	return &packet.Encapsulated{
		Kind:    packet.KindIngress,
		Flow:    model.FiveTuple{Protocol: protocol, Source: caller, Destination: destination},
		Payload: payload,
	}
}

// rowOf returns the bucket of the flow from caller to a service.
func rowOf(t testing.TB, configuration *model.Configuration, service model.ServiceID) model.Bucket {
	t.Helper()
	definition, exists := configuration.Services[service]
	require.True(t, exists)
	table := configuration.Buckets[service]
	flow := model.FiveTuple{Protocol: definition.Protocol, Source: caller, Destination: definition.Address}
	return table.Bucket(routing.BucketOf(routing.FlowHash(flow), table.Count()))
}
