// Package egress sends a balancer's datagrams no faster than its link transmits them. A saturated
// link loses datagrams, and their senders retransmit them only after a timeout; a queue before the
// link avoids these losses.
//
// Short flows share the link fairly and have priority over long ones, which are served one after the
// other, so an upload delays neither an opening packet nor a short request. If a sender retransmits
// data or an opening packet while the first copy is still queued, only one copy is sent. Of the
// queued pure acknowledgements of a flow only the latest is sent (RFC 3449, section 5.2.1).
package egress

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// queueLimitBytes bounds the content of all queued datagrams.
const queueLimitBytes = 512 << 10

// Write sends one datagram at once. A lost one is retransmitted by its sender.
type Write func(content []byte, to netip.AddrPort)

// Counts are the numbers of datagrams since the start, by what happened to them.
type Counts struct {
	// Sent were written, at once or after waiting in the queue.
	Sent uint64
	// Waited were put into the queue.
	Waited uint64
	// Repeated superseded a queued datagram and took its place.
	Repeated uint64
	// Refused were discarded because the queue was full.
	Refused uint64
}

// Egress paces datagrams. Send may be called from any goroutine.
type Egress struct {
	write  Write
	notice chan struct{}

	lock  sync.Mutex
	queue *fairQueue
	pacer pacer

	// observeWait is called with the time that each queued datagram waited.
	observeWait func(waited time.Duration)
	// queueObserver is notified of tracked datagrams.
	queueObserver QueueObserver

	sent, waited, repeated, refused atomic.Uint64
}

// New returns an egress for a link. Datagrams that have to wait are sent by Run, or by Flush.
func New(link Link, write Write) *Egress {
	return &Egress{
		write:  write,
		notice: make(chan struct{}, 1),
		queue:  newFairQueue(queueLimitBytes),
		pacer:  pacer{link: link},

		observeWait:   func(time.Duration) {},
		queueObserver: noQueueObserver{},
	}
}

// ObserveWaits sets a function that is called with the time that each queued datagram waited for the
// link. It must be called before the first Send; observe must return at once.
func (egress *Egress) ObserveWaits(observe func(waited time.Duration)) { egress.observeWait = observe }

// QueueObserver is notified of tracked datagrams that are not written at once. Its methods must
// return at once, must not retain the datagram and must not call the egress.
type QueueObserver interface {
	// Queued reports that the datagram was passed to Send at now and has to wait. It is not written
	// if the queue is full.
	Queued(datagram *Datagram, now time.Time)
	// Dequeued reports that a datagram that had to wait was written at now.
	Dequeued(datagram *Datagram, now time.Time)
}

// noQueueObserver is the observer of an egress for which none was set.
type noQueueObserver struct{}

// Queued implements QueueObserver.
func (noQueueObserver) Queued(*Datagram, time.Time) {}

// Dequeued implements QueueObserver.
func (noQueueObserver) Dequeued(*Datagram, time.Time) {}

// ObserveQueue sets the observer of tracked datagrams. It must be called before the first Send.
func (egress *Egress) ObserveQueue(observer QueueObserver) { egress.queueObserver = observer }

// Counts returns the counts of datagrams since the start.
func (egress *Egress) Counts() Counts {
	return Counts{
		Sent:     egress.sent.Load(),
		Waited:   egress.waited.Load(),
		Repeated: egress.repeated.Load(),
		Refused:  egress.refused.Load(),
	}
}

// Idle reports whether no datagram waits for the link.
func (egress *Egress) Idle() bool {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	return egress.queue.empty()
}

// ShortWait returns how long the link takes to transmit the queued content of short flows. It is zero
// on a link without a limit.
func (egress *Egress) ShortWait() time.Duration {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	rate := egress.pacer.link.BytesPerSecond
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(egress.queue.shortBytes()) / rate * float64(time.Second))
}

// Send writes the datagram at once if the link is free, and otherwise queues it with a copy of its
// content. It discards the datagram if the queue is full.
func (egress *Egress) Send(datagram Datagram, now time.Time) {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	if egress.queue.empty() && egress.pacer.wait(now) == 0 {
		egress.transmit(&datagram, now)
		return
	}
	queued := datagram
	queued.queuedAt = now
	queued.Content = append([]byte(nil), datagram.Content...)
	if queued.Tracked {
		egress.queueObserver.Queued(&queued, now)
	}
	switch egress.queue.enqueue(&queued) {
	case repeated:
		egress.repeated.Add(1)
	case refused:
		egress.refused.Add(1)
	default:
		egress.waited.Add(1)
		egress.wake()
	}
}

// wake signals Run that the queue is not empty.
func (egress *Egress) wake() {
	select {
	case egress.notice <- struct{}{}:
	default:
	}
}

// transmit writes a datagram and accounts for it.
func (egress *Egress) transmit(datagram *Datagram, now time.Time) {
	egress.pacer.sent(now, len(datagram.Content))
	egress.sent.Add(1)
	egress.write(datagram.Content, datagram.To)
}

// Flush writes the queued datagrams that the link has room for at now. It returns how long the next
// one has to wait, or zero if the queue is empty.
func (egress *Egress) Flush(now time.Time) time.Duration {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	for !egress.queue.empty() {
		if wait := egress.pacer.wait(now); wait > 0 {
			return wait
		}
		next := egress.queue.dequeue(now)
		egress.observeWait(now.Sub(next.queuedAt))
		egress.transmit(next, now)
		if next.Tracked {
			egress.queueObserver.Dequeued(next, now)
		}
	}
	return 0
}

// Run writes queued datagrams as the link has room for them, until ctx ends.
func (egress *Egress) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-egress.notice:
		case <-timer.C:
		}
		if wait := egress.Flush(time.Now()); wait > 0 {
			timer.Reset(wait)
		}
	}
}
