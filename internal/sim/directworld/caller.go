package directworld

import (
	"errors"
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

var errNoAnswer = errors.New("no answer came in time")

const (
	// flowsPerSecond is the mean rate at which callers open flows.
	flowsPerSecond = 25
	// dataInterval is the time between two data packets of an open flow.
	dataInterval = 250 * time.Millisecond
	// openTimeout is how long a caller waits for a flow to open.
	openTimeout = 1400 * time.Millisecond
)

// openingSendTimes are the times after the start of a flow at which its opening packet is sent, as
// long as the flow has not opened.
var openingSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// packet is one packet from a caller.
type packet struct {
	flow    *flow
	opening bool
	attempt int
	token   directory.Token
	// requested and answered are the numbers of requests of the flow that were sent and answered
	// when the packet was sent. closing marks the last packet of the flow.
	requested int
	answered  int
	closing   bool
	// ackOnly marks a packet that only acknowledges an answer and carries no data.
	ackOnly bool
	// chunk is the number of a data packet of an upload, from 1; 0 for other packets.
	chunk int
	// answerBytes is the number of bytes of answers that the caller had received.
	answerBytes uint32
}

const (
	// requestBytes is the length of a simulated request, and of its answer, in bytes.
	requestBytes = 100
	// errorBytes is the length of an error answer in bytes.
	errorBytes = 20
)

// segment returns the packet as a balancer's decision sees it.
func (packet packet) segment() steer.Segment {
	hasData := packet.requested > 0 && !packet.closing && !packet.ackOnly
	length := uint32(0)
	sequence := uint32(packet.requested * requestBytes)
	switch {
	case packet.chunk > 0:
		length = chunkBytes
		sequence = uint32(packet.chunk * chunkBytes)
		if packet.chunk == uploadChunks {
			length = lastChunkBytes
		}
	case hasData:
		length = requestBytes
	}
	return steer.Segment{
		Caller:  packet.flow.caller,
		Service: packet.flow.service,
		Token:   packet.token,
		Opening: packet.opening,
		Attempt: packet.attempt,

		HasData:         hasData,
		Length:          length,
		Sequence:        sequence,
		Acknowledgement: packet.answerBytes,
		Closing:         packet.closing,
	}
}

// flow is a caller's flow to one service address.
type flow struct {
	world     *World
	caller    netip.AddrPort
	service   netip.AddrPort
	zone      model.ZoneName
	createdAt time.Time
	endsAt    time.Time
	target    *target
	token     directory.Token
	// targetDied reports whether the flow's target died while it had the flow.
	targetDied bool
	ended      bool
	openedAt   time.Time
	answeredAt time.Time
	// requested and answered count the requests that were sent and answered.
	requested int
	answered  int
	// answerBytes is the number of bytes of answers received.
	answerBytes uint32
	// call is the call that the flow serves, or nil. callEnded reports whether the end of this
	// attempt was recorded.
	call      *call
	callEnded bool
	// uploadAttempt is the attempt of an upload that the flow serves, or nil.
	uploadAttempt *uploadAttempt
}

func (flow *flow) endpoint() kernel.Endpoint { return endpoint(flow.caller.String(), flow.zone) }

// callers opens flows at a constant mean rate and keeps each one open for a while.
type callers struct {
	world      *World
	random     *kernel.Random
	lastCaller int
	// opened and failed count the flows that did and did not open within openTimeout while the
	// world was settled.
	opened int
	failed int
}

func newCallers(world *World) *callers {
	return &callers{world: world, random: world.run.Random("callers")}
}

// start opens flows with exponentially distributed pauses until the world ends.
func (callers *callers) start() {
	callers.world.after(callers.random.Exponential(time.Second/flowsPerSecond), func() {
		callers.openFlow()
		callers.start()
	})
}

// openFlow opens one flow, to a random service unless Options.CallsOnly reserves the feed service,
// and later records whether it opened.
func (callers *callers) openFlow() {
	service := routeFeed
	if callers.random.Chance(0.25) || callers.world.options.CallsOnly {
		service = routeLedger
	}
	callers.lastCaller++
	opened := callers.buildFlow(service)
	opened.endsAt = callers.world.Now().Add(callers.random.Pareto(time.Second, 25*time.Second, 1.1))
	opened.sendOpening()
	settledAtStart := callers.world.settled()
	callers.world.after(openTimeout, func() { callers.recordOpening(opened, settledAtStart) })
}

// newFlow returns a flow from a new caller address that lasts for at most the given time.
func (callers *callers) newFlow(service netip.AddrPort, lasts time.Duration) *flow {
	callers.lastCaller++
	created := callers.buildFlow(service)
	created.endsAt = callers.world.Now().Add(lasts)
	return created
}

// buildFlow returns a flow from the address of the latest caller.
func (callers *callers) buildFlow(service netip.AddrPort) *flow {
	return &flow{
		world:     callers.world,
		caller:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(callers.lastCaller >> 16), byte(callers.lastCaller >> 8)}), uint16(1024+callers.lastCaller%60000)),
		service:   service,
		zone:      zones[callers.lastCaller%len(zones)],
		createdAt: callers.world.Now(),
	}
}

