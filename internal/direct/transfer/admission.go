// Package transfer implements admission control for long requests, such as uploads, on the link of
// a balancer.
//
// A balancer with a narrow link that accepted every upload would delay all of them while other
// balancers have spare capacity. A new flow is therefore refused at once if its request, judged by
// the usual size of requests of its route, would be transmitted later than the route's objective
// allows. While many flows are refused, the limit is lower than the objective. The caller's next
// attempt reaches another balancer. Short requests overtake long ones in the queue of package
// egress; they are refused only if short ones alone exceed the capacity of the link.
//
// The decision has no side effects outside the package: it is based on the open requests and on the
// usual sizes of the requests of their routes.
package transfer

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// Options are the limits of an Admission.
type Options struct {
	// BytesPerSecond is the capacity of the link; zero means unlimited.
	BytesPerSecond float64
	// ObjectiveShare is the share of its route's objective, from 0 to 1, within which a long
	// request has to be transmitted. Zero disables admission control.
	ObjectiveShare float64
}

// VisitOpen calls visit for each open request, in no particular order.
type VisitOpen func(visit func(progress requests.Progress))

// Admission decides whether to accept new flows. It is safe for concurrent use.
type Admission struct {
	options   Options
	sizes     *Sizes
	visitOpen VisitOpen
	link      Link
	// refusedShare is the share of recent long requests that were refused.
	refusedShare requests.Share
}

// NewAdmission returns an Admission that reads the open requests with visitOpen.
func NewAdmission(options Options, sizes *Sizes, visitOpen VisitOpen) *Admission {
	return &Admission{
		options: options, sizes: sizes, visitOpen: visitOpen,
		link:         unknownLink{},
		refusedShare: requests.Share{Weight: refusedWeight},
	}
}

// Link describes the queue in front of the balancer's link.
type Link interface {
	// Idle reports whether the queue is empty.
	Idle() bool
	// ShortWait returns how long the link takes to transmit the queued datagrams of short flows.
	ShortWait() time.Duration
}

// unknownLink is used until ObserveLink is called. It is never idle, so that no open request is
// taken for inactive.
type unknownLink struct{}

// Idle implements Link.
func (unknownLink) Idle() bool { return false }

// ShortWait implements Link.
func (unknownLink) ShortWait() time.Duration { return 0 }

// ObserveLink sets the link whose queue is considered. It must be called before the first packet.
func (admission *Admission) ObserveLink(link Link) { admission.link = link }

// Verdict is the decision about a new flow and the figures that it is based on.
type Verdict struct {
	// Refused reports whether the flow is refused.
	Refused bool
	// TypicalSize is the usual size in bytes of a request of the route; zero if unknown.
	// BytesAhead is the number of bytes that open long requests are still expected to send.
	// ExpectedTime is how long the link takes for both.
	TypicalSize, BytesAhead int
	ExpectedTime            time.Duration
}

// Review turns a decision that assigns a target to a new flow into a refusal if the link is too
// busy, and returns all other decisions unchanged. A retransmitted opening packet is not refused if
// an earlier copy was forwarded, because the answer to that copy may be under way.
func (admission *Admission) Review(segment steer.Segment, decision steer.Decision, now time.Time) steer.Decision {
	assignsTarget := decision.Action == steer.Forward && decision.Reason == steer.ReasonChosen
	if !assignsTarget || segment.AlreadyForwarded {
		return decision
	}
	if wait := admission.link.ShortWait(); admission.options.ObjectiveShare > 0 && wait > maxShortWait {
		return decision.RefuseForLink(wait)
	}
	verdict := admission.Decide(segment.Service, decision.Objective, now)
	if !verdict.Refused {
		return decision
	}
	return decision.RefuseForLink(verdict.ExpectedTime)
}

