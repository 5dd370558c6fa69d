// Package datagram carries load reports between balancers as UDP datagrams. Each datagram is a
// complete gob stream. Reports are small, frequent and quickly outdated, so lost ones are not
// retransmitted and no connection is kept.
//
// Datagrams do not authenticate their sender. Where processes have keys, reports are sent over
// their authenticated links instead.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"reflect"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/socketfault"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/gobstream"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// maxDatagram is the size limit of a datagram, in bytes.
	maxDatagram = 16 << 10
	// maxQueuedReports bounds the received reports that wait to be processed.
	maxQueuedReports = 1024
)

// Socket sends and receives reports. Nodes are named by their UDP address. It implements
// load.Sender.
type Socket struct {
	socket   *net.UDPConn
	encoders *gobstream.Encoders
	decoders *gobstream.Decoders
	reports  *board.Queue[protocol.Envelope]
	failures *socketfault.Counter
}

var _ load.Sender = (*Socket)(nil)

// Listen opens a socket at the given address, which is the node's name. Later failures are counted
// in failures.
func Listen(address string, failures *socketfault.Counter) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "load reports: parse listen address: %v", err)
	}
	opened, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "load reports: listen on %s: %v", address, err)
	}
	return &Socket{
		socket:   opened,
		encoders: gobstream.NewEncoders(),
		decoders: gobstream.NewDecoders(),
		reports:  board.NewQueue[protocol.Envelope]("load reports", maxQueuedReports),
		failures: failures,
	}, nil
}

// Reports returns the queue of received reports.
func (socket *Socket) Reports() *board.Queue[protocol.Envelope] { return socket.reports }

// Address returns the socket's own address, which is the node's name.
func (socket *Socket) Address() netip.AddrPort {
	return socket.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send implements load.Sender. A report that cannot be sent is counted as a failure and dropped,
// as if the network had lost it.
func (socket *Socket) Send(nodes []model.NodeName, report load.Report) {
	content, err := socket.encoders.Encode(report)
	if err == nil && len(content) > maxDatagram {
		err = faults.New(faults.PacketSocket, "load report: %d targets take %d bytes, the limit is %d", len(report.Entries), len(content), maxDatagram)
	}
	if err != nil {
		socket.failures.Note(socketfault.Encode, err)
		return
	}
	for _, node := range nodes {
		address, err := netip.ParseAddrPort(string(node))
		if err == nil {
			_, err = socket.socket.WriteToUDPAddrPort(content, address)
		}
		socket.failures.Note(socketfault.Write, err)
	}
}

// Run receives reports until ctx is done, then closes the socket.
func (socket *Socket) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := socket.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			socket.failures.Note(socketfault.Read, err)
			continue
		}
		socket.enqueue(buffer[:size], from)
	}
}

// enqueue decodes a datagram and queues its report. Malformed datagrams are counted and dropped.
func (socket *Socket) enqueue(content []byte, from netip.AddrPort) {
	var report load.Report
	if err := socket.decoders.Decode(content, reflect.ValueOf(&report)); err != nil {
		socket.failures.Note(socketfault.Decode, err)
		return
	}
	socket.reports.Put(protocol.Envelope{From: model.NodeName(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()), Message: report})
}
