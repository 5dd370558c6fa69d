// Package requests tracks the requests on a balancer's flows. It derives them from the packets of
// the callers, because the packets of the targets bypass the balancer.
//
// A request begins when an opening packet is forwarded to a target, because the request's data
// follows soon, or with the first data of an open flow. It is answered when the caller acknowledges
// data that the target sent after the request. It is unanswered when the caller ends the flow before
// that or receives no answer within a timeout.
//
// Watcher is safe for concurrent use: flows are kept in shards, each under its own lock. Listeners
// are notified of each request's beginning and of exactly one ending for it. In between they are
// notified while more data of a long request is expected, and while a request's latest packet waits
// in the queue for the balancer's link.
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
	// maxTrackedFlows bounds the flows with an open request that are tracked at a time. Requests
	// of further flows are not tracked.
	maxTrackedFlows = 2048
	// AnswerTimeout is how long a request may stay open before it counts as unanswered. It is far
	// above the time of a request at a busy target.
	AnswerTimeout = time.Second
	// receiveIdleTimeout is how long a long request may send no data at all while more is
	// expected: senders retransmit unacknowledged data after 1.6 s at the most.
	receiveIdleTimeout = 2 * time.Second
	// receiveStallTimeout is how long it may send no new data. It is longer than AnswerTimeout,
	// because long requests wait for each other on a narrow link.
	receiveStallTimeout = 5 * time.Second
	// openingTimeout is how long after its opening packet a flow may send no data before its
	// request counts as withdrawn: the last copy of the opening packet was sent by then.
	openingTimeout = 700 * time.Millisecond
)

// Target identifies the target that a request was forwarded to.
type Target struct {
	Token directory.Token
	ID    directory.TargetID
	// Service is the name of the target's service.
	Service string
	// Capacity is the number of requests that the target serves concurrently.
	Capacity int
}

// Ending is how a request ended.
type Ending uint8

// The endings.
const (
	// Answered: the caller acknowledged data of the target.
	Answered Ending = iota
	// Unanswered: the caller ended the flow without an answer, or the request timed out: after
	// AnswerTimeout, or after receiveIdleTimeout or receiveStallTimeout while more data of a long
	// request is expected.
	Unanswered
	// Withdrawn: the request was forwarded to another target, the flow did not open or moved to
	// another balancer, or the request never left this balancer. It says nothing about the target.
	Withdrawn
)

// Listener is notified of requests. Its methods must return at once and must not call the watcher.
type Listener interface {
	// Began reports that a request was forwarded to the target, or will be soon because its flow
	// opens.
	Began(target Target, now time.Time)
	// Ended reports how a request ended, exactly once for each that began. took is the time since
	// its latest new data, or since its opening packet if it sent none: while data is still being
	// received, the link takes the time and not the target.
	Ended(target Target, ending Ending, took time.Duration)
	// Receiving reports that more data of a request that began is expected, so that the target
	// does not work on it yet, or that this no longer holds.
	Receiving(target Target, receiving bool)
	// Waiting reports that the latest packet of a request that began waits in the queue for the
	// balancer's link, so that the target has not received it, or that this no longer holds. It
	// is not called while more data of the request is expected.
	Waiting(target Target, waiting bool)
	// SequenceChecked reports whether a data packet of a sampled flow was contiguous with the
	// earlier ones. If it was not, data in between may have passed through another balancer.
	SequenceChecked(contiguous bool)
}

// flowKey identifies a flow by its two ends.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

func keyOf(segment steer.Segment) flowKey {
	return flowKey{caller: segment.Caller, service: segment.Service}
}

// request is the open request of a tracked flow.
type request struct {
	target Target
	// previousTarget is the target of an earlier opening packet of the flow; zero without one.
	previousTarget directory.Token
	// hasData is true once data was forwarded; until then the flow is only opening.
	hasData bool
	// acknowledged is the caller's acknowledgement number in the first data packet.
	acknowledged uint32
	// content is the data forwarded so far.
	content content
	// progressAt is when the opening packet or the latest new data was forwarded, or left the
	// queue for the balancer's link if it had to wait. lastDataAt is when the latest data was
	// forwarded, including retransmissions.
	progressAt time.Time
	lastDataAt time.Time
	// queued is true while the opening packet or the latest new data waits in the queue for the
	// balancer's link.
	queued bool
}