// sendOpening sends the opening packet and schedules its copies.
func (flow *flow) sendOpening() {
	for attempt, at := range openingSendTimes {
		flow.world.after(at, func() {
			if flow.target == nil && !flow.ended {
				flow.send(packet{flow: flow, opening: true, attempt: attempt})
			}
		})
	}
}

// recordOpening ends a flow that did not open, and counts the result if the world was settled both
// when the flow began and now.
func (callers *callers) recordOpening(opened *flow, settledAtStart bool) {
	if opened.target == nil {
		opened.ended = true
	}
	switch {
	case !settledAtStart || !callers.world.settled():
	case opened.openedAt.IsZero():
		callers.failed++
	default:
		callers.opened++
	}
}

// send sends a packet to the balancer chosen for it; it is dropped if there is none.
func (flow *flow) send(packet packet) {
	packet.answerBytes = flow.answerBytes
	chosen := flow.world.pickBalancer(flow)
	if chosen == nil {
		return
	}
	flow.world.packets.Send(flow.endpoint(), chosen.process.Endpoint, func() { chosen.receive(packet) })
}

// handleAccepted opens the flow at the first target that accepted it; later ones are ignored.
func (flow *flow) handleAccepted(target *target, token directory.Token) {
	if flow.target != nil || flow.ended {
		return
	}
	flow.target = target
	flow.token = token
	flow.openedAt = flow.world.Now()
	if flow.uploadAttempt != nil {
		flow.uploadAttempt.start()
		return
	}
	flow.sendData()
}

// sendData sends one data packet of the open flow and schedules the next one. The packet carries a
// new request, or the previous one again if that is not answered yet. sendData closes the flow once
// its time is over.
func (flow *flow) sendData() {
	if flow.ended {
		return
	}
	if flow.world.Now().After(flow.endsAt) {
		flow.sendClosing()
		flow.end()
		return
	}
	if flow.answered == flow.requested {
		flow.requested++
	}
	flow.send(packet{flow: flow, token: flow.token, requested: flow.requested, answered: flow.answered})
	flow.world.after(dataInterval, flow.sendData)
}

// handleAnswer records an answer of the given length to a request and acknowledges it. Repeated
// answers are ignored.
func (flow *flow) handleAnswer(request int, bytes uint32) {
	flow.answeredAt = flow.world.Now()
	if request <= flow.answered {
		return
	}
	flow.answered = request
	flow.answerBytes += bytes
	if !flow.ended {
		flow.send(packet{flow: flow, token: flow.token, requested: flow.requested, answered: flow.answered, ackOnly: true})
	}
}

// sendClosing sends the last packet of the flow.
func (flow *flow) sendClosing() {
	flow.send(packet{flow: flow, token: flow.token, requested: flow.requested, answered: flow.answered, closing: true})
}

// end ends the flow at the caller and at its target.
func (flow *flow) end() {
	flow.ended = true
	if flow.target != nil {
		delete(flow.target.flows, flow)
	}
}

// handleReset ends the flow because a balancer reset it.
func (flow *flow) handleReset(by *balancer) {
	if flow.ended {
		return
	}
	if flow.target != nil {
		flow.world.checks.flowReset(flow, by)
	}
	flow.abort()
}

// handleTargetReset ends the flow because the target process at its address does not know it.
func (flow *flow) handleTargetReset() {
	if !flow.ended {
		flow.abort()
	}
}

// abort ends the flow and fails the call or upload that it serves.
func (flow *flow) abort() {
	flow.end()
	if flow.call != nil {
		flow.call.flowEnded(flow, false)
	}
	if flow.uploadAttempt != nil {
		flow.uploadAttempt.handleFailure()
	}
}
