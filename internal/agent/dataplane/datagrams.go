package dataplane

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/model"
)

// maximumBackendDatagram is the size of the buffer for a back end's datagram.
const maximumBackendDatagram = 64 << 10

// DatagramReceiver forwards the flows of a plain UDP service to the back end, each
// through a socket of its own, so that the back end can tell flows apart. It
// implements Receiver.
type DatagramReceiver struct {
	plane   *Plane
	backend string

	lock    sync.Mutex
	sockets map[model.FiveTuple]*net.UDPConn
	closed  bool
	readers sync.WaitGroup
	failed  atomic.Uint64
}

// NewDatagramReceiver returns a receiver for plane that forwards to backend.
func NewDatagramReceiver(plane *Plane, backend string) *DatagramReceiver {
	return &DatagramReceiver{plane: plane, backend: backend, sockets: make(map[model.FiveTuple]*net.UDPConn)}
}

// Deliver implements Receiver.
func (datagrams *DatagramReceiver) Deliver(flow model.FiveTuple, payload []byte) {
	socket, err := datagrams.socket(flow)
	if err == nil {
		_, err = socket.Write(payload)
	}
	if err != nil {
		// The datagram is lost, as on any network.
		datagrams.failed.Add(1)
	}
}

// Failed returns how many datagrams could not be forwarded.
func (datagrams *DatagramReceiver) Failed() uint64 { return datagrams.failed.Load() }

// socket returns the flow's socket and opens it if needed.
func (datagrams *DatagramReceiver) socket(flow model.FiveTuple) (*net.UDPConn, error) {
	datagrams.lock.Lock()
	defer datagrams.lock.Unlock()
	if socket, open := datagrams.sockets[flow]; open {
		return socket, nil
	}
	if datagrams.closed {
		return nil, net.ErrClosed
	}
	address, err := net.ResolveUDPAddr("udp", datagrams.backend)
	if err != nil {
		return nil, err
	}
	socket, err := net.DialUDP("udp", nil, address)
	if err != nil {
		return nil, err
	}
	datagrams.sockets[flow] = socket
	datagrams.readers.Add(1)
	go datagrams.readAnswers(flow, socket)
	return socket, nil
}

// readAnswers sends the back end's datagrams to the caller until the flow
// ends.
func (datagrams *DatagramReceiver) readAnswers(flow model.FiveTuple, socket *net.UDPConn) {
	defer datagrams.readers.Done()
	buffer := make([]byte, maximumBackendDatagram)
	for {
		length, err := socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The back end's port was closed for a moment.
			datagrams.failed.Add(1)
			continue
		}
		datagrams.plane.Touch(time.Now(), flow)
		if err := datagrams.plane.SendUDP(flow.Protocol, flow.Destination, flow.Source, buffer[:length]); err != nil {
			datagrams.failed.Add(1)
		}
	}
}

// Reset implements Receiver. Plain UDP has no reset.
func (datagrams *DatagramReceiver) Reset(model.FiveTuple, []byte) {}

// Expired implements Receiver.
func (datagrams *DatagramReceiver) Expired(flows []model.FiveTuple) {
	datagrams.lock.Lock()
	defer datagrams.lock.Unlock()
	for _, flow := range flows {
		if socket, open := datagrams.sockets[flow]; open {
			_ = socket.Close()
			delete(datagrams.sockets, flow)
		}
	}
}

// OpenFlows returns the number of open flows.
func (datagrams *DatagramReceiver) OpenFlows() int {
	datagrams.lock.Lock()
	defer datagrams.lock.Unlock()
	return len(datagrams.sockets)
}

// Close ends all flows and waits for their readers.
func (datagrams *DatagramReceiver) Close() {
	datagrams.lock.Lock()
	datagrams.closed = true
	for flow, socket := range datagrams.sockets {
		_ = socket.Close()
		delete(datagrams.sockets, flow)
	}
	datagrams.lock.Unlock()
	datagrams.readers.Wait()
}
