// Package transfer decides whether a balancer's own link can carry a further long
// request in time.
//
// A balancer on a narrow link that takes every upload it is given delays all of
// them, while other balancers have room. A new flow is refused at once when its
// request, by what requests of its route usually bring, would be carried later
// than its route's objective allows; the caller's next try comes to another
// balancer. Short requests are never refused: they pass long ones in the queue of
// package egress.
//
// The decision is pure: it reads what requests are open and what their routes
// usually bring.
package transfer

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// Options are the bounds that an admission works with.
type Options struct {
	// BytesPerSecond is what the link carries; zero means that it has no bound.
	BytesPerSecond float64
	// Share is the share of its route's objective in which a long request has to
	// be carried. Zero admits all.
	Share float64
}

// Open visits the open requests, in no order.
type Open func(visit func(progress requests.Progress))

// Admission decides about new flows. It is safe for many goroutines.
type Admission struct {
	options Options
	sizes   *Sizes
	open    Open
	// refused is the share of long requests that were refused lately.
	refused requests.Share
}

// New returns an admission that goes by the requests that open visits.
func New(options Options, sizes *Sizes, open Open) *Admission {
	return &Admission{options: options, sizes: sizes, open: open}
}

// Verdict is the decision about one new flow.
type Verdict struct {
	// Refused tells that the flow is to be refused.
	Refused bool
	// Size is the number of bytes that a request of the route usually brings, and
	// Ahead how many of open long requests still come. Expected is how long the
	// link takes for both.
	Size, Ahead int
	Expected    time.Duration
}

// Review returns the decision about a packet, or a refusal in place of one that
// gives a new flow a target. A copy of an opening packet that was sent on is not
// refused, because the answer to that one may be under way.
func (admission *Admission) Review(segment steer.Segment, decision steer.Decision) steer.Decision {
	opens := decision.Action == steer.Forward && decision.Reason == steer.ReasonChosen
	if !opens || segment.Seen {
		return decision
	}
	verdict := admission.Consider(segment.Service, decision.Objective)
	if !verdict.Refused {
		return decision
	}
	return decision.RefuseForLink(verdict.Expected)
}

// Consider decides about a new flow of a route, whose objective is zero when it
// has none.
func (admission *Admission) Consider(route netip.AddrPort, objective time.Duration) Verdict {
	verdict := Verdict{Size: admission.sizes.Typical(route)}
	if admission.options.BytesPerSecond == 0 || admission.options.Share == 0 || objective == 0 || verdict.Size <= requests.LongFrom {
		return verdict
	}
	underWay := min(verdict.Size, senderWindow)
	admission.open(func(progress requests.Progress) {
		remaining := admission.remaining(progress)
		verdict.Ahead += remaining
		underWay += min(remaining, senderWindow)
	})
	verdict.Expected = admission.carries(verdict.Ahead + verdict.Size)
	late := float64(verdict.Expected) > admission.options.Share*float64(objective)
	crowded := admission.carries(underWay) > repeatAfter && admission.refused.Value() > refusedOften
	verdict.Refused = verdict.Ahead > 0 && (late || crowded)
	admission.refused.Note(verdict.Refused)
	return verdict
}

// carries returns how long the link takes for a number of bytes.
func (admission *Admission) carries(bytes int) time.Duration {
	return time.Duration(float64(bytes) / admission.options.BytesPerSecond * float64(time.Second))
}

const (
	// senderWindow is the number of bytes that a sender has under way at most: 16
	// full packets (docs/incidents/narrow-links.md).
	senderWindow = 16 * 1240
	// repeatAfter is how long a sender waits at first before it repeats what was
	// not acknowledged. When the windows of all long requests take longer than
	// that, the link carries everything twice.
	repeatAfter = 200 * time.Millisecond
	// refusedOften is the share of refused long requests above which the links of
	// other balancers count as full too, because routers spread flows evenly. Below,
	// callers find another balancer, and a link takes what its objective allows.
	// Above, a link that carries data twice serves nobody: it takes no more than it
	// can carry without.
	refusedOften = 0.5
)

// leastRemaining is what a long request is assumed to bring still when it has
// brought as much as others of its route: half a window of a sender.
const leastRemaining = requests.LongFrom

func (admission *Admission) remaining(progress requests.Progress) int {
	typical := admission.sizes.Typical(progress.Route)
	if progress.Complete || max(typical, progress.Brought) <= requests.LongFrom {
		return 0
	}
	return max(typical-progress.Brought, leastRemaining)
}
