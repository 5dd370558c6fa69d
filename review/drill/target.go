package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// heartbeatInterval is "heartbeat-ms" of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a target works on a request.
	workTime = 15 * time.Millisecond
)

// opening is the start of a flow at a target: the arrival of the packet that opened it.
type opening struct {
	caller netip.AddrPort
	at     time.Time
}

// target is one incarnation of a target. It follows the sections "Flows", "Targets" and "Service
// discovery" of the PROTOCOL page, and the newcomers' page for the field born.
type target struct {
	id      string
	number  uint64
	born    int64
	address netip.AddrPort
	zone    string

	fleet  *fleet
	socket *net.UDPConn
	health *http.Server

	lock     sync.Mutex
	sequence int
	member   int
	renewAt  string
	silent   bool
	ended    bool
	flows    map[netip.AddrPort]*targetFlow
	// openings are the flows that opened here, and resets the callers that this target reset.
	openings []opening
	resets   map[netip.AddrPort]int
	// strayed counts packets whose sum showed that they were not as their sender wrote them.
	strayed int
}

// targetFlow is a flow that a target holds.
type targetFlow struct {
	service netip.AddrPort
	opened  bool
	// takenAt is when the opening packet arrived.
	takenAt   time.Time
	seq       uint32
	next      uint32
	echo      uint32
	lastReply []byte
	working   bool
}

// startTarget opens a target's ports.
func (fleet *fleet) startTarget(number uint64, last byte, zone string) (*target, error) {
	target := &target{
		id: fmt.Sprintf("i-%08x", number), number: number, born: time.Now().UnixMilli(), zone: zone, fleet: fleet,
		address: netip.AddrPortFrom(fleet.address(last), targetPort),
		flows:   make(map[netip.AddrPort]*targetFlow), resets: make(map[netip.AddrPort]int),
	}
	listener, err := listenAgain(target.address)
	if err != nil {
		return nil, err
	}
	target.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(target.address))
	if err != nil {
		return nil, err
	}
	target.health = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("X-Instance-Id", target.id)
	})}
	go func() { _ = target.health.Serve(listener) }()
	go target.serve()
	fleet.record.line("target %s (born %d) starts at %s", target.id, target.born, target.address)
	return target, nil
}

// listenAgain listens at an address that was just given up.
func listenAgain(address netip.AddrPort) (listener net.Listener, err error) {
	for range 200 {
		if listener, err = net.Listen("tcp4", address.String()); err == nil {
			return listener, nil
		}
		time.Sleep(time.Millisecond)
	}
	return nil, err
}

// body returns the body of the next heartbeat.
func (target *target) body() []byte {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": declaredService, "address": target.address.String(), "zone": target.zone, "version": "v1",
		"capacity": 2, "state": "ready", "cold-remaining-ms": 0, "sequence": target.sequence, "born": target.born,
	})
	return body
}

// beat sends heartbeats until the target leaves or ends.
func (target *target) beat() {
	for {
		target.lock.Lock()
		over := target.silent || target.ended
		target.lock.Unlock()
		if over {
			return
		}
		if target.beatOnce() {
			time.Sleep(heartbeatInterval)
		}
	}
}

// beatOnce sends one heartbeat and reports whether it was acknowledged. If not, the next node is
// called.
func (target *target) beatOnce() bool {
	body := target.body()
	target.lock.Lock()
	node := target.renewAt
	if node == "" {
		node = target.fleet.members[target.member%len(target.fleet.members)].at(controlPort)
	}
	target.lock.Unlock()
	status, answer, err := call(http.MethodPut, node, "/instances/"+target.id, body)
	acknowledged := err == nil && status/100 == 2 && len(answer) <= 4096
	var reply struct {
		RenewAt string `json:"heartbeat-url"`
	}
	_ = json.Unmarshal(answer, &reply)
	target.lock.Lock()
	defer target.lock.Unlock()
	switch {
	case acknowledged && reply.RenewAt != "":
		target.renewAt = reply.RenewAt
	case acknowledged:
	case target.renewAt != "":
		target.renewAt = ""
	default:
		target.member++
	}
	if target.sequence == 1 || !acknowledged {
		target.fleet.record.line("target %s: heartbeat %d at %s: status %d, error %v", target.id, target.sequence, node, status, err)
	}
	return acknowledged
}

