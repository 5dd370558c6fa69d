package registrar

import (
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// Registrations are committed in batches. The case that matters is thousands of targets that
// start at once, for example after a power failure. Committed one by one, each registration
// costs a message to the leader, a log entry and a message to every member, so the leader's
// work grows with targets times members. An overloaded leader then makes it worse: targets
// that get no answer in time call another member, and their registrations are proposed again.
//
// Each member has one batch in flight and collects all registrations that arrive meanwhile in
// the next one. The leader's work is thereby bounded by the number of members and by its own
// pace, whatever the number of targets: a slow leader gets larger batches, not more of them.
const (
	// maxBatchTargets bounds the registrations of one batch. At about 100 bytes each, the log
	// entry takes about 20 ms on a link of 10 Mbit/s.
	maxBatchTargets = 256
	// batchStallTimeout is how long a batch in flight holds back the next one. It is several
	// times the commit time of an unloaded group, and a quarter of the time that a caller
	// waits, so that a lost batch doesn't use up the deadlines of the registrations queued
	// behind it.
	batchStallTimeout = 200 * time.Millisecond
)

// registration is a target's registration that has to be committed.
type registration struct {
	target    directory.Target
	deadline  time.Time
	done      func(directory.Token, error)
	completed bool
}

// complete calls done with the outcome. Only the first call has an effect.
func (registration *registration) complete(token directory.Token, err error) {
	if !registration.completed {
		registration.completed = true
		registration.done(token, err)
	}
}

// batch holds registrations that are proposed as one command.
type batch struct {
	registrations []*registration
}

// command returns the command that commits the batch.
func (batch *batch) command() directory.Command {
	targets := make([]directory.Target, 0, len(batch.registrations))
	for _, entry := range batch.registrations {
		targets = append(targets, entry.target)
	}
	return directory.Command{RegisterAll: &directory.Registrations{Targets: targets}}
}

// deadline returns the latest deadline of the batch. Registrations with an earlier deadline
// are completed by batchQueue.expire.
func (batch *batch) deadline() time.Time {
	var latest time.Time
	for _, entry := range batch.registrations {
		if entry.deadline.After(latest) {
			latest = entry.deadline
		}
	}
	return latest
}

// complete reports the outcome to all registrations of the batch. A result without exactly
// one token per registration counts as an unknown outcome.
func (batch *batch) complete(result directory.Result, err error) {
	if err == nil && len(result.Tokens) != len(batch.registrations) {
		err = faults.New(faults.ProposalOutcomeUnknown, "the result has %d tokens for %d targets", len(result.Tokens), len(batch.registrations))
	}
	for index, entry := range batch.registrations {
		var token directory.Token
		if err == nil {
			token = result.Tokens[index]
		}
		entry.complete(token, err)
	}
}

// batchQueue decides which registrations are proposed together, and when. It is not safe for
// concurrent use.
type batchQueue struct {
	queued   []*registration
	inFlight []*batch
	// latestBegunAt is when the latest batch was started.
	latestBegunAt time.Time
}

// add queues a registration. Draining targets go ahead of all others: their flows are moved
// only once the draining state is committed, while a new target can wait.
func (queue *batchQueue) add(added *registration) {
	if added.target.State != directory.TargetDraining {
		queue.queued = append(queue.queued, added)
		return
	}
	index := slices.IndexFunc(queue.queued, func(other *registration) bool {
		return other.target.State != directory.TargetDraining
	})
	if index < 0 {
		index = len(queue.queued)
	}
	queue.queued = slices.Insert(queue.queued, index, added)
}

// next returns the batch to propose now, or nil when nothing is queued or a batch in flight
// has not reached batchStallTimeout yet.
func (queue *batchQueue) next(now time.Time) *batch {
	if len(queue.queued) == 0 || len(queue.inFlight) > 0 && now.Sub(queue.latestBegunAt) < batchStallTimeout {
		return nil
	}
	count := min(len(queue.queued), maxBatchTargets)
	proposed := &batch{registrations: slices.Clone(queue.queued[:count])}
	queue.queued = slices.Delete(queue.queued, 0, count)
	queue.inFlight = append(queue.inFlight, proposed)
	queue.latestBegunAt = now
	return proposed
}

// remove takes a finished batch off the list of batches in flight.
func (queue *batchQueue) remove(finished *batch) {
	queue.inFlight = slices.DeleteFunc(queue.inFlight, func(other *batch) bool { return other == finished })
}

// expire completes the registrations whose deadline has passed. Those that are still queued
// are dropped without being proposed, because their callers have gone to another member.
func (queue *batchQueue) expire(now time.Time) {
	queue.queued = slices.DeleteFunc(queue.queued, func(entry *registration) bool {
		expired := !now.Before(entry.deadline)
		if expired {
			entry.complete(0, errExpiredUnproposed)
		}
		return expired
	})
	for _, proposed := range queue.inFlight {
		for _, entry := range proposed.registrations {
			if !now.Before(entry.deadline) {
				entry.complete(0, errLeaderTimeout)
			}
		}
	}
}
