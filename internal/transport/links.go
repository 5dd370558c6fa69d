package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/settings"
)

// Timing has the time limits of links.
type Timing struct {
	// ConnectTimeout bounds the making of one connection.
	ConnectTimeout time.Duration
	// FirstConnectTimeout bounds the first attempt after a connection was
	// lost; later attempts wait twice as long each, up to ConnectTimeout. A
	// machine without power does not answer, and one that returns answers at
	// once, so short attempts find it sooner. Zero means ConnectTimeout.
	FirstConnectTimeout time.Duration
	// Keepalive is the longest silence of a sender.
	Keepalive time.Duration
	// ReadTimeout is the silence after which a connection counts as broken.
	ReadTimeout time.Duration
	// WriteTimeout bounds the writing of one piece.
	WriteTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between two attempts.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (timing Timing) firstConnectTimeout() time.Duration {
	if timing.FirstConnectTimeout == 0 {
		return timing.ConnectTimeout
	}
	return timing.FirstConnectTimeout
}

// DefaultTiming returns the time limits of processes.
func DefaultTiming() Timing {
	return Timing{
		ConnectTimeout: 2 * time.Second,
		Keepalive:      2 * time.Second,
		ReadTimeout:    6 * time.Second,
		WriteTimeout:   5 * time.Second,
		MinBackoff:     50 * time.Millisecond,
		MaxBackoff:     2 * time.Second,
	}
}

// QuickTiming returns the time limits of processes whose group must notice a
// cut and its end within a second.
func QuickTiming() Timing {
	return Timing{
		ConnectTimeout:      150 * time.Millisecond,
		FirstConnectTimeout: 60 * time.Millisecond,
		Keepalive:           250 * time.Millisecond,
		ReadTimeout:         900 * time.Millisecond,
		WriteTimeout:        900 * time.Millisecond,
		MinBackoff:          20 * time.Millisecond,
		MaxBackoff:          40 * time.Millisecond,
	}
}

// Options are what Links need.
type Options struct {
	Self model.NodeName
	Role model.Role
	// Listen is the address for connections of others; empty accepts none.
	Listen string
	// Keys, when set, makes all links TLS.
	Keys    *keys.Loader
	Mailbox *protocol.Mailbox
	Metrics *Metrics
	Logger  *zap.Logger
	Timing  Timing
}

// Links moves the outbox of a mailbox to other processes and what they send
// to the inbox.
type Links struct {
	options  Options
	listener net.Listener

	lock     sync.Mutex
	running  context.Context
	outgoing map[model.NodeName]*outgoingLink
	incoming map[model.NodeName]*connection
	tasks    sync.WaitGroup
}

// NewLinks returns links that do nothing until Listen and Run.
func NewLinks(options Options) *Links {
	return &Links{
		options:  options,
		outgoing: make(map[model.NodeName]*outgoingLink),
		incoming: make(map[model.NodeName]*connection),
	}
}

// Listen takes the listen address, if there is one.
func (links *Links) Listen() error {
	if links.options.Listen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", links.options.Listen)
	if err != nil {
		return faults.New(faults.CodeAddressInUse, "control address %s: %v", links.options.Listen, err)
	}
	links.listener = listener
	return nil
}

// Address returns the address that Listen took, or nil.
func (links *Links) Address() net.Addr {
	if links.listener == nil {
		return nil
	}
	return links.listener.Addr()
}

// Run carries messages until ctx ends, and returns once all its goroutines
// have ended.
func (links *Links) Run(ctx context.Context) error {
	links.start(ctx)
	if links.listener != nil {
		stopClose := context.AfterFunc(ctx, func() { _ = links.listener.Close() })
		defer stopClose()
		links.spawn(func() { links.accept(ctx) })
	}
	links.route(ctx)
	links.tasks.Wait()
	return nil
}

func (links *Links) start(ctx context.Context) {
	links.lock.Lock()
	defer links.lock.Unlock()
	links.running = ctx
	for _, link := range links.outgoing {
		links.spawn(func() { link.run(ctx) })
	}
}

func (links *Links) spawn(run func()) {
	links.tasks.Add(1)
	go func() {
		defer links.tasks.Done()
		run()
	}()
}

// Dial keeps a connection to peer from now on. Dialling a peer twice has no
// further effect; another address for the same name replaces the first.
func (links *Links) Dial(peer settings.Peer) {
	name := model.NodeName(peer.Name)
	links.lock.Lock()
	defer links.lock.Unlock()
	if link, exists := links.outgoing[name]; exists {
		link.setAddress(peer.Address)
		return
	}
	link := newOutgoingLink(links, name, peer.Address)
	links.outgoing[name] = link
	if links.running != nil && links.running.Err() == nil {
		ctx := links.running
		links.spawn(func() { link.run(ctx) })
	}
}

// Disconnect closes the connection to peer and makes it no more. Messages that
// wait for it are dropped.
func (links *Links) Disconnect(peer model.NodeName) {
	links.lock.Lock()
	defer links.lock.Unlock()
	link, exists := links.outgoing[peer]
	if !exists {
		return
	}
	delete(links.outgoing, peer)
	link.stop()
}

// Connected tells whether a message to peer has a connection to go by.
func (links *Links) Connected(peer model.NodeName) bool {
	links.lock.Lock()
	defer links.lock.Unlock()
	if link, exists := links.outgoing[peer]; exists {
		return link.connected.Load()
	}
	return links.incoming[peer] != nil
}

// route moves the outbox to the send queues until ctx ends. It takes what is
// left in the outbox once more at the end, for messages of a planned stop.
func (links *Links) route(ctx context.Context) {
	notices := links.options.Mailbox.Outbox.Watch()
	for {
		for _, envelope := range links.options.Mailbox.Outbox.Drain() {
			links.enqueue(envelope)
		}
		select {
		case <-ctx.Done():
			return
		case <-notices:
		}
	}
}

func (links *Links) enqueue(envelope protocol.Envelope) {
	if envelope.To == links.options.Self {
		links.receive(envelope)
		return
	}
	queue := links.queueOf(envelope.To)
	if queue == nil {
		links.options.Metrics.drop(dropNoRoute)
		return
	}
	queue.put(envelope, time.Now())
}

func (links *Links) queueOf(peer model.NodeName) *sendQueue {
	links.lock.Lock()
	defer links.lock.Unlock()
	if link, exists := links.outgoing[peer]; exists {
		return link.queue
	}
	if connection, exists := links.incoming[peer]; exists {
		return connection.queue
	}
	return nil
}

func (links *Links) receive(envelope protocol.Envelope) {
	if !links.options.Mailbox.Inbox.Put(envelope) {
		links.options.Metrics.drop(dropInbox)
	}
}

func (links *Links) hello() hello {
	return hello{Name: links.options.Self, Role: links.options.Role}
}
