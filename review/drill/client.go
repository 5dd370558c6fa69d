package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client is a machine with clients, together with the routers in front of the balancers.
type client struct {
	fleet   *fleet
	address netip.Addr
	socket  *net.UDPConn

	lock     sync.Mutex
	lastPort uint16
	inboxes  map[uint16]chan packet
}

func (fleet *fleet) startClient(last byte) (*client, error) {
	address := fleet.address(last)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, packetPort)))
	if err != nil {
		return nil, err
	}
	client := &client{fleet: fleet, address: address, socket: socket, lastPort: 40000, inboxes: make(map[uint16]chan packet)}
	go client.receive()
	return client, nil
}

// receive passes packets to their flows.
func (client *client) receive() {
	buffer := make([]byte, 4096)
	for {
		size, _, err := client.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		received, whole := decode(buffer[:size])
		if !whole {
			continue
		}
		client.lock.Lock()
		inbox := client.inboxes[received.to.Port()]
		client.lock.Unlock()
		if inbox != nil {
			select {
			case inbox <- received:
			default:
			}
		}
	}
}

// route sends a packet to the balancer that the routers choose by the four addresses and ports.
// All balancers stay in during a case.
func (client *client) route(sent packet) {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s %s", sent.from, sent.to)
	balancer := client.fleet.balancers[hash.Sum32()%uint32(len(client.fleet.balancers))]
	_, _ = client.socket.WriteToUDPAddrPort(sent.encode(), netip.AddrPortFrom(balancer.address, packetPort))
}

// clientFlow is a flow at a client.
type clientFlow struct {
	client  *client
	from    netip.AddrPort
	service netip.AddrPort
	inbox   chan packet
	seq     uint32
	// lastAck is the client's last acknowledgement, and targetSeq the target's first number.
	lastAck uint32
	echo    uint32
}

// The ways in which a flow fails.
var (
	errNotOpened    = errors.New("no SYN+ACK")
	errResetUnopen  = errors.New("reset before the flow opened")
	errSystemReset  = errors.New("reset by the system")
	errTargetReset  = errors.New("reset by a target")
	errForeignBytes = errors.New("a packet that is not as its sender wrote it")
	errNoAnswer     = errors.New("no answer before the deadline")
)

// resetWindow is how far the number of a reset may lie from the client's last acknowledgement.
const resetWindow = 76800

// open opens a flow: copies of the SYN are sent after 200 and 600 ms, and it is given up after 1.4 s.
func (client *client) open() (*clientFlow, error) {
	client.lock.Lock()
	client.lastPort++
	flow := &clientFlow{
		client: client, from: netip.AddrPortFrom(client.address, client.lastPort), service: client.fleet.routeAddress(),
		inbox: make(chan packet, 64), seq: uint32(client.lastPort) * 7919,
	}
	client.inboxes[client.lastPort] = flow.inbox
	client.lock.Unlock()
	for attempt, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		client.route(packet{from: flow.from, to: flow.service, flags: flagSyn, seq: flow.seq, ack: uint32(attempt)})
		timeout := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-timeout:
				waiting = false
			case received := <-flow.inbox:
				switch {
				case received.flags&flagRst != 0:
					return flow, errResetUnopen
				case received.flags&flagSyn != 0 && received.sound && received.ack == flow.seq+1:
					flow.seq++
					flow.lastAck = received.seq + 1
					flow.echo = received.echo
					return flow, nil
				}
			}
		}
	}
	return flow, errNotOpened
}

// exchange sends a request on an open flow and returns the target's answer. Lost packets are sent
// again after 200 ms, doubling up to 1.6 s, until the deadline.
func (flow *clientFlow) exchange(attempt string, deadline time.Duration) (string, error) {
	request := packet{
		from: flow.from, to: flow.service, flags: flagAck, seq: flow.seq, ack: flow.lastAck,
		data: []byte("POST / HTTP/1.1\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n"),
	}
	flow.seq += uint32(len(request.data))
	end := time.After(deadline)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		request.echo = flow.echo
		flow.client.route(request)
		again := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-end:
				return "", errNoAnswer
			case <-again:
				waiting = false
			case received := <-flow.inbox:
				if answer, done, err := flow.take(received); done || err != nil {
					return answer, err
				}
			}
		}
	}
}

// take handles a packet of an open flow and reports whether it answers the request.
func (flow *clientFlow) take(received packet) (answer string, done bool, err error) {
	switch {
	case received.flags&flagRst != 0 && received.sum == 0:
		if distance := int32(received.seq - flow.lastAck); distance > resetWindow || distance < -resetWindow {
			return "", false, nil
		}
		return "", true, errSystemReset
	case !received.sound:
		return "", true, errForeignBytes
	case received.flags&flagRst != 0:
		return "", true, errTargetReset
	case received.flags&flagSyn != 0 || len(received.data) == 0 || received.seq != flow.lastAck:
		return "", false, nil
	}
	flow.echo = received.echo
	flow.lastAck += uint32(len(received.data))
	flow.client.route(packet{from: flow.from, to: flow.service, flags: flagAck, seq: flow.seq, ack: flow.lastAck, echo: flow.echo})
	return string(received.data), true, nil
}

// close ends a flow.
func (flow *clientFlow) close() {
	flow.client.route(packet{from: flow.from, to: flow.service, flags: flagFin | flagAck, seq: flow.seq, ack: flow.lastAck, echo: flow.echo})
	time.AfterFunc(2*time.Second, func() {
		flow.client.lock.Lock()
		defer flow.client.lock.Unlock()
		delete(flow.client.inboxes, flow.from.Port())
	})
}

// load opens a flow for each request, perSecond of them, until stop is closed, and counts outcomes.
type load struct {
	lock     sync.Mutex
	answered int
	failed   map[string]int
	waiting  sync.WaitGroup
}

func (client *client) startLoad(perSecond int, stop <-chan struct{}) *load {
	load := &load{failed: make(map[string]int)}
	load.waiting.Add(1)
	go func() {
		defer load.waiting.Done()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				load.waiting.Add(1)
				go func() {
					defer load.waiting.Done()
					load.request(client, fmt.Sprintf("a-%05d", number))
				}()
			}
		}
	}()
	return load
}

func (load *load) request(client *client, attempt string) {
	flow, err := client.open()
	answer := ""
	if err == nil {
		answer, err = flow.exchange(attempt, 3*time.Second)
	}
	flow.close()
	client.fleet.record.line("client: request %s from %s: error %v, answer %q", attempt, flow.from, err, lastLine(answer))
	load.lock.Lock()
	defer load.lock.Unlock()
	if err != nil {
		load.failed[err.Error()]++
		return
	}
	load.answered++
}

// lastLine returns the first word of the answer's body, which names the target that ran the request.
func lastLine(answer string) string {
	for index := len(answer) - 4; index >= 0; index-- {
		if answer[index:index+4] == "\r\n\r\n" && index+4 < len(answer) {
			var id string
			_, _ = fmt.Sscan(answer[index+4:], &id)
			return id
		}
	}
	return answer
}

func (load *load) summary() string {
	load.lock.Lock()
	defer load.lock.Unlock()
	return fmt.Sprintf("%d requests answered, failed %v", load.answered, load.failed)
}
