// Package requests follows the requests of a balancer's flows from the packets
// of their callers, which are all that a balancer sees.
//
// A request begins at a target when an opening packet goes there, because a
// request follows soon, or with the first data of an open flow. It is answered
// when the caller acknowledges data of the target after it. A caller that ends
// the flow before, or that hears nothing for long, was not answered.
//
// Watcher is safe for many goroutines: flows are kept in shards, each under its
// own lock. Listeners learn of each beginning and of exactly one ending for it, and
// of long requests whether their data still comes, and of those whose packet waits in front
// of the balancer's link until it leaves.
package requests

import (
	"net/netip"
	"sync"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
)

const (
	// shardCount is the number of shards; a power of two.
	shardCount = 16
	// flowsKept bounds the flows with an open request that are watched at a
	// time; others are not followed.
	flowsKept = 2048
	// HangAfter is how long a request may go unanswered before it counts so. It
	// is far above the time of a request on a busy target.
	HangAfter = time.Second
	// receivingRests is how long a long request may bring nothing while its data
	// still comes: senders repeat what was not acknowledged after 1.6 s at the most.
	receivingRests = 2 * time.Second
	// receivingHangs is how long it may bring nothing new. Long requests wait for
	// each other on a narrow link, so that this is longer than for others.
	receivingHangs = 5 * time.Second
	// placedFor is how long after its opening packet a flow may bring no data
	// before its request counts as withdrawn: the last copy of the opening packet
	// was sent by then.
	placedFor = 700 * time.Millisecond
)

// Target names the target that a request is at.
type Target struct {
	Token directory.Token
	ID    directory.TargetID
	// Service is the target's service.
	Service string
	// Capacity is the number of requests that the target works on at once.
	Capacity int
}

// Ending tells how a request ended.
type Ending uint8

// The endings.
const (
	// Answered: the caller acknowledged data of the target.
	Answered Ending = iota
	// Unanswered: the caller gave up, or heard nothing for HangAfter.
	Unanswered
	// Withdrawn: the request went to another target, or the flow did not open.
	Withdrawn
)

// Listener is told of requests. Its methods must return at once and must not
// call the watcher.
type Listener interface {
	// Began is told that a request is at the target from now on, or comes soon.
	Began(target Target, now time.Time)
	// Ended is told how a request ended, once for each that began. took is the
	// time since its latest new data, or since its opening packet when none came:
	// while data still comes, it is the link that takes time and not the target.
	Ended(target Target, ending Ending, took time.Duration)
	// Receiving is told that the data of a request which began still comes, so
	// that the target does not work on it yet, or that all of it came.
	Receiving(target Target, receiving bool)
	// Waiting is told that the latest packet of a request which began waits in front of
	// the balancer's link, so that the target has not got it, or that it left. It is
	// not told of requests whose data still comes.
	Waiting(target Target, waiting bool)
	// Continued is told of data of a flow that this balancer knew before: whole
	// tells that no data between went another way.
	Continued(whole bool)
}

// flowKey names a flow by its two ends.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

func keyOf(segment steer.Segment) flowKey {
	return flowKey{caller: segment.Caller, service: segment.Service}
}

// request is the open request of a watched flow.
type request struct {
	target Target
	// before is the target of an earlier opening packet of the flow; zero
	// without one.
	before directory.Token
	// asked tells that data was sent; until then the flow is only opening.
	asked bool
	// acknowledged is the caller's acknowledgement when it asked.
	acknowledged uint32
	// content is what was sent so far.
	content content
	// since is when the opening packet, or the latest new data, was sent on, and
	// seenAt when the latest data was, new or not.
	since  time.Time
	seenAt time.Time
	// waiting tells that the opening packet, or the latest new data, waits in front of the
	// balancer's link. since is when it left, once it did.
	waiting bool
}

// lastAt returns when the latest packet of the request was sent on.
func (open *request) lastAt() time.Time {
	if open.seenAt.After(open.since) {
		return open.seenAt
	}
	return open.since
}

// overdue tells whether the request has been open for too long, and how it ends
// then.
func (open *request) overdue(now time.Time) (Ending, bool) {
	switch {
	case open.content.receiving():
		return Unanswered, now.Sub(open.seenAt) >= receivingRests || now.Sub(open.since) >= receivingHangs
	case open.asked:
		return open.givenUp(), now.Sub(open.since) >= HangAfter
	}
	return Withdrawn, now.Sub(open.since) >= placedFor
}

// shard has a part of the flows.
type shard struct {
	lock     sync.Mutex
	requests map[flowKey]request
	samples  map[flowKey]sample
	// remembered has the fingerprints of known flows.
	remembered [flowsRemembered]uint32
}

// Watcher is the controller that follows requests.
type Watcher struct {
	listeners []Listener
	shards    [shardCount]shard
	sizes     SizeObserver
	answers   AnswerObserver
	moves     moves
}

// NewWatcher returns a watcher that tells the listeners.
func NewWatcher(listeners ...Listener) *Watcher {
	watcher := &Watcher{listeners: listeners, sizes: noSizes{}, answers: noAnswers{}}
	for index := range watcher.shards {
		watcher.shards[index].requests = make(map[flowKey]request)
		watcher.shards[index].samples = make(map[flowKey]sample)
	}
	return watcher
}

