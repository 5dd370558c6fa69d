package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// errStopping is the cause of contexts that end because the caller is stopped.
var errStopping = errors.New("the caller is stopping")

// job is one request as created by an arrival process, before its attempts.
type job struct {
	class      Class
	identifier string
	// key is the idempotency key of an at-most-once call, else empty.
	key  string
	path string
	body []byte
	// slotIndex is the index of the pool's connection slot that the request uses.
	slotIndex int
	// seed fixes the jitter of the request's retries.
	seed uint64
}

// sender sends jobs with retries.
type sender struct {
	options     Options
	pool        *pool
	recorder    *recorder
	retryBudget *retryBudget
}

// send makes the attempts of one job and records its final outcome. The latency counts from the
// start of send.
func (sender *sender) send(ctx context.Context, job job) {
	intended := time.Now()
	sender.recorder.recordOffered(job.class)
	sender.retryBudget.deposit()
	ctx, cancel := context.WithTimeout(ctx, sender.options.RequestTimeout)
	defer cancel()
	last := sender.attempts(ctx, job)
	sender.recorder.recordOutcome(job, last, time.Since(intended))
}

// attempts makes attempts until one has a final outcome, or the attempts, the retry budget or the
// time run out.
func (sender *sender) attempts(ctx context.Context, job job) outcome {
	random := rand.New(rand.NewPCG(sender.options.Seed, job.seed))
	expected := expectation{key: job.key, body: job.body}
	var mayHaveRun *outcome
	for attempt := 1; ; attempt++ {
		identifier := fmt.Sprintf("%s.%d", job.identifier, attempt)
		expected.attempts = append(expected.attempts, identifier)
		result := sender.attempt(ctx, job, identifier, expected)
		sender.recorder.recordAttempt(job.class, identifier, result)
		mayHaveRun = latestUncertain(mayHaveRun, result)
		if !mayRetry(result.kind, job.class) || attempt == maximumAttempts {
			return finalOutcome(mayHaveRun, result)
		}
		if !sender.retryBudget.withdraw() {
			sender.recorder.recordRetryBudgetEmpty()
			return finalOutcome(mayHaveRun, result)
		}
		if !waitToRetry(ctx, retryDelay(attempt, result.retryAfter, random)) {
			return finalOutcome(mayHaveRun, result)
		}
	}
}

// latestUncertain returns result when its attempt may have run, else earlier.
func latestUncertain(earlier *outcome, result outcome) *outcome {
	if result.kind == outcomeUnknown || result.kind == outcomeBroken {
		return &result
	}
	return earlier
}

// finalOutcome returns the outcome of the whole request. It is that of the last attempt, unless that
// one was refused or not sent and an earlier attempt may have run.
func finalOutcome(mayHaveRun *outcome, last outcome) outcome {
	refused := last.kind == outcomeNotRun || last.kind == outcomeNotSent
	if refused && mayHaveRun != nil {
		return *mayHaveRun
	}
	return last
}

// waitToRetry waits for delay and reports whether another attempt may be made. It returns false at
// once when ctx would end during the wait.
func waitToRetry(ctx context.Context, delay time.Duration) bool {
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) <= delay {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt.
func (sender *sender) attempt(ctx context.Context, job job, identifier string, expected expectation) outcome {
	connection, err := sender.pool.acquire(ctx, job.slotIndex)
	if err != nil {
		return outcome{kind: outcomeNotSent, err: err}
	}
	defer sender.pool.release(connection)
	request, err := newRequest(ctx, http.MethodPost, sender.options.Address.String()+job.path, identifier, job.body)
	if err != nil {
		return outcome{kind: outcomeNotSent, err: err}
	}
	if job.key != "" {
		request.Header.Set(headerIdempotencyKey, job.key)
	}
	sent := time.Now()
	result := exchange(ctx, connection, request, expected)
	result.elapsed = time.Since(sent)
	result.node = connection.nodeName()
	return result
}

func newRequest(ctx context.Context, method, target, identifier string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "https://"+target, bodyReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set(headerRequestID, identifier)
	setTimeout(ctx, request)
	return request, nil
}

// bodyReader returns a reader of body, or nil when there is no body.
func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}