// leave sends the notice that the target leaves, without a draining report before it, until it is
// acknowledged. It returns when that was. The target sends no heartbeats afterwards and serves on. The
// notice tells the target's start if withStart is set, and has no body otherwise.
func (target *target) leave(withStart bool) (time.Time, error) {
	target.lock.Lock()
	target.silent = true
	target.lock.Unlock()
	var body []byte
	if withStart {
		body, _ = json.Marshal(map[string]any{"born": target.born})
	}
	for index := range 10 {
		member := target.fleet.members[(index+1)%len(target.fleet.members)]
		status, _, err := call(http.MethodDelete, member.at(controlPort), "/instances/"+target.id, body)
		target.fleet.record.line("target %s: DELETE %s at %s: status %d, error %v", target.id, body, member.address, status, err)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("target %s: nobody acknowledged that it leaves", target.id)
}

// end closes the target's ports.
func (target *target) end(cause string) {
	target.lock.Lock()
	defer target.lock.Unlock()
	if target.ended {
		return
	}
	target.ended = true
	_ = target.socket.Close()
	_ = target.health.Close()
	target.fleet.record.line("target %s ends: %s", target.id, cause)
}

// serve handles the packets that are meant for the target, until its socket is closed.
func (target *target) serve() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := target.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size < targetNameBytes {
			continue
		}
		if meant := binary.BigEndian.Uint64(buffer); meant != 0 && meant != target.number {
			continue
		}
		if received, sound := decode(buffer[targetNameBytes:size]); sound {
			target.handle(received)
		}
	}
}

// send sends a packet to a client. The caller holds the lock.
func (target *target) send(content []byte, to netip.AddrPort) {
	_, _ = target.socket.WriteToUDPAddrPort(content, netip.AddrPortFrom(to.Addr(), packetPort))
}

// handle handles one packet as the section "Targets" of the PROTOCOL page says.
func (target *target) handle(received packet) {
	target.lock.Lock()
	defer target.lock.Unlock()
	if !received.sound {
		target.strayed++
		target.fleet.record.line("target %s: a packet from %s is not as its sender wrote it", target.id, received.from)
		return
	}
	flow := target.flows[received.from]
	switch {
	case received.flags&flagRst != 0:
		delete(target.flows, received.from)
	case received.flags&flagSyn != 0:
		if flow == nil {
			flow = &targetFlow{service: received.to, takenAt: time.Now(), seq: uint32(target.number)*2654435761 + uint32(received.from.Port()), next: received.seq + 1}
			target.flows[received.from] = flow
		}
		flow.echo = received.echo
		answer := packet{from: received.to, to: received.from, flags: flagSyn | flagAck, seq: flow.seq, ack: flow.next, echo: flow.echo}
		target.send(answer.encode(), received.from)
	case flow == nil:
		target.resets[received.from]++
		target.fleet.record.line("target %s: resets %s, whose flow it does not hold", target.id, received.from)
		answer := packet{from: received.to, to: received.from, flags: flagRst, seq: received.ack, echo: received.echo}
		target.send(answer.encode(), received.from)
	default:
		target.handleFlow(flow, received)
	}
}

// handleFlow handles a packet of a flow that the target holds.
func (target *target) handleFlow(flow *targetFlow, received packet) {
	flow.echo = received.echo
	if !flow.opened && received.ack == flow.seq+1 {
		flow.opened = true
		flow.seq++
		target.openings = append(target.openings, opening{caller: received.from, at: flow.takenAt})
	}
	switch {
	case !flow.opened:
	case received.flags&flagFin != 0:
		answer := packet{from: received.to, to: received.from, flags: flagFin | flagAck, seq: flow.seq, ack: received.seq + 1, echo: flow.echo}
		target.send(answer.encode(), received.from)
	case len(received.data) == 0:
	case received.seq == flow.next:
		flow.next += uint32(len(received.data))
		flow.working = true
		time.AfterFunc(workTime, func() { target.answer(flow, received) })
	case flow.lastReply != nil && !flow.working:
		target.send(flow.lastReply, received.from)
	}
}

// answer answers a request.
func (target *target) answer(flow *targetFlow, request packet) {
	target.lock.Lock()
	defer target.lock.Unlock()
	body := fmt.Sprintf("%s ran %s", target.id, request.data)
	reply := packet{
		from: request.to, to: request.from, flags: flagAck, seq: flow.seq, ack: flow.next, echo: flow.echo,
		data: []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", target.id, len(body), body)),
	}
	flow.seq += uint32(len(reply.data))
	flow.lastReply = reply.encode()
	flow.working = false
	if !target.ended {
		target.send(flow.lastReply, request.from)
	}
}

// openingsAfter returns the flows that opened here and whose opening packets arrived after a time.
func (target *target) openingsAfter(limit time.Time) []opening {
	target.lock.Lock()
	defer target.lock.Unlock()
	var late []opening
	for _, opening := range target.openings {
		if opening.at.After(limit) {
			late = append(late, opening)
		}
	}
	return late
}

// didReset reports whether the target itself reset a caller's flow.
func (target *target) didReset(caller netip.AddrPort) bool {
	target.lock.Lock()
	defer target.lock.Unlock()
	return target.resets[caller] > 0
}