// shard returns the shard of a flow. Callers take ports in turn, so that their
// low bits spread.
func (watcher *Watcher) shard(key flowKey) *shard {
	address := key.caller.Addr().As16()
	return &watcher.shards[(uint(key.caller.Port())+uint(address[15]))%shardCount]
}

// Placed takes in that an opening packet was sent on to target.
func (watcher *Watcher) Placed(segment steer.Segment, target Target, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.remember(key)
	open, known := shard.requests[key]
	switch {
	case known && open.target == target:
		return
	case known:
		watcher.end(shard, key, open, Withdrawn, now)
	case len(shard.requests) >= flowsKept/shardCount:
		return
	}
	watcher.begin(shard, key, request{target: target, before: open.target.Token, since: now}, now)
}

// Tried returns the targets that the last opening packets of the segment's flow
// were sent on to, the latest first, as far as that is known. seen tells that a
// request of the flow is open here: a former copy was sent on, and the flow may have
// opened.
func (watcher *Watcher) Tried(segment steer.Segment) (tried [steer.TrackedAttempts]directory.Token, seen bool) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	open, known := shard.requests[key]
	if !known || open.asked {
		return tried, known
	}
	return [steer.TrackedAttempts]directory.Token{open.target.Token, open.before}, true
}

// Note takes in a packet that was sent on to the target of an open flow.
func (watcher *Watcher) Note(segment steer.Segment, target Target, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if whole, told := shard.check(key, segment, now); told {
		watcher.continued(whole)
	}
	open, known := shard.requests[key]
	if known && open.target != target {
		watcher.end(shard, key, open, Withdrawn, now)
		known = false
	}
	switch {
	case known && open.asked && int32(segment.Acknowledgement-open.acknowledged) > 0:
		watcher.answers.Came(Answer{
			Target: target, Route: key.service, Took: now.Sub(open.since), Bytes: int(segment.Acknowledgement - open.acknowledged),
		})
		watcher.end(shard, key, open, Answered, now)
		known = false
	case known && (segment.Abort || segment.Closing):
		watcher.end(shard, key, open, open.givenUp(), now)
		return
	}
	if segment.HasData && !segment.Abort {
		watcher.ask(shard, key, open, known, target, segment, now)
	}
}

// givenUp returns the ending of a request that is not waited for any longer. One that never
// left the balancer says nothing of its target.
func (open *request) givenUp() Ending {
	if open.asked && !open.waiting {
		return Unanswered
	}
	return Withdrawn
}

// ask notes data of a request. Data that is sent again changes nothing.
func (watcher *Watcher) ask(shard *shard, key flowKey, open request, known bool, target Target, segment steer.Segment, now time.Time) {
	if known && open.asked {
		watcher.askMore(shard, key, open, segment, now)
		return
	}
	if familiar := shard.remember(key); !known {
		watcher.moves.note(!familiar, now)
	}
	if !known && len(shard.requests) >= flowsKept/shardCount {
		return
	}
	asked := request{
		target: target, asked: true, acknowledged: segment.Acknowledgement, content: newContent(segment),
		since: now, seenAt: now,
	}
	if known {
		shard.requests[key] = asked
		watcher.tellMove(open.target, open.whereabouts(), asked.whereabouts())
		return
	}
	watcher.begin(shard, key, asked, now)
}

// askMore notes further data of a request. Data that is sent again was not taken
// and changes nothing.
func (watcher *Watcher) askMore(shard *shard, key flowKey, open request, segment steer.Segment, now time.Time) {
	before := open.whereabouts()
	open.seenAt = now
	if open.content.add(segment) {
		open.since = now
		open.waiting = false
	}
	shard.requests[key] = open
	if open.content.receiving() {
		watcher.sizes.Growing(key.service, int(open.content.brought()))
	}
	watcher.tellMove(open.target, before, open.whereabouts())
}

func (watcher *Watcher) begin(shard *shard, key flowKey, open request, now time.Time) {
	shard.requests[key] = open
	for _, listener := range watcher.listeners {
		listener.Began(open.target, now)
	}
}

func (watcher *Watcher) end(shard *shard, key flowKey, open request, ending Ending, now time.Time) {
	delete(shard.requests, key)
	watcher.tellMove(open.target, open.whereabouts(), atTarget)
	if ending == Answered {
		watcher.sizes.Whole(key.service, int(open.content.brought()))
	}
	for _, listener := range watcher.listeners {
		listener.Ended(open.target, ending, now.Sub(open.since))
	}
}

func (watcher *Watcher) continued(whole bool) {
	for _, listener := range watcher.listeners {
		listener.Continued(whole)
	}
}

// Name implements board.Controller.
func (watcher *Watcher) Name() string { return "requests" }

// Reconcile implements board.Controller. It ends requests that are overdue, and withdraws
// those that went on through other balancers since routers moved their flows.
func (watcher *Watcher) Reconcile(now time.Time) {
	movedAt := watcher.moves.last()
	for index := range watcher.shards {
		watcher.sweep(&watcher.shards[index], movedAt, now)
	}
}

func (watcher *Watcher) sweep(shard *shard, movedAt, now time.Time) {
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.dropRested(now)
	for key, open := range shard.requests {
		if open.lastAt().Before(movedAt) {
			watcher.end(shard, key, open, Withdrawn, now)
			continue
		}
		if ending, over := open.overdue(now); over {
			watcher.end(shard, key, open, ending, now)
		}
	}
}
