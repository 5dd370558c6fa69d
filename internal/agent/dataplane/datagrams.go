package dataplane

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/model"
)

// backendBufferSize is the size of the buffer for one datagram of the back end, in bytes. UDP
// allows no longer ones.
const backendBufferSize = 64 << 10

// DatagramReceiver forwards the datagrams of a plain UDP service to the back end. Each flow has its
// own socket, so that the back end can distinguish flows by their source port. It implements
// Receiver.
type DatagramReceiver struct {
	plane   *Plane
	backend string

	// lock guards sockets and closed.
	lock             sync.Mutex
	sockets          map[model.FiveTuple]*net.UDPConn
	closed           bool
	readerGoroutines sync.WaitGroup
	failed           atomic.Uint64
}

// NewDatagramReceiver returns a receiver for plane that forwards to the UDP address backend.
func NewDatagramReceiver(plane *Plane, backend string) *DatagramReceiver {
	return &DatagramReceiver{plane: plane, backend: backend, sockets: make(map[model.FiveTuple]*net.UDPConn)}
}

// Deliver implements Receiver.
func (receiver *DatagramReceiver) Deliver(flow model.FiveTuple, payload []byte) {
	socket, err := receiver.socketOf(flow)
	if err == nil {
		_, err = socket.Write(payload)
	}
	if err != nil {
		// The datagram is lost; UDP callers must expect loss anyway.
		receiver.failed.Add(1)
	}
}

// Failed returns how many datagrams could not be forwarded, in either direction.
func (receiver *DatagramReceiver) Failed() uint64 { return receiver.failed.Load() }

// socketOf returns the flow's socket and opens it if needed.
func (receiver *DatagramReceiver) socketOf(flow model.FiveTuple) (*net.UDPConn, error) {
	receiver.lock.Lock()
	defer receiver.lock.Unlock()
	if socket, open := receiver.sockets[flow]; open {
		return socket, nil
	}
	if receiver.closed {
		return nil, net.ErrClosed
	}
	address, err := net.ResolveUDPAddr("udp", receiver.backend)
	if err != nil {
		return nil, err
	}
	socket, err := net.DialUDP("udp", nil, address)
	if err != nil {
		return nil, err
	}
	receiver.sockets[flow] = socket
	receiver.readerGoroutines.Add(1)
	go receiver.forwardAnswers(flow, socket)
	return socket, nil
}

// forwardAnswers sends the back end's datagrams to the caller until the flow's socket is closed.
func (receiver *DatagramReceiver) forwardAnswers(flow model.FiveTuple, socket *net.UDPConn) {
	defer receiver.readerGoroutines.Done()
	buffer := make([]byte, backendBufferSize)
	for {
		length, err := socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example, an ICMP message that the back end's port is closed. The back end may
			// open it again.
			receiver.failed.Add(1)
			continue
		}
		receiver.plane.Touch(time.Now(), flow)
		if err := receiver.plane.SendUDP(flow.Protocol, flow.Destination, flow.Source, buffer[:length]); err != nil {
			receiver.failed.Add(1)
		}
	}
}

// Reset implements Receiver. It does nothing, because plain UDP has no reset.
func (receiver *DatagramReceiver) Reset(model.FiveTuple, []byte) {}

// Expired implements Receiver. It closes the flows' sockets.
func (receiver *DatagramReceiver) Expired(flows []model.FiveTuple) {
	receiver.lock.Lock()
	defer receiver.lock.Unlock()
	for _, flow := range flows {
		if socket, open := receiver.sockets[flow]; open {
			_ = socket.Close()
			delete(receiver.sockets, flow)
		}
	}
}

// OpenFlows returns the number of flows that have a socket.
func (receiver *DatagramReceiver) OpenFlows() int {
	receiver.lock.Lock()
	defer receiver.lock.Unlock()
	return len(receiver.sockets)
}

// Close closes the sockets of all flows and waits for their reader goroutines.
func (receiver *DatagramReceiver) Close() {
	receiver.lock.Lock()
	receiver.closed = true
	for flow, socket := range receiver.sockets {
		_ = socket.Close()
		delete(receiver.sockets, flow)
	}
	receiver.lock.Unlock()
	receiver.readerGoroutines.Wait()
}
