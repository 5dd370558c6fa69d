// Package transfer decides whether a balancer's own link can carry a further long
// request in time.
//
// A balancer on a narrow link that takes every upload it is given delays all of
// them, while other balancers have room. A new flow is refused at once when its
// request, by what requests of its route usually bring, would be carried later
// than its route's objective allows, and sooner where many are refused; the caller's
// next try comes to another balancer. Short requests pass long ones in the queue of package
// egress; they are refused only where short ones alone are more than the link carries.
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
	link    Link
	// refused is the share of long requests that were refused lately.
	refused requests.Share
}

// New returns an admission that goes by the requests that open visits.
func New(options Options, sizes *Sizes, open Open) *Admission {
	return &Admission{
		options: options, sizes: sizes, open: open,
		link:    unknownLink{},
		refused: requests.Share{Weight: refusedWeight},
	}
}

// Link tells what waits in front of the balancer's link.
type Link interface {
	// Idle tells whether nothing waits.
	Idle() bool
	// ShortWait returns how long the link takes for what waits of short flows.
	ShortWait() time.Duration
}

// unknownLink is a link of which nothing is known.
type unknownLink struct{}

// Idle implements Link.
func (unknownLink) Idle() bool { return false }

// ShortWait implements Link.
func (unknownLink) ShortWait() time.Duration { return 0 }

// ObserveLink makes the admission look at the link. It is set before the first packet.
func (admission *Admission) ObserveLink(link Link) { admission.link = link }

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
func (admission *Admission) Review(segment steer.Segment, decision steer.Decision, now time.Time) steer.Decision {
	opens := decision.Action == steer.Forward && decision.Reason == steer.ReasonChosen
	if !opens || segment.AlreadyForwarded {
		return decision
	}
	if wait := admission.link.ShortWait(); admission.options.Share > 0 && wait > shortWaitMost {
		return decision.RefuseForLink(wait)
	}
	verdict := admission.Consider(segment.Service, decision.Objective, now)
	if !verdict.Refused {
		return decision
	}
	return decision.RefuseForLink(verdict.Expected)
}

// Consider decides about a new flow of a route, whose objective is zero when it
// has none.
func (admission *Admission) Consider(route netip.AddrPort, objective time.Duration, now time.Time) Verdict {
	verdict := Verdict{Size: admission.sizes.Typical(route)}
	if admission.options.BytesPerSecond == 0 || admission.options.Share == 0 || objective == 0 || verdict.Size <= requests.LongFrom {
		return verdict
	}
	idle := admission.link.Idle()
	admission.open(func(progress requests.Progress) {
		if idle && now.Sub(progress.LastAt) > quietAfter {
			return
		}
		verdict.Ahead += admission.remaining(progress)
	})
	verdict.Expected = admission.carries(verdict.Ahead + verdict.Size)
	wait := admission.carries(verdict.Ahead)
	verdict.Refused = wait > 0 && wait > admission.allowedWait(verdict.Size, objective)
	admission.refused.Note(verdict.Refused)
	return verdict
}

// allowedWait returns how long a long request of a size may wait for others: what its
// objective allows while few are refused, and less the more are, down to roomFrom. A
// caller that is refused finds another balancer as long as most have room. Where most
// are full, a link that takes several at once carries much of their data twice, makes
// all of them late, and refuses the next ones all the same. Where uploads ask for nine
// tenths of what all links carry, this serves 821 to 955 of some 1,600 uploads in their
// objective instead of 694 to 801 (docs/design/shifted-work.md, round 3).
func (admission *Admission) allowedWait(size int, objective time.Duration) time.Duration {
	most := time.Duration(admission.options.Share*float64(objective)) - admission.carries(size)
	patience := (refusedMost - admission.refused.Value()) / (refusedMost - refusedFew)
	patience = min(max(patience, 0), 1)
	return max(time.Duration(patience*float64(most)), min(roomFrom, most))
}

// shortWaitMost is how long datagrams of short flows may wait for the link before it takes no
// new flows: half of the time after which senders repeat what is not acknowledged. From
// there on the link would carry everything twice, and what is open suffers with what is new.
// A refusal costs it one small datagram, a flow some ten.
const shortWaitMost = 100 * time.Millisecond

// carries returns how long the link takes for a number of bytes.
func (admission *Admission) carries(bytes int) time.Duration {
	return time.Duration(float64(bytes) / admission.options.BytesPerSecond * float64(time.Second))
}

// quietAfter is how long after its latest packet a long request counts as one that uses
// the link no more, if nothing waits in front of it: its sender has repeated by then what
// was not acknowledged, so that its caller is gone, or its packets take another way
// because the routers changed their mind. Counting it on refused uploads on an idle link
// for up to two seconds; without it some 7 of 100 uploads fewer are served where most
// links are full (docs/design/shifted-work.md, round 3).
const quietAfter = 300 * time.Millisecond

const (
	// roomFrom is the time in which the link has carried all long requests that are
	// open, from which on it always has room for the next one: about the window of one
	// sender, 16 full packets, on a link of 2 Mbit/s, so that the link does not stand idle
	// until the next request's data comes.
	roomFrom = 80 * time.Millisecond
	// refusedWeight is the weight of one more long request in the share of refused ones.
	// A balancer on a full link hears of some five a second, so that the share follows
	// the load within two seconds.
	refusedWeight = 0.15
	// refusedFew is the share of long requests that were refused lately up to which a link
	// takes what their objective allows, and refusedMost that from which on it takes the
	// next one only when it has room.
	refusedFew  = 0.2
	refusedMost = 0.4
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
