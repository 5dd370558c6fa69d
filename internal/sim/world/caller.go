package world

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// Times of simulated callers.
const (
	// openingRetryInterval is the wait before an opening packet is sent again.
	openingRetryInterval = 250 * time.Millisecond
	// maximumOpeningAttempts is how often an opening packet is sent before the caller gives up.
	maximumOpeningAttempts = 20
	// requestRetryInterval is the wait before a request's packet is sent again.
	requestRetryInterval = 400 * time.Millisecond
	// requestTimeout is how long a caller waits for the answer to an attempt.
	requestTimeout = 10 * time.Second
	// answerGrace is how long a caller waits after a request's deadline. At the deadline the agent
	// answers that the outcome is unknown, and that answer needs time to arrive.
	answerGrace = time.Second
	// maximumAttempts bounds the attempts of one request.
	maximumAttempts = 6
)

// Load describes the traffic that callers generate.
type Load struct {
	// FlowsPerSecond is the rate of new flows of each service.
	FlowsPerSecond float64
	// ShortestFlow and LongestFlow bound the heavy-tailed (Pareto) lifetimes of flows.
	ShortestFlow time.Duration
	LongestFlow  time.Duration
	// Feeds is the number of flows of each service that stay open for the whole run.
	Feeds int
	// PacketInterval is the mean time between packets of a flow.
	PacketInterval time.Duration
	// RequestsPerSecond is the rate of requests to each service that speaks HTTP/3.
	RequestsPerSecond float64
	// AtMostOnce is the share of requests that have a key and may run at most once, and Uploads the
	// share of requests that are uploads. Both are from 0 to 1.
	AtMostOnce float64
	Uploads    float64
}

// callers simulates all callers of a run.
type callers struct {
	world       *World
	random      *kernel.Random
	endpoint    kernel.Endpoint
	load        Load
	flows       map[checker.FlowID]*callerFlow
	openFlows   map[model.ServiceID][]*callerFlow
	requests    map[checker.AttemptID]*callerRequest
	lastFlow    checker.FlowID
	lastAttempt checker.AttemptID
	lastKey     int
	stopped     bool
	// pendingAttempts counts the attempts of requests whose outcome the callers still wait for.
	pendingAttempts int
	// expectAnswers makes an attempt without an answer a violation instead of an unknown outcome. It
	// is set in scenarios without unplanned faults.
	expectAnswers bool
	// abandoned counts flows that no target opened.
	abandoned int
}

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	id      checker.FlowID
	tuple   model.FiveTuple
	service *serviceHandle
	// intended is the service that had the address when the flow began.
	intended model.ServiceID
	// ignoresResets makes the caller continue to send after a reset.
	ignoresResets   bool
	opened          bool
	ended           bool
	endsAt          time.Time
	feed            bool
	sequence        uint64
	openingAttempts int
	// pendingAttempts is the number of attempts on this flow that wait for an answer.
	pendingAttempts int
}

func newCallers(world *World) *callers {
	return &callers{
		world:     world,
		random:    world.run.Random("callers"),
		endpoint:  kernel.Endpoint{Name: callersName, Zone: callerZone},
		flows:     make(map[checker.FlowID]*callerFlow),
		openFlows: make(map[model.ServiceID][]*callerFlow),
		requests:  make(map[checker.AttemptID]*callerRequest),
	}
}

// start begins to open flows and to send requests as load specifies.
func (callers *callers) start(load Load) {
	callers.load = load
	for _, service := range callers.world.services {
		for range load.Feeds {
			callers.world.run.Scheduler.After(callers.random.Between(0, time.Second), func() { callers.openFeed(service) })
		}
		callers.repeatAtRate(load.FlowsPerSecond, func() {
			if service.id == 0 {
				return
			}
			callers.openFlow(service, callers.random.Pareto(load.ShortestFlow, load.LongestFlow, 1.2))
		})
		// Only services that speak HTTP/3 carry requests.
		if service.protocol == model.ProtocolQUIC {
			callers.repeatAtRate(load.RequestsPerSecond, func() { callers.newRequest(service) })
		}
	}
}

// stop starts no more flows and requests. Those in progress continue.
func (callers *callers) stop() { callers.stopped = true }

// idle reports whether no attempt waits for an answer.
func (callers *callers) idle() bool { return callers.pendingAttempts == 0 }

// repeatAtRate calls action at random times, perSecond times a second on average, until the callers
// stop.
func (callers *callers) repeatAtRate(perSecond float64, action func()) {
	if perSecond <= 0 {
		return
	}
	mean := time.Duration(float64(time.Second) / perSecond)
	var next func()
	next = func() {
		if callers.stopped {
			return
		}
		action()
		callers.world.run.Scheduler.After(callers.random.Exponential(mean), next)
	}
	callers.world.run.Scheduler.After(callers.random.Exponential(mean), next)
}