// Decide decides about a new flow of a route. The objective is zero if the route has none; then the
// flow is accepted.
func (admission *Admission) Decide(route netip.AddrPort, objective time.Duration, now time.Time) Verdict {
	verdict := Verdict{TypicalSize: admission.sizes.Typical(route)}
	if admission.options.BytesPerSecond == 0 || admission.options.ObjectiveShare == 0 || objective == 0 || verdict.TypicalSize <= requests.LongRequestBytes {
		return verdict
	}
	idle := admission.link.Idle()
	admission.visitOpen(func(progress requests.Progress) {
		if idle && now.Sub(progress.LastAt) > inactiveAfter {
			return
		}
		verdict.BytesAhead += admission.remaining(progress)
	})
	verdict.ExpectedTime = admission.transmissionTime(verdict.BytesAhead + verdict.TypicalSize)
	wait := admission.transmissionTime(verdict.BytesAhead)
	verdict.Refused = wait > 0 && wait > admission.allowedWait(verdict.TypicalSize, objective)
	admission.refusedShare.Note(verdict.Refused)
	return verdict
}

// allowedWait returns how long a long request of a given size may wait for the open ones. This is
// the rest of its share of the objective while few requests are refused, and decreases to
// minAllowedWait as the share of refused ones grows. A refused caller finds another balancer as
// long as most have spare capacity. Where most links are saturated, a link that accepts several
// requests at once transmits much of their data twice, makes all of them miss their objective,
// and refuses the next ones anyway. With uploads at nine tenths of the capacity of all links,
// this rule serves 821 to 955 of some 1,600 uploads within their objective instead of 694 to 801
// (docs/design/shifted-work.md, round 3).
func (admission *Admission) allowedWait(size int, objective time.Duration) time.Duration {
	objectiveWait := time.Duration(admission.options.ObjectiveShare*float64(objective)) - admission.transmissionTime(size)
	factor := (highRefusedShare - admission.refusedShare.Value()) / (highRefusedShare - lowRefusedShare)
	factor = min(max(factor, 0), 1)
	return max(time.Duration(factor*float64(objectiveWait)), min(minAllowedWait, objectiveWait))
}

// maxShortWait is how long datagrams of short flows may wait for the link before new flows are
// refused. It is half of the senders' retransmission timeout. A wait as long as that timeout would
// make the link transmit everything twice, and open flows would suffer along with new ones. A
// refusal costs the link one small datagram, a flow about ten.
const maxShortWait = 100 * time.Millisecond

// transmissionTime returns how long the link takes to transmit a number of bytes.
func (admission *Admission) transmissionTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / admission.options.BytesPerSecond * float64(time.Second))
}

// inactiveAfter is how long after its latest packet a long request is considered inactive if the
// queue of the link is empty. Its sender would have retransmitted unacknowledged data by then, so
// either its caller is gone or routers now send its packets another way. When inactive requests
// were still counted, uploads were refused on an idle link for up to two seconds. Without this
// rule, about 7 in 100 fewer uploads are served where most links are saturated
// (docs/design/shifted-work.md, round 3).
const inactiveAfter = 300 * time.Millisecond

const (
	// minAllowedWait is the wait that is always allowed: if the link needs no longer than this
	// for all open long requests, the next one is accepted, unless its objective leaves even less
	// time. It corresponds to the window of one sender, 16 full packets, on a link of 2 Mbit/s,
	// so that the link does not go idle before the data of the next request arrives.
	minAllowedWait = 80 * time.Millisecond
	// refusedWeight is the weight of a new long request in refusedShare. A balancer with a
	// saturated link receives about five a second, so the share follows the load within two
	// seconds.
	refusedWeight = 0.15
	// Up to lowRefusedShare a request may wait as long as its objective allows. From
	// highRefusedShare on it may only wait for minAllowedWait. In between, the allowed wait
	// decreases linearly.
	lowRefusedShare  = 0.2
	highRefusedShare = 0.4
)

// minRemaining is the number of bytes that a long request is assumed to still send once it has
// reached the usual size of its route: half of a sender's window.
const minRemaining = requests.LongRequestBytes

// remaining returns how many bytes an open request is expected to still send; zero if it is short
// or complete.
func (admission *Admission) remaining(progress requests.Progress) int {
	typical := admission.sizes.Typical(progress.Route)
	if progress.Complete || max(typical, progress.ReceivedBytes) <= requests.LongRequestBytes {
		return 0
	}
	return max(typical-progress.ReceivedBytes, minRemaining)
}
