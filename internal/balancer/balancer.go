package balancer

import (
	"context"
	"net"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/packet/batch"
	"merlinpaddle/internal/process"
)

// socketBufferBytes is the requested size of the socket's receive and send
// buffers; the kernel may grant less.
const socketBufferBytes = 4 << 20

// Options configures a balancer.
type Options struct {
	// Packets is the UDP address for Geneve packets; port zero selects a free
	// port.
	Packets netip.AddrPort
	// CacheFlows is the capacity of the flow cache, in flows.
	CacheFlows int
	// Workers is the number of receive loops.
	Workers int
	// OpeningsPerSource limits the opening packets per second from one source
	// address; zero means no limit.
	OpeningsPerSource float64
	Configurations    Configurations
	Readiness         *process.Readiness
	Registry          prometheus.Registerer
}

// Balancer forwards packets. All workers share one socket: the fabric sends every
// packet from one address, so with SO_REUSEPORT, which picks a socket by the hash
// of the addresses, a single socket would receive all packets.
type Balancer struct {
	socket  *net.UDPConn
	address netip.AddrPort
	workers int
	router  *Router
	indexes *IndexController
	metrics *metrics
}

// New opens the socket of a balancer. Run starts forwarding; Close stops it. A
// socket that cannot be opened or set up is a faults.PacketSocket error.
func New(options Options) (*Balancer, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.Packets))
	if err != nil {
		return nil, faults.New(faults.PacketSocket, "balancer.packets: listen on %s: %v", options.Packets, err)
	}
	// With a smaller buffer than requested, bursts lose packets sooner; nothing
	// else depends on the size.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	if err := batch.ReportDrops(socket); err != nil {
		_ = socket.Close()
		return nil, faults.New(faults.PacketSocket, "balancer.packets: enable counting of lost datagrams on %s: %v", options.Packets, err)
	}
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	cache := flow.NewCache(options.CacheFlows)
	limits := NewLimits(options.OpeningsPerSource)
	counters := newMetrics(options.Registry, cache)
	return &Balancer{
		socket:  socket,
		address: netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port()),
		workers: options.Workers,
		router:  NewRouter(cache, limits),
		indexes: newIndexController(options.Configurations, limits, options.Readiness, counters),
		metrics: counters,
	}, nil
}

// Address returns the UDP address on which the balancer receives Geneve packets.
func (balancer *Balancer) Address() netip.AddrPort { return balancer.address }

// Controller returns the controller that follows the configuration.
func (balancer *Balancer) Controller() *IndexController { return balancer.indexes }

// BeginStop marks the process as not ready while the balancer keeps forwarding.
func (balancer *Balancer) BeginStop() { balancer.indexes.beginStop() }

// Close closes the socket, which makes Run return.
func (balancer *Balancer) Close() { _ = balancer.socket.Close() }

// Run forwards packets until ctx ends.
func (balancer *Balancer) Run(ctx context.Context) error {
	stopOnEnd := context.AfterFunc(ctx, balancer.Close)
	defer stopOnEnd()
	var group errgroup.Group
	for range balancer.workers {
		group.Go(newWorker(balancer).run)
	}
	return group.Wait()
}
