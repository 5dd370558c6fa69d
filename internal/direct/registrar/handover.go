package registrar

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
)

// rateWindow is the time over which renewals are counted.
const rateWindow = time.Second

// RenewalRedirector decides which targets are to renew at a balancer, because this member
// takes more renewals than it should. It may be used from many goroutines.
type RenewalRedirector struct {
	// limit is the number of renewals a second that a member takes without
	// handing targets over; zero hands over none.
	limit int
	peers func() []feed.Peer

	lock   sync.Mutex
	window time.Time
	count  int
	former int
}

// NewRenewalRedirector returns a hand-over to the balancers of peers.
func NewRenewalRedirector(limit int, peers func() []feed.Peer) *RenewalRedirector {
	return &RenewalRedirector{limit: limit, peers: peers}
}

// Redirect counts a renewal at this member and returns the address at which the
// target is to renew from now on; it is empty for "here".
func (handOver *RenewalRedirector) Redirect(now time.Time, stated directory.Target) string {
	if handOver.limit == 0 || stated.State != directory.TargetReady || !handOver.crowded(now) {
		return ""
	}
	return choosePeer(handOver.peers(), stated)
}

// crowded counts a renewal and tells whether this window or the one before it
// has too many.
func (handOver *RenewalRedirector) crowded(now time.Time) bool {
	handOver.lock.Lock()
	defer handOver.lock.Unlock()
	if passed := now.Sub(handOver.window); passed >= rateWindow {
		handOver.former = handOver.count
		if passed >= 2*rateWindow {
			handOver.former = 0
		}
		handOver.window = now
		handOver.count = 0
	}
	handOver.count++
	return max(handOver.count, handOver.former) > handOver.limit
}

// choosePeer spreads targets over the balancers that take renewals, those of
// the target's own zone first.
func choosePeer(peers []feed.Peer, stated directory.Target) string {
	var near, all []string
	for _, peer := range peers {
		if peer.Renewals == "" {
			continue
		}
		all = append(all, peer.Renewals)
		if string(peer.Zone) == stated.Zone {
			near = append(near, peer.Renewals)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return all[uint64(stated.ID)%uint64(len(all))]
}
