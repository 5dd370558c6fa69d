package claim

import (
	"maps"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Options are the dependencies of a Tracker.
type Options struct {
	Agent model.NodeName
	// Incarnation must be the one that the agent's heartbeats carry.
	Incarnation model.Incarnation
	Mailbox     *protocol.Mailbox
	// Replies is the queue of received protocol.ClaimReply messages.
	Replies *board.Queue[protocol.Envelope]
	Relay   RelayNamer
}

// Tracker follows the claims of one agent. Its methods may be called
// concurrently and do not wait.
//
// Invariants:
//
//   - At most one claim per key is open at this agent. A second request with
//     the same key is answered with ClaimInProgress, or with ClaimMismatch if
//     its fingerprint differs.
//   - A claim that ended without a run is reported as not run until that is
//     confirmed, even if the grant arrives after the claim was given up.
//   - A claim whose grant was returned to the caller is never reported as not
//     run, unless the caller calls Release.
type Tracker struct {
	options Options

	lock sync.Mutex
	// correlation is that of the latest claim.
	correlation uint64
	// entries are the claims by correlation.
	entries map[uint64]*entry
	// openByKey has, for each key, the correlation of the claim that is in
	// phaseRequested or phaseGranted.
	openByKey map[protocol.ClaimKey]uint64
}

// NewTracker returns a Tracker that has no claims.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		options:   options,
		entries:   make(map[uint64]*entry),
		openByKey: make(map[protocol.ClaimKey]uint64),
	}
}

// Name implements board.Controller.
func (tracker *Tracker) Name() string { return "claims" }

// Claim asks for the right to run the request with the given key and
// fingerprint. It calls done once, with the answer, or with ClaimUnavailable at
// the deadline; done must not block. Claim returns the claim's correlation, which
// Abandon needs, or zero when it has called done already.
func (tracker *Tracker) Claim(now time.Time, key protocol.ClaimKey, fingerprint uint64, deadline time.Time, done func(Answer)) uint64 {
	tracker.lock.Lock()
	if refusal, refused := tracker.answerLocally(key, fingerprint); refused {
		tracker.lock.Unlock()
		done(refusal)
		return 0
	}
	defer tracker.lock.Unlock()
	tracker.correlation++
	requested := &entry{
		request: protocol.ClaimRequest{
			Correlation: tracker.correlation,
			Key:         key,
			Fingerprint: fingerprint,
			Agent:       tracker.options.Agent,
			Incarnation: tracker.options.Incarnation,
		},
		phase:     phaseRequested,
		claimedAt: now,
		deadline:  deadline,
		done:      done,
		nextSend:  now,
	}
	tracker.entries[tracker.correlation] = requested
	tracker.openByKey[key] = tracker.correlation
	tracker.send(now, requested)
	return tracker.correlation
}

// answerLocally returns the answer to a claim that need not be sent, and reports
// whether there is one.
func (tracker *Tracker) answerLocally(key protocol.ClaimKey, fingerprint uint64) (Answer, bool) {
	if correlation, exists := tracker.openByKey[key]; exists {
		if tracker.entries[correlation].request.Fingerprint != fingerprint {
			return Answer{State: protocol.ClaimMismatch}, true
		}
		return Answer{State: protocol.ClaimInProgress}, true
	}
	if len(tracker.entries) >= MaximumPending {
		return Answer{State: protocol.ClaimUnavailable}, true
	}
	return Answer{}, false
}

// Abandon ends a claim whose caller no longer waits for the answer; done is then
// not called. It does nothing when the claim was answered already.
func (tracker *Tracker) Abandon(now time.Time, correlation uint64) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if requested, exists := tracker.entries[correlation]; exists && requested.phase == phaseRequested {
		tracker.startReport(now, requested, tracker.notRunOutcome(requested))
	}
}

// Release reports to control that the request of a grant was not run.
func (tracker *Tracker) Release(now time.Time, grant Grant) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if granted, exists := tracker.entries[grant.Correlation]; exists && granted.phase == phaseGranted {
		tracker.startReport(now, granted, tracker.notRunOutcome(granted))
	}
}

// Record reports to control the outcome of a request that ran.
func (tracker *Tracker) Record(now time.Time, grant Grant, outcome protocol.ClaimOutcome) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	granted, exists := tracker.entries[grant.Correlation]
	if !exists || granted.phase != phaseGranted {
		return
	}
	outcome.Correlation = granted.request.Correlation
	outcome.Key = granted.request.Key
	outcome.Agent = granted.request.Agent
	outcome.Incarnation = granted.request.Incarnation
	outcome.NotRun = false
	tracker.startReport(now, granted, outcome)
}

// Forget ends a claim whose request may have run, but whose outcome is unknown.
// It sends nothing: the key stays taken at the control group, so that the request
// does not run again.
func (tracker *Tracker) Forget(grant Grant) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if granted, exists := tracker.entries[grant.Correlation]; exists && granted.phase == phaseGranted {
		tracker.remove(granted)
	}
}

// Unreported returns the number of claims whose report is not confirmed yet.
func (tracker *Tracker) Unreported() int {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	count := 0
	for _, pending := range tracker.entries {
		if pending.phase == phaseReporting {
			count++
		}
	}
	return count
}

