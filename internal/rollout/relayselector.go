package rollout

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/model"
)

const (
	// relayTimeout is how long a relay may go without an acknowledgement that confirms it before the
	// node tries the next one. Two attempts fit in one lease.
	relayTimeout = 1500 * time.Millisecond
	// timeoutJitter is the fraction by which the timeout for a relay differs at most between nodes.
	timeoutJitter = 0.2
	// maximumRelayTimeout bounds the timeout for one relay, before jitter, while no relay confirms.
	maximumRelayTimeout = 6 * time.Second
	// minimumPreferredRetry is how long a node stays at a relay that is not its first choice before
	// it tries the first one again. The wait doubles with each attempt, up to maximumPreferredRetry,
	// until the first one confirms.
	minimumPreferredRetry = 10 * time.Second
	maximumPreferredRetry = 2 * time.Minute
	// minimumGrantRemaining is the least remaining time of a relay's own grant at which the relay
	// counts as confirmed. A relay gets a grant with each report, so a shorter time shows that it
	// lost its connection to control.
	minimumGrantRemaining = LeaseLength - time.Second
	// jitterSteps is the number of different jitters of nodes.
	jitterSteps = 1 << 10
)

// relaySelector chooses the relay that a node uses. The relays are in order of preference: the
// settings list those of the node's own zone first, then those of other zones. Its methods current,
// confirm and advance are safe for concurrent use.
type relaySelector struct {
	relays []model.NodeName
	// jitter, from 0 to 1, lengthens the waits. It differs between nodes, so that they do not all
	// leave a relay, or return to it, at the same moment.
	jitter float64
	// retryAfter is the wait, before jitter, until the next attempt at the first relay.
	retryAfter time.Duration

	lock        sync.Mutex
	index       int
	started     bool
	chosenAt    time.Time
	confirmedAt time.Time
	// failures is the number of relays tried in a row without a confirmation.
	failures int
}

func newRelaySelector(options SubscriberOptions) *relaySelector {
	return &relaySelector{
		relays:     options.Relays,
		jitter:     nodeJitter(options.Self),
		retryAfter: minimumPreferredRetry,
	}
}

// nodeJitter returns the node's jitter, from 0 up to but not including 1: a hash of the name, so
// that it is the same in each process of the node.
func nodeJitter(name model.NodeName) float64 {
	return float64(xxhash.Sum64String(string(name))%jitterSteps) / jitterSteps
}

// current returns the name of the relay that the node uses at present, or an empty name if none is
// configured.
func (selector *relaySelector) current() model.NodeName {
	selector.lock.Lock()
	defer selector.lock.Unlock()
	if len(selector.relays) == 0 {
		return ""
	}
	return selector.relays[selector.index]
}

// confirm records an acknowledgement of a relay whose own grant is valid for the remaining time.
func (selector *relaySelector) confirm(now time.Time, relay model.NodeName, remaining time.Duration) {
	selector.lock.Lock()
	defer selector.lock.Unlock()
	if relay != selector.relays[selector.index] || remaining < minimumGrantRemaining {
		return
	}
	selector.confirmedAt = now
	selector.failures = 0
	if selector.index == 0 {
		selector.retryAfter = minimumPreferredRetry
	}
}

// advance switches to the next relay if the current one has not confirmed in time, or back to the
// first one if an attempt at it is due. It reports whether the node has to subscribe at its relay:
// after a switch, and at the first call.
func (selector *relaySelector) advance(now time.Time) bool {
	selector.lock.Lock()
	defer selector.lock.Unlock()
	if !selector.started {
		selector.started = true
		selector.chosenAt = now
		return true
	}
	last := selector.chosenAt
	if selector.confirmedAt.After(last) {
		last = selector.confirmedAt
	}
	if now.Sub(last) > selector.confirmationTimeout() {
		selector.failures++
		selector.choose((selector.index+1)%len(selector.relays), now)
		return true
	}
	if selector.index != 0 && now.Sub(selector.chosenAt) > selector.preferredRetryDelay() {
		selector.retryAfter = min(2*selector.retryAfter, maximumPreferredRetry)
		selector.choose(0, now)
		return true
	}
	return false
}

func (selector *relaySelector) choose(index int, now time.Time) {
	selector.index = index
	selector.chosenAt = now
}

// preferredRetryDelay returns how long to stay at a relay that is not the first choice before the
// next attempt at the first one.
func (selector *relaySelector) preferredRetryDelay() time.Duration {
	return selector.retryAfter + time.Duration(selector.jitter*float64(selector.retryAfter))
}

// confirmationTimeout returns how long the current relay may go without confirming. It increases
// with each round over all relays without a confirmation.
func (selector *relaySelector) confirmationTimeout() time.Duration {
	rounds := selector.failures / len(selector.relays)
	wait := min(relayTimeout*time.Duration(1+rounds), maximumRelayTimeout)
	return wait + time.Duration(selector.jitter*timeoutJitter*float64(wait))
}
