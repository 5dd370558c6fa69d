package registrar

import (
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
)

// rateWindow is the length of the window in which renewals are counted.
const rateWindow = time.Second

// RenewalRedirector decides which targets are sent to a balancer for their renewals, because
// this member gets more renewals than its limit. It is safe for concurrent use.
type RenewalRedirector struct {
	// limit is the number of renewals per second above which targets are redirected; zero
	// never redirects.
	limit int
	peers func() []feed.Peer

	lock          sync.Mutex
	windowStart   time.Time
	count         int
	previousCount int
}

// NewRenewalRedirector returns a redirector to the balancers that peers returns. A limit of
// zero never redirects.
func NewRenewalRedirector(limit int, peers func() []feed.Peer) *RenewalRedirector {
	return &RenewalRedirector{limit: limit, peers: peers}
}

// Redirect counts the renewal of a ready target at this member and returns the address at which
// the target is to renew from now on. It is empty when the target stays at this member, as
// targets in other states always do.
func (redirector *RenewalRedirector) Redirect(now time.Time, target directory.Target) string {
	if redirector.limit == 0 || target.State != directory.TargetReady || !redirector.countRenewal(now) {
		return ""
	}
	return choosePeer(redirector.peers(), target)
}

// countRenewal counts a renewal and reports whether the current or the previous window is over
// the limit.
func (redirector *RenewalRedirector) countRenewal(now time.Time) bool {
	redirector.lock.Lock()
	defer redirector.lock.Unlock()
	if elapsed := now.Sub(redirector.windowStart); elapsed >= rateWindow {
		redirector.previousCount = redirector.count
		if elapsed >= 2*rateWindow {
			redirector.previousCount = 0
		}
		redirector.windowStart = now
		redirector.count = 0
	}
	redirector.count++
	return max(redirector.count, redirector.previousCount) > redirector.limit
}

// choosePeer returns the renewal address of a balancer, or an empty string if none accepts
// renewals. It spreads targets by their identifiers and prefers balancers in the target's zone.
func choosePeer(peers []feed.Peer, target directory.Target) string {
	var sameZone, addresses []string
	for _, peer := range peers {
		if peer.Renewals == "" {
			continue
		}
		addresses = append(addresses, peer.Renewals)
		if string(peer.Zone) == target.Zone {
			sameZone = append(sameZone, peer.Renewals)
		}
	}
	if len(sameZone) > 0 {
		addresses = sameZone
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[uint64(target.ID)%uint64(len(addresses))]
}
