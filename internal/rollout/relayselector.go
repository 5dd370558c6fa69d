package rollout

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/model"
)

const (
	// relaySilence is how long a relay may go without a confirmed
	// acknowledgement before the node tries the next one. Two tries fit in one
	// lease.
	relayTimeout = 1500 * time.Millisecond
	// silenceSpread is the share by which the wait at a silent relay differs
	// between nodes.
	timeoutJitter = 0.2
	// maximumRelaySilence bounds the wait at one relay while none is
	// confirmed.
	maximumRelayTimeout = 6 * time.Second
	// preferredRetryLeast is how long a node stays at a relay that is not its
	// first choice before it tries the first one again. The wait doubles with
	// each try that fails, up to preferredRetryMost.
	minimumPreferredRetry = 10 * time.Second
	maximumPreferredRetry = 2 * time.Minute
	// confirmedMargin is the least time that a relay's own grant must still
	// run for the relay to count as confirmed. A grant comes with each report,
	// so a shorter time shows that the relay lost control.
	minimumGrantRemaining = LeaseLength - time.Second
	// shareSteps is the number of different shares of nodes.
	jitterSteps = 1 << 10
)

// relaySelector chooses the relay of a node. Its own zone's relays come first
// in the settings; those of other zones follow.
type relaySelector struct {
	relays []model.NodeName
	// share stretches the waits. It differs by node, so that nodes do not all
	// leave a relay, or return to it, at the same moment.
	jitter     float64
	retryAfter time.Duration

	lock        sync.Mutex
	index       int
	started     bool
	chosenAt    time.Time
	confirmedAt time.Time
	// failures counts relays tried in a row without a confirmation.
	failures int
}

func newRelaySelector(options SubscriberOptions) *relaySelector {
	return &relaySelector{
		relays:     options.Relays,
		jitter:     nodeJitter(options.Self),
		retryAfter: minimumPreferredRetry,
	}
}

// nodeShare returns a share from 0 to 1 that differs by node.
func nodeJitter(name model.NodeName) float64 {
	return float64(xxhash.Sum64String(string(name))%jitterSteps) / jitterSteps
}

func (selector *relaySelector) current() model.NodeName {
	selector.lock.Lock()
	defer selector.lock.Unlock()
	if len(selector.relays) == 0 {
		return ""
	}
	return selector.relays[selector.index]
}

// confirm records an acknowledgement of a relay whose own grant still runs for
// the given time.
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

// advance moves to another relay when it is time, and tells whether the node
// has to subscribe.
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

// wait is the time to stay at a relay that is not the first choice.
func (selector *relaySelector) preferredRetryDelay() time.Duration {
	return selector.retryAfter + time.Duration(selector.jitter*float64(selector.retryAfter))
}

// patience grows after each round over all relays without a confirmation.
func (selector *relaySelector) confirmationTimeout() time.Duration {
	rounds := selector.failures / len(selector.relays)
	wait := min(relayTimeout*time.Duration(1+rounds), maximumRelayTimeout)
	return wait + time.Duration(selector.jitter*timeoutJitter*float64(wait))
}