// lastAt returns when the latest packet of the request was forwarded.
func (open *request) lastAt() time.Time {
	if open.lastDataAt.After(open.progressAt) {
		return open.lastDataAt
	}
	return open.progressAt
}

// overdue reports whether the request has timed out, and returns how it ends in that case.
func (open *request) overdue(now time.Time) (Ending, bool) {
	switch {
	case open.content.receiving():
		return Unanswered, now.Sub(open.lastDataAt) >= receiveIdleTimeout || now.Sub(open.progressAt) >= receiveStallTimeout
	case open.hasData:
		return open.abandonedEnding(), now.Sub(open.progressAt) >= AnswerTimeout
	}
	return Withdrawn, now.Sub(open.progressAt) >= openingTimeout
}

// shard holds a part of the flows.
type shard struct {
	lock     sync.Mutex
	requests map[flowKey]request
	samples  map[flowKey]sample
	// fingerprints holds the fingerprints of known flows, in the slots of their low bits.
	fingerprints [fingerprintSlots]uint32
}

// Watcher is the controller that tracks requests.
type Watcher struct {
	listeners []Listener
	shards    [shardCount]shard
	sizes     SizeObserver
	answers   AnswerObserver
	moves     moveDetector
}

// NewWatcher returns a watcher that notifies the listeners.
func NewWatcher(listeners ...Listener) *Watcher {
	watcher := &Watcher{listeners: listeners, sizes: noSizes{}, answers: noAnswers{}}
	for index := range watcher.shards {
		watcher.shards[index].requests = make(map[flowKey]request)
		watcher.shards[index].samples = make(map[flowKey]sample)
	}
	return watcher
}

// shard returns the shard of a flow. Callers use ports in sequence, so the low bits are evenly
// distributed.
func (watcher *Watcher) shard(key flowKey) *shard {
	address := key.caller.Addr().As16()
	return &watcher.shards[(uint(key.caller.Port())+uint(address[15]))%shardCount]
}

// OpeningForwarded records that an opening packet was forwarded to target.
func (watcher *Watcher) OpeningForwarded(segment steer.Segment, target Target, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.rememberFlow(key)
	open, known := shard.requests[key]
	switch {
	case known && open.target == target:
		return
	case known:
		watcher.end(shard, key, open, Withdrawn, now)
	case len(shard.requests) >= maxTrackedFlows/shardCount:
		return
	}
	watcher.begin(shard, key, request{target: target, previousTarget: open.target.Token, progressAt: now}, now)
}

// PreviousTargets returns the targets that the last opening packets of the segment's flow were
// forwarded to, the latest first, as far as they are known. seen reports whether a request of the
// flow is open here: an earlier copy was forwarded, and the flow may have opened.
func (watcher *Watcher) PreviousTargets(segment steer.Segment) (targets [steer.TrackedAttempts]directory.Token, seen bool) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	open, known := shard.requests[key]
	if !known || open.hasData {
		return targets, known
	}
	return [steer.TrackedAttempts]directory.Token{open.target.Token, open.previousTarget}, true
}

// PacketForwarded records that a packet was forwarded to the target of an open flow.
func (watcher *Watcher) PacketForwarded(segment steer.Segment, target Target, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if contiguous, checked := shard.checkSequence(key, segment, now); checked {
		watcher.notifySequence(contiguous)
	}
	open, known := shard.requests[key]
	if known && open.target != target {
		watcher.end(shard, key, open, Withdrawn, now)
		known = false
	}
	switch {
	case known && open.hasData && int32(segment.Acknowledgement-open.acknowledged) > 0:
		watcher.answers.AnswerStarted(Answer{
			Target: target, Route: key.service, Latency: now.Sub(open.progressAt), Bytes: int(segment.Acknowledgement - open.acknowledged),
		})
		watcher.end(shard, key, open, Answered, now)
		known = false
	case known && (segment.Abort || segment.Closing):
		watcher.end(shard, key, open, open.abandonedEnding(), now)
		return
	}
	if segment.HasData && !segment.Abort {
		watcher.recordData(shard, key, open, known, target, segment, now)
	}
}

