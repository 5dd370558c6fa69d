// Package datagram carries load reports between balancers as UDP datagrams, one
// gob stream each. Reports are small, sent often and soon outdated, so a lost one
// needs no repetition, and no connection is kept for them.
//
// Datagrams prove nothing about their sender. Where processes have keys, reports
// go over their links instead.
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
	// maximumReport is the largest datagram, in bytes.
	maximumReport = 16 << 10
	// waitingReports bounds the reports that wait to be taken.
	waitingReports = 1024
)

// Socket sends and receives reports. A node's name is its address. It implements
// load.Outlet.
type Socket struct {
	socket   *net.UDPConn
	encoders *gobstream.Encoders
	decoders *gobstream.Decoders
	reports  *board.Queue[protocol.Envelope]
	failures *socketfault.Counter
}

var _ load.Sender = (*Socket)(nil)

// Listen opens a socket at the node's own address. What fails later is counted.
func Listen(address string, failures *socketfault.Counter) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "load reports: %v", err)
	}
	opened, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "load reports: listen on %s: %v", address, err)
	}
	return &Socket{
		socket:   opened,
		encoders: gobstream.NewEncoders(),
		decoders: gobstream.NewDecoders(),
		reports:  board.NewQueue[protocol.Envelope]("load reports", waitingReports),
		failures: failures,
	}, nil
}

// Reports returns the queue of received reports.
func (socket *Socket) Reports() *board.Queue[protocol.Envelope] { return socket.reports }

// Address returns the socket's own address, which is the node's name.
func (socket *Socket) Address() netip.AddrPort {
	return socket.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Tell implements load.Outlet. A report that cannot be sent is lost, like one
// that gets lost on its way.
func (socket *Socket) Send(nodes []model.NodeName, report load.Report) {
	content, err := socket.encoders.Encode(report)
	if err == nil && len(content) > maximumReport {
		err = faults.New(faults.PacketSocket, "load report: %d targets take %d bytes, more than %d", len(report.Entries), len(content), maximumReport)
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

// Run receives reports until ctx ends, and closes the socket.
func (socket *Socket) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.socket.Close() })
	defer stop()
	buffer := make([]byte, maximumReport)
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
		socket.take(buffer[:size], from)
	}
}

// take queues a report. What is no report is dropped.
func (socket *Socket) take(content []byte, from netip.AddrPort) {
	var report load.Report
	if err := socket.decoders.Decode(content, reflect.ValueOf(&report)); err != nil {
		socket.failures.Note(socketfault.Decode, err)
		return
	}
	socket.reports.Put(protocol.Envelope{From: model.NodeName(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()), Message: report})
}
