package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/settings"
)

// socketBufferBytes is the requested size of each socket's buffers; the operating system may grant
// less.
const socketBufferBytes = 4 << 20

// receiveBufferBytes is the size of receive buffers, enough for the largest datagram over loopback.
const receiveBufferBytes = 1 << 16

// Options configures a fabric.
type Options struct {
	// Addresses are the virtual addresses; port zero takes a free port.
	Addresses []netip.AddrPort
	// Geneve is the address for encapsulated packets; port zero takes a free port.
	Geneve netip.AddrPort
	// Latencies are the one-way delays between callers and zones.
	Latencies []settings.Latency
	// Seed seeds the choice of balancers and the impairments.
	Seed     uint64
	Machines *Machines
	Registry prometheus.Registerer
}

// Fabric forwards packets from callers to balancers and from agents to callers.
type Fabric struct {
	machines *Machines
	network  *network
	metrics  *metrics
	delayed  *DelayQueue
	geneve   *net.UDPConn
	// virtualSockets has the socket of each virtual address.
	virtualSockets map[netip.AddrPort]*net.UDPConn
	// addresses are the keys of virtualSockets in the order of the options.
	addresses []netip.AddrPort
}

// New returns a fabric with its sockets open. Run starts it; Close ends it.
func New(options Options) (*Fabric, error) {
	if len(options.Addresses) == 0 {
		return nil, faults.New(faults.FabricSettingsIncomplete, "fabric.addresses: at least one virtual address is needed")
	}
	created := &Fabric{
		machines:       options.Machines,
		network:        newNetwork(options.Seed, options.Latencies),
		metrics:        newMetrics(options.Registry),
		delayed:        NewDelayQueue(),
		virtualSockets: make(map[netip.AddrPort]*net.UDPConn, len(options.Addresses)),
	}
	if err := created.open(options); err != nil {
		created.Close()
		return nil, err
	}
	return created, nil
}

func (fabric *Fabric) open(options Options) error {
	socket, err := listen(options.Geneve)
	if err != nil {
		return err
	}
	fabric.geneve = socket
	for _, address := range options.Addresses {
		socket, err := listen(address)
		if err != nil {
			return err
		}
		bound := boundAddress(socket)
		fabric.virtualSockets[bound] = socket
		fabric.addresses = append(fabric.addresses, bound)
	}
	return nil
}

// listen opens a UDP socket on address.
func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "listen on %s: %v", address, err)
	}
	// Errors are ignored: with a smaller buffer than requested, packets are merely lost earlier.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

// boundAddress returns the local address of socket, with IPv4 addresses unmapped.
func boundAddress(socket *net.UDPConn) netip.AddrPort {
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Geneve returns the address for encapsulated packets.
func (fabric *Fabric) Geneve() netip.AddrPort { return boundAddress(fabric.geneve) }

// Addresses returns the virtual addresses in the order of the options.
func (fabric *Fabric) Addresses() []netip.AddrPort { return fabric.addresses }

// Close closes the sockets, which ends Run.
func (fabric *Fabric) Close() {
	if fabric.geneve != nil {
		_ = fabric.geneve.Close()
	}
	for _, socket := range fabric.virtualSockets {
		_ = socket.Close()
	}
}

// Run forwards packets until ctx ends, and then closes the fabric.
func (fabric *Fabric) Run(ctx context.Context) error {
	group, groupContext := errgroup.WithContext(ctx)
	for _, address := range fabric.addresses {
		group.Go(func() error { return newIngress(fabric, address).run() })
	}
	group.Go(func() error { return newEgress(fabric).run() })
	group.Go(func() error { return fabric.delayed.Run(groupContext) })
	group.Go(func() error {
		<-groupContext.Done()
		fabric.Close()
		return nil
	})
	return group.Wait()
}

// transmit sends data after latency, subject to the impairments between callers and zone: it may be
// dropped, duplicated or delayed further.
func (fabric *Fabric) transmit(zone string, latency time.Duration, socket *net.UDPConn, destination netip.AddrPort, data []byte) {
	decided := fabric.network.decide(zone)
	if decided.reason != dropNone {
		fabric.metrics.drop(decided.reason)
		return
	}
	for range decided.copies {
		fabric.send(latency+decided.extraDelay, socket, destination, data)
	}
}

// send sends data after delay, or at once when delay is not positive.
func (fabric *Fabric) send(delay time.Duration, socket *net.UDPConn, destination netip.AddrPort, data []byte) {
	if delay > 0 {
		if !fabric.delayed.Put(time.Now().Add(delay), socket, destination, data) {
			fabric.metrics.drop(dropDelayQueueFull)
		}
		return
	}
	if _, err := socket.WriteToUDPAddrPort(data, destination); err != nil {
		fabric.metrics.drop(dropSend)
	}
}

// isClosed reports whether a socket's error means that the fabric was closed.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// dropReasonOf returns the drop reason for an encoding error.
func dropReasonOf(err error) dropReason {
	if faults.CodeOf(err) == faults.PacketTooLarge {
		return dropTooLarge
	}
	return dropMalformed
}
