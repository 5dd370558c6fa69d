package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// pieceBytes is the data of a full packet.
	pieceBytes = 1200
	// lastPieceBytes is the data of the last packet of an upload.
	lastPieceBytes = 500
	// uploadPieces is the number of packets of an upload.
	uploadPieces = 50
	// uploadWindow is the number of packets that are under way at a time.
	uploadWindow = 16
	// repeatLeast and repeatMost bound how long an upload waits before it repeats
	// a packet that was not acknowledged.
	repeatLeast = 200 * time.Millisecond
	repeatMost  = 1600 * time.Millisecond
	// uploadObjective is the latency that the route of uploads aims at, and
	// uploadDeadline when their callers give up.
	uploadObjective = 2 * time.Second
	uploadDeadline  = 8 * time.Second
	// uploadWork is how long a target works on an upload that came whole.
	uploadWork = 5 * time.Millisecond
)

// upload is one long request, which is tried again when it is refused.
type upload struct {
	world   *World
	begunAt time.Time
	counted bool
	tries   int
	done    bool
	// latest is the latest try: there is one at a time.
	latest *uploadFlow
}

// uploadFlow is an upload on the flow of one try.
type uploadFlow struct {
	upload *upload
	flow   *flow
	// acknowledged has the packets that the target confirmed, and next is the
	// number of the first one that was not sent yet.
	acknowledged map[int]bool
	next         int
	underWay     int
	// received has the packets that came to the target.
	received map[int]bool
}

func (upload *upload) try() {
	upload.tries++
	opened := upload.world.callers.newFlow(routeUpload, time.Minute)
	opened.transfer = &uploadFlow{
		upload: upload, flow: opened, next: 1,
		acknowledged: make(map[int]bool), received: make(map[int]bool),
	}
	upload.latest = opened.transfer
	opened.begin()
	upload.world.after(openTimeout, func() {
		if opened.target == nil {
			opened.transfer.failed()
		}
	})
}

// failed takes in that the flow ended before the upload was answered. One whose
// flow had opened may have run, and is not tried again. A flow that was reset fails
// once: that it does not open in time either says nothing new.
func (transfer *uploadFlow) failed() {
	upload := transfer.upload
	if upload.latest != transfer {
		return
	}
	opened := transfer.flow.target != nil
	transfer.flow.end()
	if upload.done {
		return
	}
	if opened || upload.tries >= triesPerCall {
		upload.done = true
		return
	}
	upload.try()
}

// begin sends the first window.
func (transfer *uploadFlow) begin() {
	world := transfer.upload.world
	world.after(uploadDeadline, func() {
		if !transfer.upload.done {
			transfer.upload.done = true
			transfer.flow.finish()
			transfer.flow.end()
		}
	})
	transfer.fill()
}

func (transfer *uploadFlow) fill() {
	for transfer.underWay < uploadWindow && transfer.next <= uploadPieces {
		piece := transfer.next
		transfer.next++
		transfer.underWay++
		transfer.send(piece, repeatLeast)
	}
}

// send sends a packet, and again until it is acknowledged.
func (transfer *uploadFlow) send(piece int, wait time.Duration) {
	if transfer.flow.ended || transfer.acknowledged[piece] {
		return
	}
	flow := transfer.flow
	flow.send(packet{flow: flow, token: flow.token, piece: piece, asked: 1, answered: flow.answered})
	transfer.upload.world.after(wait, func() { transfer.send(piece, min(2*wait, repeatMost)) })
}

// take is the target's part: it acknowledges each packet, and answers once all
// came.
func (transfer *uploadFlow) take(target *target, piece int) {
	world := transfer.upload.world
	whole := len(transfer.received) == uploadPieces
	transfer.received[piece] = true
	world.packets.Send(target.endpoint(), transfer.flow.endpoint(), func() { transfer.acknowledge(piece) })
	if whole || len(transfer.received) < uploadPieces {
		return
	}
	world.after(uploadWork, func() {
		world.packets.Send(target.endpoint(), transfer.flow.endpoint(), transfer.answered)
	})
}

func (transfer *uploadFlow) acknowledge(piece int) {
	if transfer.acknowledged[piece] || transfer.flow.ended {
		return
	}
	transfer.acknowledged[piece] = true
	transfer.underWay--
	transfer.fill()
}

func (transfer *uploadFlow) answered() {
	flow := transfer.flow
	if flow.ended {
		return
	}
	flow.asked = 1
	flow.takeAnswer(1, requestBytes)
	flow.finish()
	flow.end()
	transfer.upload.done = true
	transfer.upload.world.uploads.note(transfer.upload)
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
	asked, timely, served, tried int
}

func newUploads(world *World) *uploads {
	return &uploads{world: world, random: world.run.Random("uploads")}
}

func (uploads *uploads) next() {
	uploads.world.after(uploads.random.Exponential(time.Second/time.Duration(uploads.perSecond)), func() {
		if !uploads.running {
			return
		}
		begun := &upload{world: uploads.world, begunAt: uploads.world.Now(), counted: uploads.counting}
		if uploads.counting {
			uploads.asked++
		}
		begun.try()
		uploads.next()
	})
}

func (uploads *uploads) note(ended *upload) {
	if !ended.counted {
		return
	}
	uploads.served++
	uploads.tried += ended.tries
	if uploads.world.Now().Sub(ended.begunAt) <= uploadObjective {
		uploads.timely++
	}
}

// timelyUploads demands that enough of the counted uploads were answered within
// their objective, and that those that were answered took few tries.
func (checks *checks) timelyUploads(timelyShare, triesEach float64) {
	uploads := checks.world.uploads
	checks.timely("uploads", tally{uploads.asked, uploads.timely, uploads.served}, uploadObjective, timelyShare)
	if each := float64(uploads.tried) / float64(max(uploads.served, 1)); each > triesEach {
		checks.violate(checker.InvariantTimely, "%d tries for %d uploads that were answered", uploads.tried, uploads.served)
	}
}
