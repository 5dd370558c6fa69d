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
var copiesAt = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// packet is one packet of a caller.
type packet struct {
	flow    *flow
	opening bool
	attempt int
	token   directory.Token
	// asked and answered number the requests of an open flow that were sent and
	// answered when the packet was sent; closing tells that it is the last.
	asked    int
	answered int
	closing  bool
	// acknowledges tells that the packet carries no data.
	acknowledges bool
	// piece is the number of a packet of an upload, from one.
	piece int
	// acknowledged is the number of bytes of answers that came before the packet.
	acknowledged uint32
}

const (
	// requestBytes is the length of one simulated request, and of one answer.
	requestBytes = 100
	// errorBytes is the length of an answer that is an error.
	errorBytes = 20
)

func (packet packet) segment() steer.Segment {
	hasData := packet.asked > 0 && !packet.closing && !packet.acknowledges
	length := uint32(0)
	sequence := uint32(packet.asked * requestBytes)
	switch {
	case packet.piece > 0:
		length = pieceBytes
		sequence = uint32(packet.piece * pieceBytes)
		if packet.piece == uploadPieces {
			length = lastPieceBytes
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
		Acknowledgement: packet.acknowledged,
		Closing:         packet.closing,
	}
}

// flow is one flow of a caller.
type flow struct {
	world   *World
	caller  netip.AddrPort
	service netip.AddrPort
	zone    model.ZoneName
	begunAt time.Time
	endsAt  time.Time
	target  *target
	token   directory.Token
	// lost tells that the target forgot the flow when it died.
	lost       bool
	ended      bool
	openedAt   time.Time
	answeredAt time.Time
	// asked and answered count the requests that were sent and answered.
	asked    int
	answered int
	// acknowledged is the number of bytes of answers that came.
	acknowledged uint32
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
	world  *World
	random *kernel.Random
	next   int
	// opened and failed count flows that began while the world was calm.
	opened int
	failed int
}

func newCallers(world *World) *callers {
	return &callers{world: world, random: world.run.Random("callers")}
}

func (callers *callers) start() {
	callers.world.after(callers.random.Exponential(time.Second/flowsPerSecond), func() {
		callers.open()
		callers.start()
	})
}

func (callers *callers) open() {
	service := routeFeed
	if callers.random.Chance(0.25) || callers.world.options.CallsOnly {
		service = routeLedger
	}
	callers.next++
	opened := callers.flowOf(service)
	opened.endsAt = callers.world.Now().Add(callers.random.Pareto(time.Second, 25*time.Second, 1.1))
	opened.begin()
	calm := callers.world.calm()
	callers.world.after(openTimeout, func() { callers.note(opened, calm) })
}

// newFlow returns a flow from a port of its own, which lasts for a while.
func (callers *callers) newFlow(service netip.AddrPort, lasts time.Duration) *flow {
	callers.next++
	created := callers.flowOf(service)
	created.endsAt = callers.world.Now().Add(lasts)
	return created
}

func (callers *callers) flowOf(service netip.AddrPort) *flow {
	return &flow{
		world:   callers.world,
		caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(callers.next >> 16), byte(callers.next >> 8)}), uint16(1024+callers.next%60000)),
		service: service,
		zone:    zones[callers.next%len(zones)],
		begunAt: callers.world.Now(),
	}
}

// begin sends the opening packet and its copies.
func (flow *flow) begin() {
	for attempt, at := range copiesAt {
		flow.world.after(at, func() {
			if flow.target == nil && !flow.ended {
				flow.send(packet{flow: flow, opening: true, attempt: attempt})
			}
		})
	}
}

// note counts how opening ended for flows that began in calm.
func (callers *callers) note(opened *flow, calm bool) {
	if opened.target == nil {
		opened.ended = true
	}
	switch {
	case !calm || !callers.world.calm():
	case opened.openedAt.IsZero():
		callers.failed++
	default:
		callers.opened++
	}
}

func (flow *flow) send(packet packet) {
	packet.acknowledged = flow.acknowledged
	through := flow.world.route(flow)
	if through == nil {
		return
	}
	flow.world.packets.Send(flow.endpoint(), through.process.Endpoint, func() { through.throughLink(packet) })
}

// accepted opens the flow at the first target that took it.
func (flow *flow) accepted(target *target, token directory.Token) {
	if flow.target != nil || flow.ended {
		return
	}
	flow.target = target
	flow.token = token
	flow.openedAt = flow.world.Now()
	if flow.transfer != nil {
		flow.transfer.begin()
		return
	}
	flow.data()
}

// data sends one packet of the open flow and plans the next one.
func (flow *flow) data() {
	if flow.ended {
		return
	}
	if flow.world.Now().After(flow.endsAt) {
		flow.finish()
		flow.end()
		return
	}
	if flow.answered == flow.asked {
		flow.asked++
	}
	flow.send(packet{flow: flow, token: flow.token, asked: flow.asked, answered: flow.answered})
	flow.world.after(dataInterval, flow.data)
}

// takeAnswer takes in the answer of some bytes to a request, and acknowledges it.
func (flow *flow) takeAnswer(asked int, bytes uint32) {
	flow.answeredAt = flow.world.Now()
	if asked <= flow.answered {
		return
	}
	flow.answered = asked
	flow.acknowledged += bytes
	if !flow.ended {
		flow.send(packet{flow: flow, token: flow.token, asked: flow.asked, answered: flow.answered, acknowledges: true})
	}
}

// finish sends the last packet of the flow.
func (flow *flow) finish() {
	flow.send(packet{flow: flow, token: flow.token, asked: flow.asked, answered: flow.answered, closing: true})
}

func (flow *flow) end() {
	flow.ended = true
	if flow.target != nil {
		delete(flow.target.flows, flow)
	}
}

// reset ends the flow because a balancer said so.
func (flow *flow) reset(by *balancer) {
	if flow.ended {
		return
	}
	if flow.target != nil {
		flow.world.checks.wasReset(flow, by)
	}
	flow.breakOff()
}

// resetByTarget ends the flow because the target at its address does not have it.
func (flow *flow) resetByTarget() {
	if !flow.ended {
		flow.breakOff()
	}
}

// breakOff ends the flow without an answer to what it asked.
func (flow *flow) breakOff() {
	flow.end()
	if flow.call != nil {
		flow.call.ended(flow, false)
	}
	if flow.transfer != nil {
		flow.transfer.failed()
	}
}