// Reconcile implements board.Controller.
func (tracker *Tracker) Reconcile(now time.Time) {
	for _, due := range tracker.advance(now) {
		due.done(due.answer)
	}
}

// callback is a call of a claim's done that is due.
type callback struct {
	done   func(Answer)
	answer Answer
}

// advance handles received replies, resends and deadlines under the lock. It
// returns the callbacks to call after the lock is released.
func (tracker *Tracker) advance(now time.Time) []callback {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	var results []callback
	for _, envelope := range tracker.options.Replies.Drain() {
		reply, isReply := envelope.Message.(protocol.ClaimReply)
		if !isReply || reply.Agent != tracker.options.Agent {
			continue
		}
		results = append(results, tracker.receive(now, reply)...)
	}
	for _, correlation := range slices.Sorted(maps.Keys(tracker.entries)) {
		results = append(results, tracker.advanceEntry(now, tracker.entries[correlation])...)
	}
	return results
}

// advanceEntry handles the deadline and the resends of one claim.
func (tracker *Tracker) advanceEntry(now time.Time, pending *entry) []callback {
	switch pending.phase {
	case phaseRequested:
		if !now.Before(pending.deadline) {
			done := pending.done
			tracker.startReport(now, pending, tracker.notRunOutcome(pending))
			return []callback{{done: done, answer: Answer{State: protocol.ClaimUnavailable}}}
		}
		tracker.send(now, pending)
	case phaseReporting:
		if !now.Before(pending.deadline) {
			tracker.remove(pending)
			return nil
		}
		tracker.send(now, pending)
	}
	return nil
}

// receive handles one reply.
func (tracker *Tracker) receive(now time.Time, reply protocol.ClaimReply) []callback {
	pending, exists := tracker.entries[reply.Correlation]
	switch {
	case !exists:
		// The claim has ended: it got no grant, its grant was used, or its
		// report was confirmed or timed out. After a confirmed release the
		// control group refuses late copies of the claim.
		return nil
	case pending.phase == phaseRequested:
		return tracker.handleClaimReply(pending, reply)
	case pending.phase == phaseReporting && confirmsReport(reply):
		tracker.remove(pending)
	}
	return nil
}

// confirmsReport reports whether a reply ends a report: the report is recorded, or
// it never can be because another holder has the key.
func confirmsReport(reply protocol.ClaimReply) bool {
	return reply.State == protocol.ClaimCompleted || reply.State == protocol.ClaimMismatch
}

// handleClaimReply handles the reply to a claim in phaseRequested.
func (tracker *Tracker) handleClaimReply(requested *entry, reply protocol.ClaimReply) []callback {
	result := Answer{State: reply.State, Outcome: reply.Outcome}
	done := requested.done
	switch reply.State {
	case protocol.ClaimGranted:
		requested.phase = phaseGranted
		requested.done = nil
		result.Grant = Grant{
			Correlation: requested.request.Correlation,
			Key:         requested.request.Key,
			StartBefore: requested.claimedAt.Add(reply.GrantedFor - grantMargin),
		}
	case protocol.ClaimUnavailable:
		// The leader did not confirm the claim, but it may still be
		// committed later. The claim is resent until the deadline.
		return nil
	default:
		tracker.remove(requested)
	}
	return []callback{{done: done, answer: result}}
}

// notRunOutcome returns the report that the request of a claim was not run.
func (tracker *Tracker) notRunOutcome(pending *entry) protocol.ClaimOutcome {
	return protocol.ClaimOutcome{
		Correlation: pending.request.Correlation,
		Key:         pending.request.Key,
		Agent:       pending.request.Agent,
		Incarnation: pending.request.Incarnation,
		NotRun:      true,
	}
}

// startReport moves a claim to phaseReporting and sends its outcome.
func (tracker *Tracker) startReport(now time.Time, pending *entry, outcome protocol.ClaimOutcome) {
	pending.phase = phaseReporting
	pending.done = nil
	pending.outcome = outcome
	pending.deadline = now.Add(reportTimeout)
	pending.nextSend = now
	pending.interval = 0
	tracker.closeKey(pending)
	tracker.send(now, pending)
}

// closeKey lets the key of a claim be claimed again at this agent. The control
// group still refuses it until the report is recorded.
func (tracker *Tracker) closeKey(pending *entry) {
	if tracker.openByKey[pending.request.Key] == pending.request.Correlation {
		delete(tracker.openByKey, pending.request.Key)
	}
}

// remove ends a claim and deletes its entry.
func (tracker *Tracker) remove(pending *entry) {
	tracker.closeKey(pending)
	delete(tracker.entries, pending.request.Correlation)
}

// send sends the message of a claim's phase if there is a relay and the message
// is due.
func (tracker *Tracker) send(now time.Time, pending *entry) {
	relay := tracker.options.Relay.RelayName()
	if relay == "" || !pending.due(now) {
		return
	}
	if pending.phase == phaseReporting {
		tracker.options.Mailbox.Send(relay, pending.outcome)
		return
	}
	tracker.options.Mailbox.Send(relay, pending.request)
}
