package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// pieceBytes is the data of a full packet.
	chunkBytes = 1200
	// lastPieceBytes is the data of the last packet of an upload.
	lastChunkBytes = 500
	// uploadPieces is the number of packets of an upload.
	uploadChunks = 50
	// uploadWindow is the number of packets that are under way at a time.
	uploadWindow = 16
	// repeatLeast and repeatMost bound how long an upload waits before it repeats
	// a packet that was not acknowledged.
	minRetransmitWait = 200 * time.Millisecond
	maxRetransmitWait = 1600 * time.Millisecond
	// uploadObjective is the latency that the route of uploads aims at, and
	// uploadDeadline when their callers give up.
	uploadObjective = 2 * time.Second
	uploadDeadline  = 8 * time.Second
	// uploadWork is how long a target works on an upload that came whole.
	uploadWorkTime = 5 * time.Millisecond
)

// upload is one long request, which is tried again when it is refused.
type upload struct {
	world     *World
	startedAt time.Time
	counted   bool
	attempts  int
	done      bool
	// latest is the latest try: there is one at a time.
	latestAttempt *uploadFlow
}

// uploadFlow is an upload on the flow of one try.
type uploadFlow struct {
	upload *upload
	flow   *flow
	// acknowledged has the packets that the target confirmed, and next is the
	// number of the first one that was not sent yet.
	acknowledged map[int]bool
	next         int
	inFlight     int
	// received has the packets that came to the target.
	received map[int]bool
}

func (upload *upload) openFlow() {
	upload.attempts++
	opened := upload.world.callers.newFlow(routeUpload, time.Minute)
	opened.transfer = &uploadFlow{
		upload: upload, flow: opened, next: 1,
		acknowledged: make(map[int]bool), received: make(map[int]bool),
	}
	upload.latestAttempt = opened.transfer
	opened.sendOpening()
	upload.world.after(openTimeout, func() {
		if opened.target == nil {
			opened.transfer.handleFailure()
		}
	})
}

// failed takes in that the flow ended before the upload was answered. One whose
// flow had opened may have run, and is not tried again. A flow that was reset fails
// once: that it does not open in time either says nothing new.
func (transfer *uploadFlow) handleFailure() {
	upload := transfer.upload
	if upload.latestAttempt != transfer {
		return
	}
	opened := transfer.flow.target != nil
	transfer.flow.end()
	if upload.done {
		return
	}
	if opened || upload.attempts >= maxAttempts {
		upload.done = true
		return
	}
	upload.openFlow()
}

// begin sends the first window.
func (transfer *uploadFlow) start() {
	world := transfer.upload.world
	world.after(uploadDeadline, func() {
		if !transfer.upload.done {
			transfer.upload.done = true
			transfer.flow.sendClosing()
			transfer.flow.end()
		}
	})
	transfer.fillWindow()
}

func (transfer *uploadFlow) fillWindow() {
	for transfer.inFlight < uploadWindow && transfer.next <= uploadChunks {
		piece := transfer.next
		transfer.next++
		transfer.inFlight++
		transfer.sendChunk(piece, minRetransmitWait)
	}
}

// send sends a packet, and again until it is acknowledged.
func (transfer *uploadFlow) sendChunk(piece int, wait time.Duration) {
	if transfer.flow.ended || transfer.acknowledged[piece] {
		return
	}
	flow := transfer.flow
	flow.send(packet{flow: flow, token: flow.token, chunk: piece, requested: 1, answered: flow.answered})
	transfer.upload.world.after(wait, func() { transfer.sendChunk(piece, min(2*wait, maxRetransmitWait)) })
}

// take is the target's part: it acknowledges each packet, and answers once all
// came.
func (transfer *uploadFlow) receiveChunk(target *target, piece int) {
	world := transfer.upload.world
	alreadyComplete := len(transfer.received) == uploadChunks
	transfer.received[piece] = true
	world.packets.Send(target.endpoint(), transfer.flow.endpoint(), func() { transfer.handleAck(piece) })
	if alreadyComplete || len(transfer.received) < uploadChunks {
		return
	}
	world.after(uploadWorkTime, func() {
		world.packets.Send(target.endpoint(), transfer.flow.endpoint(), transfer.handleAnswer)
	})
}

func (transfer *uploadFlow) handleAck(piece int) {
	if transfer.acknowledged[piece] || transfer.flow.ended {
		return
	}
	transfer.acknowledged[piece] = true
	transfer.inFlight--
	transfer.fillWindow()
}

func (transfer *uploadFlow) handleAnswer() {
	flow := transfer.flow
	if flow.ended {
		return
	}
	flow.requested = 1
	flow.handleAnswer(1, requestBytes)
	flow.sendClosing()
	flow.end()
	transfer.upload.done = true
	transfer.upload.world.uploads.recordServed(transfer.upload)
}

// uploads makes uploads at a rate and counts how they end.
type uploads struct {
	world     *World
	random    *kernel.Random
	perSecond int
	running   bool
	counting  bool
	// asked, timely and served count the uploads that began while they were counted,
	// those that were answered within the objective, and at all; tried counts the
	// flows that the answered ones took.
	started, timely, served, attempts int
}

func newUploads(world *World) *uploads {
	return &uploads{world: world, random: world.run.Random("uploads")}
}

func (uploads *uploads) scheduleNext() {
	uploads.world.after(uploads.random.Exponential(time.Second/time.Duration(uploads.perSecond)), func() {
		if !uploads.running {
			return
		}
		begun := &upload{world: uploads.world, startedAt: uploads.world.Now(), counted: uploads.counting}
		if uploads.counting {
			uploads.started++
		}
		begun.openFlow()
		uploads.scheduleNext()
	})
}

func (uploads *uploads) recordServed(ended *upload) {
	if !ended.counted {
		return
	}
	uploads.served++
	uploads.attempts += ended.attempts
	if uploads.world.Now().Sub(ended.startedAt) <= uploadObjective {
		uploads.timely++
	}
}

// timelyUploads demands that enough of the counted uploads were answered within
// their objective, and that those that were answered took few tries.
func (checks *checks) checkTimelyUploads(timelyShare, attemptsEach float64) {
	uploads := checks.world.uploads
	checks.checkTimely("uploads", tally{uploads.started, uploads.timely, uploads.served}, uploadObjective, timelyShare)
	if each := float64(uploads.attempts) / float64(max(uploads.served, 1)); each > attemptsEach {
		checks.violate(checker.InvariantTimely, "%d tries for %d uploads that were answered", uploads.attempts, uploads.served)
	}
}
