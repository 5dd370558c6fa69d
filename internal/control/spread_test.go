package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// peakArrivals runs the cluster for duration and returns the largest number of messages of
// example's type that were sent to the receiver within any window.
func (cluster *cluster) peakArrivals(receiver model.NodeName, example any, window, duration time.Duration) int {
	kind := fmt.Sprintf("%T", example)
	peak := 0
	var arrivals []time.Duration
	for end := cluster.elapsed + duration; cluster.elapsed < end; {
		cluster.run(clusterStep)
		for _, message := range cluster.inFlight {
			// Only the messages sent in this step are in flight: earlier ones were delivered.
			if message.envelope.To == receiver && fmt.Sprintf("%T", message.envelope.Message) == kind {
				arrivals = append(arrivals, cluster.elapsed)
			}
		}
		for len(arrivals) > 0 && cluster.elapsed-arrivals[0] >= window {
			arrivals = arrivals[1:]
		}
		peak = max(peak, len(arrivals))
	}
	return peak
}

// TestHeartbeatsAreSpreadOverTheInterval counts the heartbeats of many nodes after changes that all
// nodes answer at the same time, and their subscriptions after a relay has failed. Both must stay
// spread out, so that a relay does not get them all at once.
func TestHeartbeatsAreSpreadOverTheInterval(t *testing.T) {
	t.Parallel()
	const nodes = 60
	cluster := newCluster(t, 31)
	cluster.addMembers("control-1")
	cluster.addRelay("relay-a", "a")
	cluster.addRelay("relay-b", "b")
	for number := range nodes {
		cluster.addNode(fmt.Sprintf("balancer-%d", number), model.RoleBalancer, "a")
	}
	revision := cluster.createService()
	cluster.run(settleTime)
	for number := range 5 {
		revision = cluster.putService(revision, 100+number)
		cluster.run(2 * time.Second)
	}
	const window = 100 * time.Millisecond
	peak := cluster.peakArrivals("relay-a", protocol.Heartbeat{}, window, 2*time.Second)
	require.LessOrEqual(t, peak, nodes/2, "heartbeats within %s", window)

	cluster.stop("relay-a")
	peak = cluster.peakArrivals("relay-b", protocol.Subscribe{}, window, 4*time.Second)
	require.Positive(t, peak)
	require.LessOrEqual(t, peak, nodes/2, "subscriptions within %s after a relay failed", window)
}

// TestUnchangedLoadsAreNotRepeatedEachSecond keeps the loads of all targets unchanged. The leader
// must repeat them rarely, but send them to a restarted relay within 4 s.
func TestUnchangedLoadsAreNotRepeatedEachSecond(t *testing.T) {
	t.Parallel()
	cluster := newTwoZoneCluster(t, 32)
	cluster.createService()
	cluster.run(settleTime)
	for _, target := range cluster.leader().machine.Configuration().Targets {
		cluster.nodes[model.NodeName(target.Name)].reporter.load = &model.TargetLoad{Target: target.ID, Flows: 7}
	}
	cluster.runUntil(time.Minute, cluster.allUseZoneRelay, "nodes do not use the relays of their zones")
	cluster.run(settleTime)
	count := cluster.peakArrivals("relay-a", protocol.LoadDigest{}, 10*time.Second, 20*time.Second)
	require.Positive(t, count)
	require.LessOrEqual(t, count, 2)

	cluster.addRelay("relay-a", "a")
	require.Positive(t, cluster.peakArrivals("relay-a", protocol.LoadDigest{}, 4*time.Second, 4*time.Second), "a restarted relay was not sent the loads")
}
