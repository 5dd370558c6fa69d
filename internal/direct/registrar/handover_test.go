package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/model"
)

// peersInZones returns balancers named na, nb, ... in the given zones, with the renewal addresses a,
// b, ...
func peersInZones(zones ...string) func() []feed.Peer {
	var peers []feed.Peer
	for index, zone := range zones {
		name := string(rune('a' + index))
		peers = append(peers, feed.Peer{Name: model.NodeName("n" + name), Zone: model.ZoneName(zone), Renewals: name})
	}
	return func() []feed.Peer { return peers }
}

func TestRenewalRedirector(t *testing.T) {
	target := readyTarget(7, 1)
	target.Zone = "x"
	draining := target
	draining.State = directory.TargetDraining
	cases := []struct {
		name   string
		limit  int
		peers  func() []feed.Peer
		rate   int
		target directory.Target
		want   []string
	}{
		{"below the limit", 20, peersInZones("x"), 10, target, []string{""}},
		{"above the limit", 5, peersInZones("x", "y"), 10, target, []string{"a"}},
		{"above the limit, no balancer in the zone", 5, peersInZones("y", "z"), 10, target, []string{"a", "b"}},
		{"above the limit, no balancer known", 5, peersInZones(), 10, target, []string{""}},
		{"above the limit, no balancer accepts renewals", 5, func() []feed.Peer { return []feed.Peer{{Name: "a", Zone: "x"}} }, 10, target, []string{""}},
		{"redirecting disabled", 0, peersInZones("x"), 1000, target, []string{""}},
		{"draining targets are not redirected", 5, peersInZones("x"), 10, draining, []string{""}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			redirector := NewRenewalRedirector(test.limit, test.peers)
			now := startTime
			var address string
			for range 3 * test.rate {
				now = now.Add(time.Second / time.Duration(test.rate))
				address = redirector.Redirect(now, test.target)
			}
			require.Contains(t, test.want, address)
		})
	}
}

func TestRedirectingEndsWhenTheRateDrops(t *testing.T) {
	redirector := NewRenewalRedirector(5, peersInZones("x"))
	for range 20 {
		redirector.Redirect(startTime, readyTarget(1, 1))
	}
	require.NotEmpty(t, redirector.Redirect(startTime, readyTarget(1, 1)))
	require.NotEmpty(t, redirector.Redirect(startTime.Add(rateWindow), readyTarget(1, 1)), "the previous window counts too")
	require.Empty(t, redirector.Redirect(startTime.Add(3*rateWindow), readyTarget(1, 1)))
}

func TestTargetsSpreadOverTheBalancersOfTheirZone(t *testing.T) {
	peers := peersInZones("x", "x", "x", "y")
	counts := make(map[string]int)
	for id := range directory.TargetID(300) {
		target := readyTarget(id+1, 1)
		target.Zone = "x"
		counts[choosePeer(peers(), target)]++
	}
	require.Equal(t, map[string]int{"a": 100, "b": 100, "c": 100}, counts)
}
