package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

// selectorTest runs a selector in simulated time while some relays confirm.
type selectorTest struct {
	selector *relaySelector
	now      time.Time
}

func newSelectorTest(self model.NodeName) *selectorTest {
	relays := []model.NodeName{"own-1", "own-2", "other-1", "other-2"}
	return &selectorTest{selector: newRelaySelector(SubscriberOptions{Self: self, Relays: relays}), now: time.Unix(1000, 0)}
}

// run runs the selector for duration while the relays in alive confirm, and returns the relays that
// the node used, in order.
func (test *selectorTest) run(duration time.Duration, alive ...model.NodeName) []model.NodeName {
	const step = 100 * time.Millisecond
	var visited []model.NodeName
	for end := test.now.Add(duration); test.now.Before(end); {
		test.now = test.now.Add(step)
		test.selector.advance(test.now)
		at := test.selector.current()
		if len(visited) == 0 || visited[len(visited)-1] != at {
			visited = append(visited, at)
		}
		for _, relay := range alive {
			if relay == at {
				test.selector.confirm(test.now, at, LeaseLength)
			}
		}
	}
	return visited
}

func TestRelaysAreTriedInOrder(t *testing.T) {
	cases := []struct {
		name    string
		alive   []model.NodeName
		within  time.Duration
		visited []model.NodeName
	}{
		{name: "own relay alive", alive: []model.NodeName{"own-1", "own-2"}, within: 5 * time.Second, visited: []model.NodeName{"own-1"}},
		{name: "own relay failed", alive: []model.NodeName{"own-2", "other-1"}, within: LeaseLength, visited: []model.NodeName{"own-1", "own-2"}},
		{name: "all relays of the zone failed", alive: []model.NodeName{"other-1", "other-2"}, within: 5 * time.Second, visited: []model.NodeName{"own-1", "own-2", "other-1"}},
		{name: "one relay left", alive: []model.NodeName{"other-2"}, within: 7 * time.Second, visited: []model.NodeName{"own-1", "own-2", "other-1", "other-2"}},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			test := newSelectorTest("balancer-1")
			require.Equal(t, []model.NodeName{"own-1"}, test.run(2*time.Second, "own-1"))
			require.Equal(t, each.visited, test.run(each.within, each.alive...))
		})
	}
}

// TestRelayWithoutGrantsIsAbandoned has a relay that keeps answering although its own grants run
// out. The node must switch to the next relay: answers alone do not confirm a relay.
func TestRelayWithoutGrantsIsAbandoned(t *testing.T) {
	test := newSelectorTest("balancer-1")
	test.run(2*time.Second, "own-1")
	for range 20 {
		test.now = test.now.Add(100 * time.Millisecond)
		test.selector.confirm(test.now, "own-1", minimumGrantRemaining-time.Millisecond)
		test.selector.advance(test.now)
	}
	require.Equal(t, model.NodeName("own-2"), test.selector.current())
}

// TestReturnsToPreferredRelayAreSpreadOut brings back the first relay of many nodes. Without jitter
// the nodes would all return to it in the same second.
func TestReturnsToPreferredRelayAreSpreadOut(t *testing.T) {
	const nodes = 200
	seconds := int(minimumPreferredRetry / time.Second)
	returned := make(map[int]int)
	for index := range nodes {
		test := newSelectorTest(model.NodeName(fmt.Sprintf("balancer-%d", index)))
		test.run(2*time.Second, "own-1")
		for test.selector.current() == "own-1" {
			test.run(100 * time.Millisecond)
		}
		moved := test.now
		for test.selector.current() != "own-1" {
			test.run(100*time.Millisecond, "own-1", "own-2")
		}
		returned[int((test.now.Sub(moved)-minimumPreferredRetry)/time.Second)]++
	}
	for second, count := range returned {
		require.GreaterOrEqual(t, second, 0)
		require.LessOrEqual(t, second, seconds)
		require.LessOrEqual(t, count, 2*nodes/seconds, "second %d: %v", second, returned)
	}
}
