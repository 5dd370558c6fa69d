package rollout

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// largeConfiguration returns a configuration with the given numbers of services and targets.
func largeConfiguration(services, targets int) *model.Configuration {
	random := rand.New(rand.NewPCG(1, 1))
	configuration := model.NewConfiguration()
	configuration.Revision = 1
	perService := targets / services
	for index := range services {
		id := model.ServiceID(index + 1)
		address := netip.AddrFrom4([4]byte{10, byte(index >> 16), byte(index >> 8), byte(index)})
		configuration.Services[id] = model.Service{
			ID: id, Tenant: "tenant", Name: fmt.Sprintf("service-%d", index), Address: netip.AddrPortFrom(address, 443), Limits: model.DefaultLimits(),
		}
		count := perService * model.BucketsPerTarget
		table := &model.BucketTable{Service: id, Heads: make([]model.TargetID, count), Alternates: make([]model.TargetID, count)}
		for bucket := range count {
			table.Heads[bucket] = model.TargetID(index*perService + random.IntN(perService) + 1)
			table.Alternates[bucket] = model.TargetID(index*perService + random.IntN(perService) + 1)
		}
		configuration.Buckets[id] = table
		for number := range perService {
			target := model.TargetID(index*perService + number + 1)
			machine := netip.AddrFrom4([4]byte{127, byte(target >> 16), byte(target >> 8), byte(target)})
			configuration.Targets[target] = model.Target{
				ID: target, Service: id, Name: fmt.Sprintf("target-%d", target), Zone: "zone-1", Agent: netip.AddrPortFrom(machine, 6081),
			}
		}
	}
	return configuration
}

// BenchmarkRestartedNode measures the cost of one restarted node to its relay, which sends it a
// snapshot. The configuration changes before every tenth node.
func BenchmarkRestartedNode(b *testing.B) {
	for _, targets := range []int{4100, 41000} {
		b.Run(fmt.Sprintf("%d targets", targets), func(b *testing.B) {
			source := newTestSource()
			source.receiver.ApplySnapshot(largeConfiguration(targets/10, targets))
			mailbox := protocol.NewMailbox("relay-1")
			publisher := NewPublisher(mailbox, source)
			now := time.Unix(1000, 0)
			size := 0
			count := 0
			for b.Loop() {
				if count%10 == 0 {
					source.addRevision()
				}
				count++
				now = now.Add(time.Millisecond)
				publisher.Resync(now, model.NodeName(fmt.Sprintf("balancer-%d", count)), protocol.Subscribe{})
				publisher.Publish(now, Confirmation{})
				for _, envelope := range mailbox.Outbox.Drain() {
					size += len(envelope.Message.(protocol.PackedUpdate).Payload)
				}
			}
			b.ReportMetric(float64(size)/float64(count), "B/node")
		})
	}
}
