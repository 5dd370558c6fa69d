package adminapi

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimits are the rates, in requests per second, and bursts that a member accepts.
type RateLimits struct {
	// PerSecond and Burst apply to each bearer token.
	PerSecond rate.Limit
	Burst     int
	// UnknownPerSecond and UnknownBurst apply to all requests without a known bearer token
	// together.
	UnknownPerSecond rate.Limit
	UnknownBurst     int
}

// DefaultRateLimits returns the default limits. The goal of 33,000 changes a day is less than one
// change a second, so the limits leave automation headroom for bursts.
func DefaultRateLimits() RateLimits {
	return RateLimits{PerSecond: 100, Burst: 200, UnknownPerSecond: 10, UnknownBurst: 20}
}

// limiterShards is the number of shards of a rateLimiter. Each shard has its own lock.
const limiterShards = 16

// rateLimiter has one token bucket for each known bearer token and one for all other requests. The
// token file bounds the number of known tokens, and with it the number of buckets.
type rateLimiter struct {
	limits  RateLimits
	unknown *rate.Limiter
	shards  [limiterShards]limiterShard
}

type limiterShard struct {
	lock     sync.Mutex
	limiters map[string]*rate.Limiter
}

func newRateLimiter(limits RateLimits) *rateLimiter {
	limiter := &rateLimiter{limits: limits, unknown: rate.NewLimiter(limits.UnknownPerSecond, limits.UnknownBurst)}
	for index := range limiter.shards {
		limiter.shards[index].limiters = make(map[string]*rate.Limiter)
	}
	return limiter
}

// allow takes one request from the bucket of the named bearer token and reports whether that bucket
// allows it. If not, it returns the seconds to wait.
func (limiter *rateLimiter) allow(name string, now time.Time) (int, bool) {
	return reserve(limiter.bucketOf(name), now)
}

// allowUnknown is like allow, for a request without a known bearer token.
func (limiter *rateLimiter) allowUnknown(now time.Time) (int, bool) {
	return reserve(limiter.unknown, now)
}

// bucketOf returns the token bucket of the named bearer token, which it creates on first use.
func (limiter *rateLimiter) bucketOf(name string) *rate.Limiter {
	var hash uint32
	for index := range len(name) {
		hash = hash*31 + uint32(name[index])
	}
	shard := &limiter.shards[hash%limiterShards]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	bucket, known := shard.limiters[name]
	if !known {
		bucket = rate.NewLimiter(limiter.limits.PerSecond, limiter.limits.Burst)
		shard.limiters[name] = bucket
	}
	return bucket
}

// reserve takes one request from the bucket and reports whether the bucket allows it. If not, it
// returns the seconds until the bucket does, or retryAfterBase when the bucket's burst is zero, and
// leaves the bucket as it was.
func reserve(bucket *rate.Limiter, now time.Time) (int, bool) {
	reservation := bucket.ReserveN(now, 1)
	if !reservation.OK() {
		return retryAfterBase, false
	}
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return int(math.Ceil(delay.Seconds())), false
}
