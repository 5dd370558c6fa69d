package outcome

import (
	"net/netip"

	"merlinpaddle/internal/direct/requests"
)

const (
	// baselineWeight is the weight of a new answer in the averages of its route, hastyWeight that
	// of a hasty one. With these, the averages follow a service whose answers become permanently
	// short and quick within a few hundred answers, and a target that fails for seconds hardly
	// changes them.
	baselineWeight = 0.05
	hastyWeight    = 0.005
	// minBaselineAnswers is the number of answers from which the averages of a route are used.
	minBaselineAnswers = 20
	// hastyTimeShare and hastySizeShare are the shares of the route's average time and size below
	// which an answer is hasty. An error takes one round trip to the target, a quarter to a third
	// of the time of an answer that takes 15 ms of work. Of successful answers, with times and
	// sizes that vary by half of their mean, a few in a thousand are below both.
	hastyTimeShare = 1.0 / 2
	hastySizeShare = 1.0 / 2
	// maxRoutes bounds the routes with a baseline.
	maxRoutes = 4096
)

// baseline is the average time and size of a route's answers.
type baseline struct {
	nanoseconds, bytes float64
	answers            int
}

// baselines holds the baseline of each route.
type baselines map[netip.AddrPort]baseline

// observe adds an answer to its route's baseline and reports whether it was hasty. Ejecting targets
// by hasty answers saved 27 of 64 requests that otherwise failed permanently while a tenth of the
// targets answered with errors for five seconds (docs/design/shifted-work.md, round 4).
func (baselines baselines) observe(answer requests.Answer) bool {
	usual, exists := baselines[answer.Route]
	if !exists && len(baselines) >= maxRoutes {
		return false
	}
	took, bytes := float64(answer.Latency), float64(answer.Bytes)
	hasty := usual.answers >= minBaselineAnswers && took < hastyTimeShare*usual.nanoseconds && bytes < hastySizeShare*usual.bytes
	usual.answers++
	weight := max(baselineWeight, 1/float64(usual.answers))
	if hasty {
		weight = hastyWeight
	}
	usual.nanoseconds += weight * (took - usual.nanoseconds)
	usual.bytes += weight * (bytes - usual.bytes)
	baselines[answer.Route] = usual
	return hasty
}
