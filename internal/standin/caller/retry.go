package caller

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.2
	// retryBudgetCapacity bounds the retries in the budget.
	retryBudgetCapacity = 20.0
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 5
	// The backoff doubles from the initial to the maximum value, with full jitter.
	initialBackoff = 50 * time.Millisecond
	maximumBackoff = 2 * time.Second
	// retryAfterSpread is the largest fraction by which a stated Retry-After is randomly lengthened,
	// so that callers do not all retry at the same moment.
	retryAfterSpread = 0.5
)

// retryBudget is a token bucket that bounds retries to a fraction of the requests, so that retries
// cannot amplify an overload.
type retryBudget struct {
	lock   sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBudgetCapacity} }

// deposit adds the share of one request to the budget.
func (budget *retryBudget) deposit() {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.tokens = min(retryBudgetCapacity, budget.tokens+retriesPerRequest)
}

// withdraw takes one retry from the budget and reports whether there was one.
func (budget *retryBudget) withdraw() bool {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// retryDelay returns the wait before the next attempt. attempt is the number of attempts made, from
// one; retryAfter is the wait that the server asked for, or zero.
func retryDelay(attempt int, retryAfter time.Duration, random *rand.Rand) time.Duration {
	ceiling := min(maximumBackoff, initialBackoff<<(attempt-1))
	backoff := time.Duration(random.Int64N(int64(ceiling) + 1))
	if retryAfter <= 0 {
		return backoff
	}
	spread := time.Duration(float64(retryAfter) * retryAfterSpread * random.Float64())
	return max(backoff, retryAfter+spread)
}

// parseRetryAfter returns the wait that a Retry-After header asks for, in seconds or as a date. It
// returns zero for text that is neither and for dates in the past.
func parseRetryAfter(text string, now time.Time) time.Duration {
	if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	if date, err := http.ParseTime(text); err == nil {
		return max(0, date.Sub(now))
	}
	return 0
}

// mayRetry reports whether a request may be sent again after an outcome. A request that did not run
// may always be. One that may have run may be when it has an idempotency key or is idempotent, as
// calls of ClassCall are. Uploads are idempotent because they name their content.
func mayRetry(kind outcomeKind, class Class) bool {
	switch kind {
	case outcomeNotRun, outcomeNotSent:
		return true
	case outcomeUnknown, outcomeBroken:
		return class != ClassFeed
	default:
		return false
	}
}
