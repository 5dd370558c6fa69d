package balancer

import (
	"bytes"
	"testing"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/packet"
	"merlinpaddle/internal/routing"
)

// FuzzForward checks that whatever datagram arrives, a packet that the balancer forwards
// has the caller's bytes unchanged, names the service at the destination address, has a
// chain that begins with the head of the flow's bucket, and goes to an agent of that
// service.
func FuzzForward(f *testing.F) {
	for _, flow := range []model.FiveTuple{
		{Source: caller, Destination: quicAddress},
		{Source: caller, Destination: udpAddress},
		{Source: caller, Destination: caller},
	} {
		for _, payload := range [][]byte{nil, quicInitial, quicShort} {
			inner := packet.BuildInnerUDP(flow, payload)
			for _, encapsulated := range []packet.Encapsulated{
				{Kind: packet.KindIngress, Inner: inner},
				{Kind: packet.KindHint, Service: quicService, Owner: 11, Flow: flow},
				{Kind: packet.KindForward, Service: quicService, Chain: []model.TargetID{11, 12}, Inner: inner},
			} {
				data, err := packet.Encode(encapsulated)
				if err != nil {
					f.Fatal(err)
				}
				f.Add(data)
			}
		}
	}
	configuration := testConfiguration()
	f.Fuzz(func(t *testing.T, data []byte) {
		router, limits := newTestRouter(0)
		index := newIndex(startTime, configuration, nil, limits)
		received, err := packet.Decode(data)
		if err != nil {
			return
		}
		if received.Kind == packet.KindHint {
			for _, target := range configuration.Targets {
				router.Hint(index, target.Agent.Addr(), &received)
			}
			return
		}
		inner, destination := bytes.Clone(received.Inner), received.Flow.Destination
		target, verdict := router.Route(startTime, index, &received)
		if verdict != VerdictForward {
			return
		}
		sent, err := packet.Encode(received)
		if err != nil {
			if faults.CodeOf(err) != faults.PacketTooLarge {
				t.Fatalf("routed packet does not encode: %v", err)
			}
			return
		}
		forwarded, err := packet.Decode(sent)
		if err != nil {
			t.Fatalf("forwarded packet does not decode: %v", err)
		}
		if !bytes.Equal(forwarded.Inner, inner) || forwarded.Flow.Destination != destination {
			t.Fatalf("the caller's packet changed from %x to %x", inner, forwarded.Inner)
		}
		checkForwarded(t, configuration, forwarded, target)
	})
}

// checkForwarded checks the service, the target and the head of the chain of a packet
// that was forwarded to target.
func checkForwarded(t *testing.T, configuration *model.Configuration, forwarded packet.Encapsulated, target *targetEntry) {
	t.Helper()
	service, known := configuration.Services[forwarded.Service]
	if !known || service.Address != forwarded.Flow.Destination || service.Protocol != forwarded.Flow.Protocol {
		t.Fatalf("service %+v got flow %v", service, forwarded.Flow)
	}
	chosen := configuration.Targets[forwarded.Chain[forwarded.Position]]
	if chosen.Service != service.ID || chosen.Agent != target.agent {
		t.Fatalf("target %+v got a packet of service %d", chosen, service.ID)
	}
	table := configuration.Buckets[service.ID]
	row := table.Bucket(routing.BucketOf(routing.FlowHash(forwarded.Flow), table.Count()))
	if forwarded.Chain[0] != row.Head {
		t.Fatalf("chain %v is not that of row %+v", forwarded.Chain, row)
	}
}
