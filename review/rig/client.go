package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// clients is a machine with clients. It sends through the routers of its zone.
type clients struct {
	record  *record
	router  *router
	zone    string
	address netip.Addr
	socket  *net.UDPConn

	lock     sync.Mutex
	lastPort uint16
	flows    map[uint16]*clientFlow
	// onReset is called for each reset that an open flow gets from the system.
	onReset func(flow *clientFlow)
}

func newClients(record *record, router *router, zone string, address netip.Addr) (*clients, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &clients{
		record: record, router: router, zone: zone, address: address, socket: socket,
		lastPort: 40000, flows: make(map[uint16]*clientFlow), onReset: func(*clientFlow) {},
	}
	go c.receive()
	return c, nil
}

// receive passes each packet to its flow until the socket is closed.
func (c *clients) receive() {
	buffer := make([]byte, largestReceive)
	for {
		size, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:size])
		if !ok {
			continue
		}
		c.lock.Lock()
		flow := c.flows[p.dst.Port()]
		c.lock.Unlock()
		if flow != nil && flow.key.service == p.src {
			flow.handle(p)
		}
	}
}

// clientFlow is the client's end of one flow.
type clientFlow struct {
	owner *clients
	key   flowKey

	lock sync.Mutex
	open bool
	// resetBySystem and resetByTarget tell who reset the flow.
	resetBySystem, resetByTarget bool
	// closed is set when the target has ended the flow.
	closed bool
	// openedAt is when the flow opened here, and sentAt when its latest packet was sent.
	openedAt, sentAt time.Time
	// rested is the longest time between two packets of the client since the flow opened.
	rested         time.Duration
	next, expected uint32
	acknowledged   uint32
	echo           uint32
	answer         strings.Builder
	changed        chan struct{}
}

// The ways in which a request may end without a success.
var (
	errReset    = errors.New("the flow was reset")
	errNoAnswer = errors.New("no answer")
)

// open opens a flow: it sends a SYN, and copies after 200 and 600 ms, and gives up after 1.4 s.
func (c *clients) open(service netip.AddrPort) (*clientFlow, error) {
	c.lock.Lock()
	c.lastPort++
	flow := &clientFlow{
		owner: c, key: flowKey{client: netip.AddrPortFrom(c.address, c.lastPort), service: service},
		next: rand.Uint32(), changed: make(chan struct{}, 1),
	}
	c.flows[c.lastPort] = flow
	c.lock.Unlock()
	first := flow.next
	flow.next++
	for attempt, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		flow.lock.Lock()
		if !flow.open {
			flow.send(&packet{seq: first, ack: uint32(attempt), flags: flagSYN})
		}
		flow.lock.Unlock()
		if flow.await(wait, func() bool { return flow.open || flow.resetBySystem || flow.resetByTarget }) {
			break
		}
	}
	flow.lock.Lock()
	defer flow.lock.Unlock()
	switch {
	case flow.open:
		return flow, nil
	case flow.resetBySystem || flow.resetByTarget:
		return nil, errReset
	}
	return nil, errNoAnswer
}

// send sends a packet through the node that the router picks now.
func (flow *clientFlow) send(p *packet) {
	p.src, p.dst, p.echo = flow.key.client, flow.key.service, flow.echo
	if p.has(flagSYN) {
		p.echo = 0
	}
	flow.rested = max(flow.rested, time.Since(flow.sentAt))
	flow.sentAt = time.Now()
	if node, found := flow.owner.router.pick(flow.owner.zone, flow.key); found {
		_, _ = flow.owner.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(node, packetPort))
	}
}

// largestResetGap is how far the sequence number of a reset may be from the client's last
// acknowledgement.
const largestResetGap = 76800