// abandonedEnding returns the ending of a request that is no longer waited for. A request that
// never left the balancer says nothing about its target.
func (open *request) abandonedEnding() Ending {
	if open.hasData && !open.queued {
		return Unanswered
	}
	return Withdrawn
}

// recordData records data of a request, which begins with the first data unless the opening packet
// began it already.
func (watcher *Watcher) recordData(shard *shard, key flowKey, open request, known bool, target Target, segment steer.Segment, now time.Time) {
	if known && open.hasData {
		watcher.recordMoreData(shard, key, open, segment, now)
		return
	}
	if remembered := shard.rememberFlow(key); !known {
		watcher.moves.record(!remembered, now)
	}
	if !known && len(shard.requests) >= maxTrackedFlows/shardCount {
		return
	}
	updated := request{
		target: target, hasData: true, acknowledged: segment.Acknowledgement, content: newContent(segment),
		progressAt: now, lastDataAt: now,
	}
	if known {
		shard.requests[key] = updated
		watcher.notifyTransition(open.target, open.stage(), updated.stage())
		return
	}
	watcher.begin(shard, key, updated, now)
}

// recordMoreData records further data of a request. Retransmitted data counts as activity, not as
// progress.
func (watcher *Watcher) recordMoreData(shard *shard, key flowKey, open request, segment steer.Segment, now time.Time) {
	before := open.stage()
	open.lastDataAt = now
	if open.content.add(segment) {
		open.progressAt = now
		open.queued = false
	}
	shard.requests[key] = open
	if open.content.receiving() {
		watcher.sizes.RequestGrowing(key.service, int(open.content.received()))
	}
	watcher.notifyTransition(open.target, before, open.stage())
}

// begin adds an open request and notifies the listeners.
func (watcher *Watcher) begin(shard *shard, key flowKey, open request, now time.Time) {
	shard.requests[key] = open
	for _, listener := range watcher.listeners {
		listener.Began(open.target, now)
	}
}

// end removes an open request and notifies the observers and listeners.
func (watcher *Watcher) end(shard *shard, key flowKey, open request, ending Ending, now time.Time) {
	delete(shard.requests, key)
	watcher.notifyTransition(open.target, open.stage(), atTarget)
	if ending == Answered {
		watcher.sizes.RequestCompleted(key.service, int(open.content.received()))
	}
	for _, listener := range watcher.listeners {
		listener.Ended(open.target, ending, now.Sub(open.progressAt))
	}
}

func (watcher *Watcher) notifySequence(contiguous bool) {
	for _, listener := range watcher.listeners {
		listener.SequenceChecked(contiguous)
	}
}

// Name implements board.Controller.
func (watcher *Watcher) Name() string { return "requests" }

// Reconcile implements board.Controller. It ends requests that have timed out, and withdraws those
// that have continued through other balancers since routers moved their flows.
func (watcher *Watcher) Reconcile(now time.Time) {
	movedAt := watcher.moves.lastMove()
	for index := range watcher.shards {
		watcher.sweep(&watcher.shards[index], movedAt, now)
	}
}

// sweep ends the requests of one shard that have timed out or whose latest packet came before movedAt.
func (watcher *Watcher) sweep(shard *shard, movedAt, now time.Time) {
	shard.lock.Lock()
	defer shard.lock.Unlock()
	shard.removeIdleSamples(now)
	for key, open := range shard.requests {
		if open.lastAt().Before(movedAt) {
			watcher.end(shard, key, open, Withdrawn, now)
			continue
		}
		if ending, overdue := open.overdue(now); overdue {
			watcher.end(shard, key, open, ending, now)
		}
	}
}