// openFeed opens a flow that lasts longer than any run.
func (callers *callers) openFeed(service *serviceHandle) {
	flow := callers.openFlow(service, 24*time.Hour)
	flow.feed = true
}

// openFlow begins a flow with a source address and port that no earlier flow had.
func (callers *callers) openFlow(service *serviceHandle, lifetime time.Duration) *callerFlow {
	callers.lastFlow++
	id := callers.lastFlow
	source := netip.AddrFrom4([4]byte{198, 18, byte(id >> 14), byte(id >> 6)})
	flow := &callerFlow{
		id: id,
		tuple: model.FiveTuple{
			Protocol:    service.protocol,
			Source:      netip.AddrPortFrom(source, uint16(1024+callers.random.IntN(64000)/64*64+int(id&63))),
			Destination: service.address,
		},
		service:  service,
		intended: service.id,
		endsAt:   callers.world.run.Scheduler.Now().Add(lifetime),
	}
	callers.flows[id] = flow
	callers.sendOpening(flow)
	return flow
}

// sendOpening sends the opening packet and repeats it until a target answers. After
// maximumOpeningAttempts it gives the flow up.
func (callers *callers) sendOpening(flow *callerFlow) {
	if flow.opened || flow.ended {
		return
	}
	if flow.openingAttempts >= maximumOpeningAttempts {
		flow.ended = true
		callers.abandoned++
		callers.world.checks.flows.Closed(flow.id)
		return
	}
	flow.openingAttempts++
	callers.send(flow, packet{opening: true})
	callers.world.run.Scheduler.After(openingRetryInterval, func() { callers.sendOpening(flow) })
}

// send completes a packet with the fields of its flow and hands it to the fabric.
func (callers *callers) send(flow *callerFlow, outgoing packet) {
	flow.sequence++
	outgoing.flow = flow.id
	outgoing.tuple = flow.tuple
	outgoing.intended = flow.intended
	outgoing.sequence = flow.sequence
	// Every datagram of a UDP flow may open it.
	outgoing.opening = outgoing.opening || flow.tuple.Protocol == model.ProtocolUDP
	if flow.opened {
		callers.world.checks.flows.Sent(flow.id, uint32(flow.intended), callers.world.run.Elapsed())
	}
	callers.world.fabric.spray(outgoing)
}

// sendPeriodically sends packets of the flow until its end. A flow with pending attempts is not
// closed yet.
func (callers *callers) sendPeriodically(flow *callerFlow) {
	if flow.ended {
		return
	}
	if !callers.world.run.Scheduler.Now().Before(flow.endsAt) && flow.pendingAttempts == 0 {
		callers.closeFlow(flow)
		return
	}
	callers.send(flow, packet{})
	interval := callers.load.PacketInterval/2 + callers.random.Between(0, callers.load.PacketInterval)
	callers.world.run.Scheduler.After(interval, func() { callers.sendPeriodically(flow) })
}

// closeFlow ends a flow. It sends the closing packet twice because one may be lost.
func (callers *callers) closeFlow(flow *callerFlow) {
	callers.endFlow(flow)
	callers.world.checks.flows.Closed(flow.id)
	callers.send(flow, packet{closing: true})
	callers.world.run.Scheduler.After(openingRetryInterval, func() { callers.send(flow, packet{closing: true}) })
}

// endFlow marks a flow as ended and removes it from the open flows of its service.
func (callers *callers) endFlow(flow *callerFlow) {
	flow.ended = true
	remaining := callers.openFlows[flow.intended][:0]
	for _, other := range callers.openFlows[flow.intended] {
		if other != flow {
			remaining = append(remaining, other)
		}
	}
	callers.openFlows[flow.intended] = remaining
}

// receive handles an answer of an agent.
func (callers *callers) receive(reply answer) {
	flow := callers.flows[reply.flow]
	switch reply.kind {
	case answerEcho:
		callers.receiveEcho(flow)
	case answerReset:
		callers.receiveReset(flow)
	default:
		callers.receiveFinal(reply)
	}
}

// receiveEcho marks a flow as opened by the first acknowledgement.
func (callers *callers) receiveEcho(flow *callerFlow) {
	callers.world.checks.flows.Answered(flow.id)
	if flow.opened || flow.ended {
		return
	}
	flow.opened = true
	callers.openFlows[flow.intended] = append(callers.openFlows[flow.intended], flow)
	callers.sendPeriodically(flow)
}

// receiveReset ends the flow. A feed is opened again.
func (callers *callers) receiveReset(flow *callerFlow) {
	if flow.ended || flow.ignoresResets {
		return
	}
	callers.world.run.Trace.Add("callers", "reset", fmt.Sprintf("flow %d", flow.id))
	callers.world.checks.flows.Reset(flow.id, callers.world.run.Elapsed())
	callers.endFlow(flow)
	if flow.feed && !callers.stopped {
		callers.openFeed(flow.service)
	}
}
