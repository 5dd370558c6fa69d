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

// Timing has the time limits of connections.
type Timing struct {
	// ConnectTimeout bounds the time to establish a connection, including the TLS handshake.
	ConnectTimeout time.Duration
	// FirstConnectTimeout bounds the first attempt to connect, and the first one after a connection
	// was lost. The limit doubles with each further attempt, up to ConnectTimeout. A machine without
	// power does not answer, and one that has restarted answers immediately, so short attempts
	// reconnect sooner. Zero means ConnectTimeout.
	FirstConnectTimeout time.Duration
	// Keepalive is the time without a message after which a sender sends a keepalive.
	Keepalive time.Duration
	// ReadTimeout is the time after which a connection that receives nothing counts as broken.
	ReadTimeout time.Duration
	// WriteTimeout bounds the time to write one chunk (maxWriteChunk).
	WriteTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between two attempts to connect. The wait doubles with
	// each attempt and is jittered.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// firstConnectTimeout returns FirstConnectTimeout or its default.
func (timing Timing) firstConnectTimeout() time.Duration {
	if timing.FirstConnectTimeout == 0 {
		return timing.ConnectTimeout
	}
	return timing.FirstConnectTimeout
}

// DefaultTiming returns the default time limits.
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

// QuickTiming returns short time limits, for processes whose group must detect a network partition,
// and its end, within one second.
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

// Options configures Links.
type Options struct {
	// Self and Role are the name and role of this process.
	Self model.NodeName
	Role model.Role
	// Listen is the address on which connections are accepted. If it is empty, none are accepted.
	Listen string
	// Keys, if not nil, makes all connections use TLS.
	Keys    *keys.Loader
	Mailbox *protocol.Mailbox
	Metrics *Metrics
	Logger  *zap.Logger
	Timing  Timing
}

// Links sends the messages in the outbox of a mailbox to other processes, and puts the messages that
// they send into the inbox.
type Links struct {
	options  Options
	listener net.Listener

	lock sync.Mutex
	// runContext is the context of Run, or nil before Run.
	runContext context.Context
	// outgoing has the links that this process dials, and incoming the connections that it accepted,
	// by the name of the peer.
	outgoing map[model.NodeName]*outgoingLink
	incoming map[model.NodeName]*connection
	// refused is called with the name of a dialled peer whose machine refused a connection; nil for
	// no call.
	refused func(peer model.NodeName)
	// tasks has the goroutines of accepted connections and outgoing links.
	tasks sync.WaitGroup
}

// NewLinks returns links that carry no messages until Run is called.
func NewLinks(options Options) *Links {
	return &Links{
		options:  options,
		outgoing: make(map[model.NodeName]*outgoingLink),
		incoming: make(map[model.NodeName]*connection),
	}
}

// Listen opens the listen address of the options, if there is one. It is called before Run. Its error
// has CodeAddressInUse.
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

// Address returns the address on which connections are accepted, or nil if there is none.
func (links *Links) Address() net.Addr {
	if links.listener == nil {
		return nil
	}
	return links.listener.Addr()
}

// Run carries messages until ctx ends, and returns when all its goroutines have ended. The error is
// always nil.
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

// start starts the links to the peers that were dialled before Run.
func (links *Links) start(ctx context.Context) {
	links.lock.Lock()
	defer links.lock.Unlock()
	links.runContext = ctx
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

// Dial connects to peer and reconnects when the connection breaks, until Disconnect. If the peer was
// dialled before, Dial only replaces the address, which the next attempt to connect uses.
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
	if links.runContext != nil && links.runContext.Err() == nil {
		ctx := links.runContext
		links.spawn(func() { link.run(ctx) })
	}
}

// OnRefused sets the function that is called when the machine of a dialled peer refuses a connection,
// which means that no process listens there. It is called a few times after each loss of the connection.
// It must return quickly. OnRefused must be called before Run.
func (links *Links) OnRefused(notify func(peer model.NodeName)) { links.refused = notify }

// Disconnect closes the connection to a dialled peer and does not reconnect. Queued messages to the
// peer are dropped.
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

// Connected reports whether there is a connection by which messages to peer are sent.
func (links *Links) Connected(peer model.NodeName) bool {
	links.lock.Lock()
	defer links.lock.Unlock()
	if link, exists := links.outgoing[peer]; exists {
		return link.connected.Load()
	}
	return links.incoming[peer] != nil
}

// route moves messages from the outbox to the send queues of their receivers until ctx ends. Messages
// that are put into the outbox when ctx ends may remain there.
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

// enqueue puts envelope into the send queue of its receiver. A message to this process goes directly
// into the inbox; a message to a process without a link or connection is dropped and counted.
func (links *Links) enqueue(envelope protocol.Envelope) {
	if envelope.To == links.options.Self {
		links.receive(envelope)
		return
	}
	queue := links.queueFor(envelope.To)
	if queue == nil {
		links.options.Metrics.countDrop(dropNoRoute)
		return
	}
	queue.put(envelope, time.Now())
}

// queueFor returns the send queue for peer, or nil if there is none. A dialled link takes precedence
// over an accepted connection.
func (links *Links) queueFor(peer model.NodeName) *sendQueue {
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

// receive puts envelope into the inbox. If the inbox is full, the message is dropped and counted.
func (links *Links) receive(envelope protocol.Envelope) {
	if !links.options.Mailbox.Inbox.Put(envelope) {
		links.options.Metrics.countDrop(dropInbox)
	}
}

func (links *Links) hello() hello {
	return hello{Name: links.options.Self, Role: links.options.Role}
}
