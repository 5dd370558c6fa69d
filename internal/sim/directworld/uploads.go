package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// chunkBytes is the length of the data in a full packet.
	chunkBytes = 1200
	// lastChunkBytes is the length of the data in the last packet of an upload.
	lastChunkBytes = 500
	// uploadChunks is the number of data packets of an upload.
	uploadChunks = 50
	// uploadWindow is the maximum number of chunks in flight.
	uploadWindow = 16
	// minRetransmitWait and maxRetransmitWait bound the wait before a chunk that was not
	// acknowledged is sent again. The wait doubles with each retransmission.
	minRetransmitWait = 200 * time.Millisecond
	maxRetransmitWait = 1600 * time.Millisecond
	// uploadObjective is the latency objective of the upload route. uploadDeadline is how long
	// after its flow opened the caller of an upload gives up.
	uploadObjective = 2 * time.Second
	uploadDeadline  = 8 * time.Second
	// uploadWorkTime is the time from the arrival of the last missing chunk to the answer.
	uploadWorkTime = 5 * time.Millisecond
)

// upload is one long request. It is retried with a new flow if its flow was refused.
type upload struct {
	world     *World
	startedAt time.Time
	counted   bool
	attempts  int
	done      bool
	// latestAttempt is the latest attempt; there is one at a time.
	latestAttempt *uploadAttempt
}

// uploadAttempt is one attempt of an upload on its own flow.
type uploadAttempt struct {
	upload *upload
	flow   *flow
	// acknowledged has the chunks that the target acknowledged. next is the number of the first
	// chunk that has not been sent.
	acknowledged map[int]bool
	next         int
	inFlight     int
	// received has the chunks that reached the target.
	received map[int]bool
}

// openFlow starts an attempt. The attempt fails if its flow does not open within openTimeout.
func (upload *upload) openFlow() {
	upload.attempts++
	opened := upload.world.callers.newFlow(routeUpload, time.Minute)
	opened.uploadAttempt = &uploadAttempt{
		upload: upload, flow: opened, next: 1,
		acknowledged: make(map[int]bool), received: make(map[int]bool),
	}
	upload.latestAttempt = opened.uploadAttempt
	opened.sendOpening()
	upload.world.after(openTimeout, func() {
		if opened.target == nil {
			opened.uploadAttempt.handleFailure()
		}
	})
}

// handleFailure handles the end of a flow before the upload was answered. An upload whose flow had
// opened may have been executed and is not retried. Failures of earlier attempts are ignored: a
// flow that was reset while it opened has failed already when its openTimeout expires.
func (attempt *uploadAttempt) handleFailure() {
	upload := attempt.upload
	if upload.latestAttempt != attempt {
		return
	}
	opened := attempt.flow.target != nil
	attempt.flow.end()
	if upload.done {
		return
	}
	if opened || upload.attempts >= maxAttempts {
		upload.done = true
		return
	}
	upload.openFlow()
}

// start sends the first window of chunks.
func (attempt *uploadAttempt) start() {
	world := attempt.upload.world
	world.after(uploadDeadline, func() {
		if !attempt.upload.done {
			attempt.upload.done = true
			attempt.flow.sendClosing()
			attempt.flow.end()
		}
	})
	attempt.fillWindow()
}

// fillWindow sends further chunks while the window allows it.
func (attempt *uploadAttempt) fillWindow() {
	for attempt.inFlight < uploadWindow && attempt.next <= uploadChunks {
		chunk := attempt.next
		attempt.next++
		attempt.inFlight++
		attempt.sendChunk(chunk, minRetransmitWait)
	}
}

// sendChunk sends a chunk and retransmits it until it is acknowledged or the flow ends.
func (attempt *uploadAttempt) sendChunk(chunk int, wait time.Duration) {
	if attempt.flow.ended || attempt.acknowledged[chunk] {
		return
	}
	flow := attempt.flow
	flow.send(packet{flow: flow, token: flow.token, chunk: chunk, requested: 1, answered: flow.answered})
	attempt.upload.world.after(wait, func() { attempt.sendChunk(chunk, min(2*wait, maxRetransmitWait)) })
}

// receiveChunk runs at the target. It acknowledges each chunk and answers once all of them have
// arrived.
func (attempt *uploadAttempt) receiveChunk(target *target, chunk int) {
	world := attempt.upload.world
	alreadyComplete := len(attempt.received) == uploadChunks
	attempt.received[chunk] = true
	world.packets.Send(target.endpoint(), attempt.flow.endpoint(), func() { attempt.handleAck(chunk) })
	if alreadyComplete || len(attempt.received) < uploadChunks {
		return
	}
	world.after(uploadWorkTime, func() {
		world.packets.Send(target.endpoint(), attempt.flow.endpoint(), attempt.handleAnswer)
	})
}

// handleAck records an acknowledgement at the caller.
func (attempt *uploadAttempt) handleAck(chunk int) {
	if attempt.acknowledged[chunk] || attempt.flow.ended {
		return
	}
	attempt.acknowledged[chunk] = true
	attempt.inFlight--
	attempt.fillWindow()
}

// handleAnswer ends the upload at the caller after its answer.
func (attempt *uploadAttempt) handleAnswer() {
	flow := attempt.flow
	if flow.ended {
		return
	}
	flow.requested = 1
	flow.handleAnswer(1, requestBytes)
	flow.sendClosing()
	flow.end()
	attempt.upload.done = true
	attempt.upload.world.uploads.recordServed(attempt.upload)
}

// uploads starts uploads at a constant mean rate and counts their results.
type uploads struct {
	world     *World
	random    *kernel.Random
	perSecond int
	running   bool
	counting  bool
	// started counts the uploads that began while counting was set. timely and served count those
	// of them that were answered within the objective and at all. attempts counts the flows of
	// the served ones.
	started, timely, served, attempts int
}

func newUploads(world *World) *uploads {
	return &uploads{world: world, random: world.run.Random("uploads")}
}

// scheduleNext starts the next upload after an exponentially distributed pause, and so on while
// uploads are running.
func (uploads *uploads) scheduleNext() {
	uploads.world.after(uploads.random.Exponential(time.Second/time.Duration(uploads.perSecond)), func() {
		if !uploads.running {
			return
		}
		created := &upload{world: uploads.world, startedAt: uploads.world.Now(), counted: uploads.counting}
		if uploads.counting {
			uploads.started++
		}
		created.openFlow()
		uploads.scheduleNext()
	})
}

// recordServed counts an answered upload if it began while uploads were counted.
func (uploads *uploads) recordServed(finished *upload) {
	if !finished.counted {
		return
	}
	uploads.served++
	uploads.attempts += finished.attempts
	if uploads.world.Now().Sub(finished.startedAt) <= uploadObjective {
		uploads.timely++
	}
}

// checkTimelyUploads checks that at least timelyShare of the counted uploads were answered within
// their objective, and that the answered ones took at most attemptsEach attempts on average.
func (checks *checks) checkTimelyUploads(timelyShare, attemptsEach float64) {
	uploads := checks.world.uploads
	checks.checkTimely("uploads", tally{uploads.started, uploads.timely, uploads.served}, uploadObjective, timelyShare)
	if each := float64(uploads.attempts) / float64(max(uploads.served, 1)); each > attemptsEach {
		checks.violate(checker.InvariantTimely, "%d tries for %d uploads that were answered", uploads.attempts, uploads.served)
	}
}
