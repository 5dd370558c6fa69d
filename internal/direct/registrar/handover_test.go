package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/model"
)

func peersOf(zones ...string) func() []feed.Peer {
	var peers []feed.Peer
	for index, zone := range zones {
		name := string(rune('a' + index))
		peers = append(peers, feed.Peer{Name: model.NodeName("n" + name), Zone: model.ZoneName(zone), Renewals: name})
	}
	return func() []feed.Peer { return peers }
}

func TestHandOver(t *testing.T) {
	near := ready(7, 1)
	near.Zone = "x"
	draining := near
	draining.State = directory.TargetDraining
	cases := []struct {
		name   string
		limit  int
		peers  func() []feed.Peer
		rate   int
		stated directory.Target
		want   []string
	}{
		{"below the limit", 20, peersOf("x"), 10, near, []string{""}},
		{"above the limit", 5, peersOf("x", "y"), 10, near, []string{"a"}},
		{"above the limit, no balancer of the zone", 5, peersOf("y", "z"), 10, near, []string{"a", "b"}},
		{"above the limit, no balancer at all", 5, peersOf(), 10, near, []string{""}},
		{"balancers that take none", 5, func() []feed.Peer { return []feed.Peer{{Name: "a", Zone: "x"}} }, 10, near, []string{""}},
		{"never", 0, peersOf("x"), 1000, near, []string{""}},
		{"draining targets stay", 5, peersOf("x"), 10, draining, []string{""}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			handOver := NewRenewalRedirector(test.limit, test.peers)
			now := start
			var place string
			for range 3 * test.rate {
				now = now.Add(time.Second / time.Duration(test.rate))
				place = handOver.Redirect(now, test.stated)
			}
			require.Contains(t, test.want, place)
		})
	}
}

func TestHandOverEndsWithTheCrowd(t *testing.T) {
	handOver := NewRenewalRedirector(5, peersOf("x"))
	for range 20 {
		handOver.Redirect(start, ready(1, 1))
	}
	require.NotEmpty(t, handOver.Redirect(start, ready(1, 1)))
	require.NotEmpty(t, handOver.Redirect(start.Add(rateWindow), ready(1, 1)), "the window before counts too")
	require.Empty(t, handOver.Redirect(start.Add(3*rateWindow), ready(1, 1)))
}

func TestTargetsSpreadOverTheBalancersOfTheirZone(t *testing.T) {
	peers := peersOf("x", "x", "x", "y")
	counts := make(map[string]int)
	for id := range directory.TargetID(300) {
		target := ready(id+1, 1)
		target.Zone = "x"
		counts[choosePeer(peers(), target)]++
	}
	require.Equal(t, map[string]int{"a": 100, "b": 100, "c": 100}, counts)
}