// handle handles a packet for the flow.
func (flow *clientFlow) handle(p packet) {
	flow.lock.Lock()
	defer flow.lock.Unlock()
	defer flow.wake()
	switch {
	case p.has(flagRST):
		flow.handleReset(p)
		return
	case !p.signed:
		flow.owner.record.fault("MIXED: flow %s gets a packet that its target did not write", flow.key.client)
		return
	}
	flow.echo = p.echo
	switch {
	case p.has(flagSYN) && !flow.open:
		flow.open = true
		flow.openedAt, flow.rested = time.Now(), 0
		flow.expected = p.seq + 1
		flow.send(&packet{seq: flow.next, ack: flow.expected, flags: flagACK})
	case p.has(flagSYN):
		return
	}
	if int32(p.ack-flow.acknowledged) > 0 || flow.acknowledged == 0 {
		flow.acknowledged = p.ack
	}
	if p.has(flagFIN) {
		flow.closed = true
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == flow.expected {
		flow.expected += uint32(len(p.data))
		flow.answer.Write(p.data)
	}
	flow.send(&packet{seq: flow.next, ack: flow.expected, flags: flagACK})
}

func (flow *clientFlow) handleReset(p packet) {
	gap := int32(p.seq - flow.expected)
	switch {
	case p.signed:
		flow.resetByTarget = true
	case flow.open && (gap > largestResetGap || gap < -largestResetGap):
		return
	default:
		first := !flow.resetBySystem
		flow.resetBySystem = true
		if flow.open && first {
			flow.owner.onReset(flow)
		}
	}
}

// wake signals that the state of the flow has changed.
func (flow *clientFlow) wake() {
	select {
	case flow.changed <- struct{}{}:
	default:
	}
}

// await waits until condition holds, which is called with the lock, and reports whether it does.
func (flow *clientFlow) await(limit time.Duration, condition func() bool) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		flow.lock.Lock()
		held := condition()
		flow.lock.Unlock()
		if held {
			return true
		}
		select {
		case <-flow.changed:
		case <-timer.C:
			return false
		}
	}
}

// request sends one request on the open flow and waits for its whole answer, until the deadline.
func (flow *clientFlow) request(method, id string, deadline time.Duration) error {
	message := method + " / HTTP/1.1\r\nHost: " + flow.key.service.String() + "\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	flow.lock.Lock()
	sequence := flow.next
	flow.next += uint32(len(message))
	last := flow.next
	flow.answer.Reset()
	flow.lock.Unlock()
	wait := 200 * time.Millisecond
	end := time.Now().Add(deadline)
	complete := func() bool {
		return flow.resetBySystem || flow.resetByTarget || strings.HasSuffix(flow.answer.String(), "\r\n\r\ndone "+id)
	}
	for time.Now().Before(end) {
		flow.lock.Lock()
		if int32(flow.acknowledged-last) < 0 {
			flow.send(&packet{seq: sequence, ack: flow.expected, flags: flagACK, data: []byte(message)})
		}
		flow.lock.Unlock()
		if flow.await(min(wait, time.Until(end)), complete) {
			break
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
	return flow.outcome(id)
}

// ended reports whether the target has ended the flow.
func (flow *clientFlow) ended() bool {
	flow.lock.Lock()
	defer flow.lock.Unlock()
	return flow.closed
}

// outcome returns how the latest request ended.
func (flow *clientFlow) outcome(id string) error {
	flow.lock.Lock()
	defer flow.lock.Unlock()
	answer := flow.answer.String()
	switch {
	case strings.HasSuffix(answer, "\r\n\r\ndone "+id):
		if headerOf(answer, "X-Attempt-Id") != id || headerOf(answer, "X-Response-Signature") != signature("done "+id) {
			return fmt.Errorf("a foreign answer: %q", answer)
		}
		return nil
	case flow.resetBySystem || flow.resetByTarget:
		return errReset
	}
	return errNoAnswer
}

// close ends the flow.
func (flow *clientFlow) close() {
	flow.lock.Lock()
	defer flow.lock.Unlock()
	flow.send(&packet{seq: flow.next, ack: flow.expected, flags: flagACK | flagFIN})
}
