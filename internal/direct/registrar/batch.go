package registrar

import (
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// Registrations in batches. The load it answers is that of thousands of targets which start
// together, as after a loss of power: one by one, each is a message to the leader, an entry
// of the log, and a message to every member, so that the leader's work grows with targets
// times members. A leader that is late then makes it worse, because targets whose answers
// do not come call another member, and are proposed once more.
//
// A member has one batch under way and folds all that comes meanwhile into the next one. The
// leader's work is so bounded by the members and its own pace, whatever the number of
// targets: a slow leader gets larger batches, not more of them.
const (
	// batchTargets bounds the registrations of one batch, some 100 bytes each: an entry of
	// the log that a link of 10 Mbit/s takes within 20 ms.
	batchTargets = 256
	// batchPatience is how long a batch may be under way before another one may follow it:
	// several times what a calm group needs to commit one, and a quarter of the time that a
	// caller waits, so that a batch that was lost on its way does not take that time from
	// those behind it.
	batchPatience = 200 * time.Millisecond
)

// registration is a target's call that is to be committed.
type registration struct {
	stated   directory.Target
	deadline time.Time
	done     func(directory.Token, error)
	ended    bool
}

// end tells the outcome, once.
func (registration *registration) end(token directory.Token, err error) {
	if !registration.ended {
		registration.ended = true
		registration.done(token, err)
	}
}

// batch is registrations that are proposed as one command.
type batch struct {
	registrations []*registration
}

// command returns the command that commits the batch.
func (batch *batch) command() directory.Command {
	targets := make([]directory.Target, 0, len(batch.registrations))
	for _, waiting := range batch.registrations {
		targets = append(targets, waiting.stated)
	}
	return directory.Command{RegisterAll: &directory.Registrations{Targets: targets}}
}

// deadline is the latest deadline of the batch: those that end earlier leave it by
// themselves.
func (batch *batch) deadline() time.Time {
	var latest time.Time
	for _, waiting := range batch.registrations {
		if waiting.deadline.After(latest) {
			latest = waiting.deadline
		}
	}
	return latest
}

// end tells all registrations of the batch their outcome.
func (batch *batch) end(result directory.Result, err error) {
	if err == nil && len(result.Tokens) != len(batch.registrations) {
		err = faults.New(faults.OutcomeUnknown, "the outcome has %d tokens for %d targets", len(result.Tokens), len(batch.registrations))
	}
	for place, waiting := range batch.registrations {
		var token directory.Token
		if err == nil {
			token = result.Tokens[place]
		}
		waiting.end(token, err)
	}
}

// batches decides which registrations are proposed together, and when. It is for one
// goroutine.
type batches struct {
	waiting  []*registration
	underWay []*batch
	// begunAt is when the latest batch began.
	begunAt time.Time
}

// add takes a registration in. Targets that leave go first: their flows are moved only once
// that is committed, while one that comes may wait.
func (batches *batches) add(added *registration) {
	if added.stated.State != directory.TargetDraining {
		batches.waiting = append(batches.waiting, added)
		return
	}
	place := slices.IndexFunc(batches.waiting, func(other *registration) bool {
		return other.stated.State != directory.TargetDraining
	})
	if place < 0 {
		place = len(batches.waiting)
	}
	batches.waiting = slices.Insert(batches.waiting, place, added)
}

// next returns the batch to propose now, or nil.
func (batches *batches) next(now time.Time) *batch {
	if len(batches.waiting) == 0 || len(batches.underWay) > 0 && now.Sub(batches.begunAt) < batchPatience {
		return nil
	}
	count := min(len(batches.waiting), batchTargets)
	begun := &batch{registrations: slices.Clone(batches.waiting[:count])}
	batches.waiting = slices.Delete(batches.waiting, 0, count)
	batches.underWay = append(batches.underWay, begun)
	batches.begunAt = now
	return begun
}

// settle takes in that a batch ended.
func (batches *batches) settle(ended *batch) {
	batches.underWay = slices.DeleteFunc(batches.underWay, func(other *batch) bool { return other == ended })
}

// expire ends the registrations whose time is over. Those that were not proposed yet never
// will be: their callers have gone elsewhere.
func (batches *batches) expire(now time.Time) {
	batches.waiting = slices.DeleteFunc(batches.waiting, func(waiting *registration) bool {
		over := !now.Before(waiting.deadline)
		if over {
			waiting.end(0, errNotTried)
		}
		return over
	})
	for _, begun := range batches.underWay {
		for _, waiting := range begun.registrations {
			if !now.Before(waiting.deadline) {
				waiting.end(0, errNoAnswer)
			}
		}
	}
}
