package admission

import (
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// minimumRetryAfter is the shortest Retry-After time of a refusal.
const minimumRetryAfter = 250 * time.Millisecond

// meetsDeadline reports whether a request at a position in the queue is expected to be
// answered by its deadline. A request that can start at once only needs a deadline in
// the future: otherwise an estimate that is too high could cause every request to be
// refused, and no new result would ever correct it.
func (controller *Controller) meetsDeadline(now time.Time, entry queuedRequest, position int) bool {
	wait := controller.expectedWait(now, entry, position)
	if wait == 0 {
		return now.Before(entry.Deadline)
	}
	service := controller.estimator.serviceTime(entry.Class)
	return !now.Add(wait + service).After(entry.Deadline)
}

// expectedWait estimates the time until a request at a position in the queue may start,
// as the work ahead of it divided by the usable slots. It is zero if it can start now.
func (controller *Controller) expectedWait(now time.Time, entry queuedRequest, position int) time.Duration {
	if entry.Class == model.ClassUpload {
		return controller.expectedUploadWait(now, position)
	}
	usable := controller.capacity.usable(now)
	if len(controller.running)+position < usable {
		return 0
	}
	ahead := controller.remainingWork(now, false)
	for _, queued := range controller.queue[:position] {
		ahead += controller.estimator.serviceTime(queued.Class)
	}
	return ahead / time.Duration(usable)
}

// expectedUploadWait estimates the wait of an upload, which waits for the uploads ahead to
// leave the slots that uploads may hold, and for all requests ahead to leave the usable
// slots; the longer of the two counts.
func (controller *Controller) expectedUploadWait(now time.Time, position int) time.Duration {
	slots := controller.uploadSlots(now)
	uploadsAhead := 0
	for _, queued := range controller.queue[:position] {
		if queued.Class == model.ClassUpload {
			uploadsAhead++
		}
	}
	usable := controller.capacity.usable(now)
	if controller.uploads+uploadsAhead < slots && len(controller.running)+position < usable {
		return 0
	}
	uploadWork := controller.remainingWork(now, true)
	uploadWork += time.Duration(uploadsAhead) * controller.estimator.serviceTime(model.ClassUpload)
	allWork := controller.remainingWork(now, false)
	for _, queued := range controller.queue[:position] {
		allWork += controller.estimator.serviceTime(queued.Class)
	}
	return max(uploadWork/time.Duration(slots), allWork/time.Duration(usable))
}

// remainingWork estimates the total slot time that the running requests, or only the
// running uploads, still need.
func (controller *Controller) remainingWork(now time.Time, uploadsOnly bool) time.Duration {
	var total time.Duration
	for _, request := range controller.running {
		if uploadsOnly && request.class != model.ClassUpload {
			continue
		}
		average := controller.estimator.serviceTime(request.class)
		remaining := average - now.Sub(request.started)
		// A request that has run for longer than the average, or nearly so, is assumed
		// to need another quarter of the average.
		total += max(remaining, average/4)
	}
	return total
}

// backlogTime estimates the time until all running and queued requests have ended.
func (controller *Controller) backlogTime(now time.Time) time.Duration {
	work := controller.remainingWork(now, false)
	for _, entry := range controller.queue {
		work += controller.estimator.serviceTime(entry.Class)
	}
	return work / time.Duration(controller.capacity.usable(now))
}

// refuse returns a refusal with a Retry-After time that is spread randomly between base
// and twice base, so that refused callers do not retry together. The shortest base is
// minimumRetryAfter.
func (controller *Controller) refuse(id RequestID, code faults.Code, base time.Duration) Decision {
	base = max(base, minimumRetryAfter)
	spread := time.Duration(controller.random.Int64N(int64(base)))
	return Decision{ID: id, Verdict: VerdictRefuse, Code: code, RetryAfter: base + spread}
}
