package outcome

import (
	"net/netip"

	"merlinpaddle/internal/direct/requests"
)

const (
	// usualWeight is the weight of one more answer in the averages of its route, and
	// hastyWeight that of a hasty one: a service whose answers become short and quick for
	// good is followed, within some hundred answers, and a target that fails for seconds
	// hardly moves them.
	usualWeight = 0.05
	hastyWeight = 0.005
	// usualFrom is the number of answers from which the averages of a route are used.
	usualFrom = 20
	// hastyTime and hastySize are the parts of the usual time and size below which an
	// answer is hasty: an error takes the way to the target and back, a quarter to a
	// third of an answer that is worked on for 15 ms. Of sound answers, with times and
	// sizes that spread by half of their mean, some in a thousand are both.
	hastyTime = 1.0 / 2
	hastySize = 1.0 / 2
	// routesKept bounds the routes whose answers are known.
	routesKept = 4096
)

// usual is what answers of a route are usually like.
type usual struct {
	nanoseconds, bytes float64
	answers            int
}

// usualAnswers has what answers are usually like, by route.
type usualAnswers map[netip.AddrPort]usual

// learn takes an answer in and tells whether it was hasty. Setting targets aside by hasty
// answers saved 27 of 64 requests that otherwise failed for good while a tenth of the
// targets answered errors for five seconds (docs/design/shifted-work.md, round 4).
func (known usualAnswers) learn(answer requests.Answer) bool {
	route, exists := known[answer.Route]
	if !exists && len(known) >= routesKept {
		return false
	}
	took, bytes := float64(answer.Latency), float64(answer.Bytes)
	hasty := route.answers >= usualFrom && took < hastyTime*route.nanoseconds && bytes < hastySize*route.bytes
	route.answers++
	weight := max(usualWeight, 1/float64(route.answers))
	if hasty {
		weight = hastyWeight
	}
	route.nanoseconds += weight * (took - route.nanoseconds)
	route.bytes += weight * (bytes - route.bytes)
	known[answer.Route] = route
	return hasty
}
