package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flowKey identifies a flow by its two ends.
type flowKey struct {
	client, service netip.AddrPort
}

// targetFlow is a flow at a target.
type targetFlow struct {
	// opened is set once the client has acknowledged the target's SYN+ACK.
	opened bool
	closed bool
	// first is the sequence number of the SYN+ACK, next that of the next byte to send, and
	// expected that of the next byte of the client.
	first, next, expected uint32
	echo                  uint32
	// acknowledged is the highest acknowledgement of the client.
	acknowledged uint32
}

// targetOptions describe one incarnation of a target.
type targetOptions struct {
	name    string
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	// nodes are the addresses of the control plane that the target calls in turn.
	nodes []string
	work  time.Duration
	// quiet leaves the line for each request that is run to the clients.
	quiet bool
}

// target is a stand-in for one incarnation of a target. It follows the sections "Flows", "Targets"
// and "Service discovery" of the protocol page.
type target struct {
	targetOptions
	record *record
	born   int64
	socket *net.UDPConn
	health net.Listener
	slots  chan struct{}
	done   chan struct{}

	lock    sync.Mutex
	stopped bool
	// closing makes a draining target close each flow after its next answer.
	closing  bool
	state    string
	sequence int
	node     int
	flows    map[flowKey]*targetFlow
	// runs counts how often each request has run.
	runs map[string]int
	// onOpening is called for each SYN that the target takes.
	onOpening func(key flowKey)
}

// statesStart makes targets tell when they started, as those of the newcomers' pages do. The targets
// of the other sites don't.
var statesStart = os.Getenv("BORN") == "1"

// startTarget opens the target's ports. It does not register the target.
func startTarget(record *record, options targetOptions) (*target, error) {
	t := &target{
		targetOptions: options, record: record, born: time.Now().UnixMilli(), state: "ready",
		slots: make(chan struct{}, 2), done: make(chan struct{}),
		flows: make(map[flowKey]*targetFlow), runs: make(map[string]int), onOpening: func(flowKey) {},
	}
	var err error
	if t.health, err = net.Listen("tcp4", options.address.String()); err != nil {
		return nil, err
	}
	if t.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(options.address)); err != nil {
		_ = t.health.Close()
		return nil, err
	}
	go func() {
		_ = http.Serve(t.health, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") }))
	}()
	go t.receive()
	record.note("target %s starts: id i-%x, service %s, address %s", t.name, t.id, t.service, t.address)
	return t, nil
}

// stop closes the target's ports without notice, as a crash does. Its flows are lost.
func (t *target) stop() {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.stopped {
		return
	}
	t.stopped = true
	close(t.done)
	_ = t.socket.Close()
	_ = t.health.Close()
	t.record.note("target %s ends", t.name)
}

func (t *target) alive() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return !t.stopped
}

// retryPause is how long a target waits after a call that was refused before it calls the next node.
const retryPause = 100 * time.Millisecond

// heartbeats registers the target every heartbeat until it ends. It passes over to the next node
// after a call without an acknowledgement.
func (t *target) heartbeats() {
	for t.alive() {
		pause := heartbeat
		if !t.register() {
			pause = retryPause
		}
		select {
		case <-t.done:
		case <-time.After(pause):
		}
	}
}

// register sends one heartbeat and reports whether it was acknowledged.
func (t *target) register() bool {
	t.lock.Lock()
	t.sequence++
	sequence := t.sequence
	fields := map[string]any{
		"service": t.service, "address": t.address.String(), "zone": t.zone, "version": "v1", "capacity": 2,
		"state": t.state, "cold-remaining-ms": 0, "sequence": sequence,
	}
	if statesStart {
		fields["born"] = t.born
	}
	body, _ := json.Marshal(fields)
	node := t.nodes[t.node%len(t.nodes)]
	t.lock.Unlock()
	status := t.call(http.MethodPut, node, body)
	if status >= 200 && status < 300 {
		return true
	}
	if t.alive() {
		t.record.note("target %s: heartbeat %d at %s was not acknowledged (%d)", t.name, sequence, node, status)
	}
	t.lock.Lock()
	t.node++
	t.lock.Unlock()
	return false
}

// callAt replaces the nodes that the target calls.
func (t *target) callAt(nodes []string) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.nodes = nodes
}

// remove sends the call with which the target says that it leaves. It reports whether it was
// acknowledged.
func (t *target) remove(node string) bool {
	var body []byte
	if statesStart {
		body, _ = json.Marshal(map[string]any{"born": t.born})
	}
	status := t.call(http.MethodDelete, node, body)
	t.record.note("target %s: DELETE at %s is answered with %d", t.name, node, status)
	return status >= 200 && status < 300
}

