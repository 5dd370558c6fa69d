package kernel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Random is one seeded random stream. Streams of different names are independent, so an additional
// draw in one part of a run does not change the numbers drawn in the others.
type Random struct {
	source *rand.Rand
}

// NewRandom returns the stream for a run's seed and a stream name.
func NewRandom(seed uint64, name string) *Random {
	return &Random{source: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
}

// Uint64 returns a uniform 64-bit number.
func (random *Random) Uint64() uint64 { return random.source.Uint64() }

// IntN returns a uniform number in [0, bound), or 0 when bound is not positive.
func (random *Random) IntN(bound int) int {
	if bound <= 0 {
		return 0
	}
	return random.source.IntN(bound)
}

// Chance reports true with the given probability.
func (random *Random) Chance(probability float64) bool {
	return probability > 0 && random.source.Float64() < probability
}

// Between returns a uniform duration in [low, high), or low when the interval is empty.
func (random *Random) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(random.source.Int64N(int64(high-low)))
}

// Exponential returns an exponentially distributed duration with the given mean.
func (random *Random) Exponential(mean time.Duration) time.Duration {
	return time.Duration(random.source.ExpFloat64() * float64(mean))
}

// Pareto returns a Pareto-distributed duration of at least low with the given shape, capped at
// high.
func (random *Random) Pareto(low, high time.Duration, shape float64) time.Duration {
	uniform := 1 - random.source.Float64()
	value := time.Duration(float64(low) / math.Pow(uniform, 1/shape))
	return min(value, high)
}

// Shuffle randomly permutes count items with swap.
func (random *Random) Shuffle(count int, swap func(left, right int)) {
	random.source.Shuffle(count, swap)
}

// Pick returns a random item; items must not be empty.
func Pick[Item any](random *Random, items []Item) Item { return items[random.IntN(len(items))] }
