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
	// flowsPerSecond is the rate at which flows are opened.
	flowsPerSecond = 25
	// dataInterval is the time between two packets of an open flow.
	dataInterval = 250 * time.Millisecond
	// openTimeout is how long a caller waits for a flow to open.
	openTimeout = 1400 * time.Millisecond
)

// copiesAt are the times at which copies of an opening packet are sent.
var openingSendTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// packet is one packet of a caller.
type packet struct {
	flow    *flow
	opening bool
	attempt int
	token   directory.Token
	// asked and answered number the requests of an open flow that were sent and
	// answered when the packet was sent; closing tells that it is the last.
	requested int
	answered  int
	closing   bool
	// acknowledges tells that the packet carries no data.
	ackOnly bool
	// piece is the number of a packet of an upload, from one.
	chunk int
	// acknowledged is the number of bytes of answers that came before the packet.
	answerBytes uint32
}

const (
	// requestBytes is the length of one simulated request, and of one answer.
	requestBytes = 100
	// errorBytes is the length of an answer that is an error.
	errorBytes = 20
)

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

// flow is one flow of a caller.
type flow struct {
	world     *World
	caller    netip.AddrPort
	service   netip.AddrPort
	zone      model.ZoneName
	createdAt time.Time
	endsAt    time.Time
	target    *target
	token     directory.Token
	// lost tells that the target forgot the flow when it died.
	targetDied bool
	ended      bool
	openedAt   time.Time
	answeredAt time.Time
	// asked and answered count the requests that were sent and answered.
	requested int
	answered  int
	// acknowledged is the number of bytes of answers that came.
	answerBytes uint32
	// call is the call that the flow is for, if it is for a single one, and
	// callEnded tells that its end was taken in.
	call      *call
	callEnded bool
	// transfer is the upload that the flow is for, if it is for one.
	transfer *uploadFlow
}

func (flow *flow) endpoint() kernel.Endpoint { return endpoint(flow.caller.String(), flow.zone) }

// callers opens flows at a rate and keeps them for a while.
type callers struct {
	world      *World
	random     *kernel.Random
	lastCaller int
	// opened and failed count flows that began while the world was calm.
	opened int
	failed int
}

func newCallers(world *World) *callers {
	return &callers{world: world, random: world.run.Random("callers")}
}

func (callers *callers) start() {
	callers.world.after(callers.random.Exponential(time.Second/flowsPerSecond), func() {
		callers.openFlow()
		callers.start()
	})
}

func (callers *callers) openFlow() {
	service := routeFeed
	if callers.random.Chance(0.25) || callers.world.options.CallsOnly {
		service = routeLedger
	}
	callers.lastCaller++
	opened := callers.buildFlow(service)
	opened.endsAt = callers.world.Now().Add(callers.random.Pareto(time.Second, 25*time.Second, 1.1))
	opened.sendOpening()
	calm := callers.world.settled()
	callers.world.after(openTimeout, func() { callers.recordOpening(opened, calm) })
}

// newFlow returns a flow from a port of its own, which lasts for a while.
func (callers *callers) newFlow(service netip.AddrPort, lasts time.Duration) *flow {
	callers.lastCaller++
	created := callers.buildFlow(service)
	created.endsAt = callers.world.Now().Add(lasts)
	return created
}

func (callers *callers) buildFlow(service netip.AddrPort) *flow {
	return &flow{
		world:     callers.world,
		caller:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(callers.lastCaller >> 16), byte(callers.lastCaller >> 8)}), uint16(1024+callers.lastCaller%60000)),
		service:   service,
		zone:      zones[callers.lastCaller%len(zones)],
		createdAt: callers.world.Now(),
	}
}

// begin sends the opening packet and its copies.
func (flow *flow) sendOpening() {
	for attempt, at := range openingSendTimes {
		flow.world.after(at, func() {
			if flow.target == nil && !flow.ended {
				flow.send(packet{flow: flow, opening: true, attempt: attempt})
			}
		})
	}
}

// note counts how opening ended for flows that began in calm.
func (callers *callers) recordOpening(opened *flow, calm bool) {
	if opened.target == nil {
		opened.ended = true
	}
	switch {
	case !calm || !callers.world.settled():
	case opened.openedAt.IsZero():
		callers.failed++
	default:
		callers.opened++
	}
}

func (flow *flow) send(packet packet) {
	packet.answerBytes = flow.answerBytes
	chosen := flow.world.pickBalancer(flow)
	if chosen == nil {
		return
	}
	flow.world.packets.Send(flow.endpoint(), chosen.process.Endpoint, func() { chosen.receive(packet) })
}

// accepted opens the flow at the first target that took it.
func (flow *flow) handleAccepted(target *target, token directory.Token) {
	if flow.target != nil || flow.ended {
		return
	}
	flow.target = target
	flow.token = token
	flow.openedAt = flow.world.Now()
	if flow.transfer != nil {
		flow.transfer.start()
		return
	}
	flow.sendData()
}

// data sends one packet of the open flow and plans the next one.
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

// takeAnswer takes in the answer of some bytes to a request, and acknowledges it.
func (flow *flow) handleAnswer(asked int, bytes uint32) {
	flow.answeredAt = flow.world.Now()
	if asked <= flow.answered {
		return
	}
	flow.answered = asked
	flow.answerBytes += bytes
	if !flow.ended {
		flow.send(packet{flow: flow, token: flow.token, requested: flow.requested, answered: flow.answered, ackOnly: true})
	}
}

// finish sends the last packet of the flow.
func (flow *flow) sendClosing() {
	flow.send(packet{flow: flow, token: flow.token, requested: flow.requested, answered: flow.answered, closing: true})
}

func (flow *flow) end() {
	flow.ended = true
	if flow.target != nil {
		delete(flow.target.flows, flow)
	}
}

// reset ends the flow because a balancer said so.
func (flow *flow) handleReset(by *balancer) {
	if flow.ended {
		return
	}
	if flow.target != nil {
		flow.world.checks.flowReset(flow, by)
	}
	flow.abort()
}

// resetByTarget ends the flow because the target at its address does not have it.
func (flow *flow) handleTargetReset() {
	if !flow.ended {
		flow.abort()
	}
}

// breakOff ends the flow without an answer to what it asked.
func (flow *flow) abort() {
	flow.end()
	if flow.call != nil {
		flow.call.flowEnded(flow, false)
	}
	if flow.transfer != nil {
		flow.transfer.handleFailure()
	}
}