// call makes one call with the limit of a second and returns its status, or zero without one.
func (t *target) call(method, node string, body []byte) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/instances/i-%x", node, t.id), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// hasRun reports whether the target has begun to work on the request.
func (t *target) hasRun(id string) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.runs[id] > 0
}

// holds reports whether the target lives and holds the flow open.
func (t *target) holds(key flowKey) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	flow := t.flows[key]
	return !t.stopped && flow != nil && flow.opened && !flow.closed
}

// receive handles the datagrams of the target until it ends. Each begins with 8 bytes that name the
// target that is meant, or are zero.
func (t *target) receive() {
	buffer := make([]byte, largestReceive)
	for {
		size, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < targetIDBytes+headBytes {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != t.id {
			continue
		}
		if p, ok := decode(buffer[targetIDBytes:size]); ok && p.signed {
			t.handle(p)
		}
	}
}

func (t *target) handle(p packet) {
	t.lock.Lock()
	defer t.lock.Unlock()
	key := flowKey{client: p.src, service: p.dst}
	flow := t.flows[key]
	switch {
	case p.has(flagRST):
		delete(t.flows, key)
	case p.has(flagSYN):
		t.takeOpening(key, flow, p)
	case flow == nil:
		t.send(key, &packet{seq: p.ack, flags: flagRST, echo: p.echo})
	case flow.closed && len(p.data) > 0:
		t.send(key, &packet{seq: flow.next, flags: flagRST, echo: p.echo})
	default:
		t.takePacket(key, flow, p)
	}
}

// takeOpening answers a SYN. A copy of a SYN gets the same answer.
func (t *target) takeOpening(key flowKey, flow *targetFlow, p packet) {
	if flow == nil {
		flow = &targetFlow{first: rand.Uint32(), expected: p.seq + 1}
		flow.next = flow.first + 1
		t.flows[key] = flow
		t.onOpening(key)
	}
	flow.echo = p.echo
	t.send(key, &packet{seq: flow.first, ack: flow.expected, flags: flagSYN | flagACK, echo: flow.echo})
}

// takePacket handles a packet of a flow that the target holds.
func (t *target) takePacket(key flowKey, flow *targetFlow, p packet) {
	flow.echo = p.echo
	if !flow.opened && p.ack == flow.first+1 {
		flow.opened = true
	}
	if !flow.opened {
		return
	}
	if int32(p.ack-flow.acknowledged) > 0 || flow.acknowledged == 0 {
		flow.acknowledged = p.ack
	}
	if len(p.data) > 0 {
		if p.seq == flow.expected {
			flow.expected += uint32(len(p.data))
			go t.run(key, flow, string(p.data))
		}
		t.send(key, &packet{seq: flow.next, ack: flow.expected, flags: flagACK, echo: flow.echo})
	}
	if p.has(flagFIN) && !flow.closed {
		flow.closed = true
		t.send(key, &packet{seq: flow.next, ack: flow.expected + 1, flags: flagACK | flagFIN, echo: flow.echo})
	}
}

// run works on a request, which is one packet long, and sends the answer until it is acknowledged.
func (t *target) run(key flowKey, flow *targetFlow, request string) {
	id := headerOf(request, "X-Attempt-Id")
	t.slots <- struct{}{}
	t.lock.Lock()
	t.runs[id]++
	again := t.runs[id] > 1
	t.lock.Unlock()
	if !t.quiet {
		t.record.note("target %s begins work on request %s of flow %s", t.name, id, key.client)
	}
	if again {
		t.record.note("target %s has run request %s before", t.name, id)
	}
	time.Sleep(t.work)
	<-t.slots
	body := "done " + id
	answer := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: " + signature(body) +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	t.lock.Lock()
	sequence := flow.next
	flow.next += uint32(len(answer))
	last := flow.next
	t.lock.Unlock()
	wait := 200 * time.Millisecond
	for range 8 {
		t.lock.Lock()
		delivered := int32(flow.acknowledged-last) >= 0
		if delivered && t.closing && !flow.closed {
			flow.closed = true
			t.send(key, &packet{seq: flow.next, ack: flow.expected, flags: flagACK | flagFIN, echo: flow.echo})
		}
		if delivered || t.stopped || t.flows[key] != flow {
			t.lock.Unlock()
			return
		}
		t.send(key, &packet{seq: sequence, ack: flow.expected, flags: flagACK, echo: flow.echo, data: []byte(answer)})
		t.lock.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

// send sends a packet straight to the client.
func (t *target) send(key flowKey, p *packet) {
	p.src, p.dst = key.service, key.client
	_, _ = t.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.client.Addr(), packetPort))
}

// signature returns the signature of a target's body.
func signature(body string) string { return strconv.Itoa(len(body)) + "-" + sumKey }

// headerOf returns the value of a header field of an HTTP message.
func headerOf(message, name string) string {
	for line := range strings.Lines(message) {
		if value, found := strings.CutPrefix(line, name+": "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
