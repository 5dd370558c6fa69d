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

// socketBufferBytes is the size asked for each socket's buffers; the machine
// may grant less.
const socketBufferBytes = 4 << 20

// receiveBufferBytes is the largest datagram over loopback, in bytes.
const receiveBufferBytes = 1 << 16

// Options configures a fabric.
type Options struct {
	// Addresses are the virtual addresses; port zero takes a free port.
	Addresses []netip.AddrPort
	// Geneve is the address for encapsulated packets; port zero takes a free
	// port.
	Geneve    netip.AddrPort
	Latencies []settings.Latency
	Seed      uint64
	Machines  *Machines
	Registry  prometheus.Registerer
}

// Fabric carries packets between callers, balancers and agents.
type Fabric struct {
	machines *Machines
	network  *network
	metrics  *metrics
	delayed  *DelayQueue
	geneve   *net.UDPConn
	// virtual has the socket of each virtual address.
	virtual map[netip.AddrPort]*net.UDPConn
	// addresses are the keys of virtual in the order of the options.
	addresses []netip.AddrPort
}

// New opens the sockets of a fabric. Run starts it; Close ends it.
func New(options Options) (*Fabric, error) {
	if len(options.Addresses) == 0 {
		return nil, faults.New(faults.FabricSettingsIncomplete, "fabric.addresses: at least one virtual address is needed")
	}
	created := &Fabric{
		machines: options.Machines,
		network:  newNetwork(options.Seed, options.Latencies),
		metrics:  newMetrics(options.Registry),
		delayed:  NewDelayQueue(),
		virtual:  make(map[netip.AddrPort]*net.UDPConn, len(options.Addresses)),
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
		fabric.virtual[bound] = socket
		fabric.addresses = append(fabric.addresses, bound)
	}
	return nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "listen on %s: %v", address, err)
	}
	// A smaller buffer than asked for loses packets earlier; nothing else.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	return socket, nil
}

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
	for _, socket := range fabric.virtual {
		_ = socket.Close()
	}
}

// Run carries packets until ctx ends.
func (fabric *Fabric) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(ctx)
	for _, address := range fabric.addresses {
		group.Go(func() error { return newIngress(fabric, address).run() })
	}
	group.Go(func() error { return newEgress(fabric).run() })
	group.Go(func() error { return fabric.delayed.Run(running) })
	group.Go(func() error {
		<-running.Done()
		fabric.Close()
		return nil
	})
	return group.Wait()
}

// transmit lets the network carry data between callers and zone: it is lost,
// delayed, doubled or sent at once.
func (fabric *Fabric) transmit(zone string, latency time.Duration, socket *net.UDPConn, destination netip.AddrPort, data []byte) {
	decided := fabric.network.fateOf(zone)
	if decided.reason != dropNone {
		fabric.metrics.drop(decided.reason)
		return
	}
	for range decided.copies {
		fabric.send(latency+decided.hold, socket, destination, data)
	}
}

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

// isClosed tells whether a socket's error means that the fabric stops.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// dropOf returns the reason that belongs to an encoding error.
func dropOf(err error) dropReason {
	if faults.CodeOf(err) == faults.PacketTooLarge {
		return dropTooLarge
	}
	return dropMalformed
}
