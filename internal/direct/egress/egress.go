// Package egress sends a balancer's datagrams no faster than its link carries
// them. A link that is full loses datagrams, and their senders repeat them only
// after a retransmission timeout; a queue in front of the link loses none.
//
// Short flows share the link fairly and go before long ones, which go one after
// the other: an upload delays neither an opening packet nor a short request. Data
// that its sender repeats while the first copy still waits is sent once, and so are
// opening packets; of the acknowledgements of a flow that wait, the latest is sent
// (RFC 3449, section 5.2.1).
package egress

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// queueLimit bounds the datagrams that wait, in bytes.
const queueLimitBytes = 512 << 10

// Write sends one datagram at once. A lost one is repeated by its sender.
type Write func(content []byte, to netip.AddrPort)

// Counts is what became of datagrams since the start.
type Counts struct {
	// Sent were written at once or after they had waited.
	Sent uint64
	// Waited were not written at once.
	Waited uint64
	// Repeated made one needless that waited already, and took its place.
	Repeated uint64
	// Refused found the queue full.
	Refused uint64
}

// Egress paces datagrams. Send may be called from any goroutine.
type Egress struct {
	write  Write
	notice chan struct{}

	lock  sync.Mutex
	queue *fairQueue
	pacer pacer

	// observe is told how long each datagram waited that did.
	observeWait func(waited time.Duration)
	// follower is told of datagrams that are to be followed.
	queueObserver QueueObserver

	sent, waited, repeated, refused atomic.Uint64
}

// New returns an egress for a link.
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

// Observe makes observe be told how long each datagram waited for the link that
// did. It is set before the first Send and must return at once.
func (egress *Egress) ObserveWaits(observe func(waited time.Duration)) { egress.observeWait = observe }

// Follower is told of datagrams with Followed that are not written at once. Its methods must
// return at once, keep nothing of the datagram and call nothing of the egress.
type QueueObserver interface {
	// Waits is told that the datagram was sent at now and has to wait. It may be lost.
	Queued(datagram *Datagram, now time.Time)
	// Left is told that a datagram that had to wait was written at now.
	Dequeued(datagram *Datagram, now time.Time)
}

// noFollower is the follower of an egress without one.
type noQueueObserver struct{}

// Waits implements Follower.
func (noQueueObserver) Queued(*Datagram, time.Time) {}

// Left implements Follower.
func (noQueueObserver) Dequeued(*Datagram, time.Time) {}

// Follow makes follower be told of datagrams. It is set before the first Send.
func (egress *Egress) ObserveQueue(follower QueueObserver) { egress.queueObserver = follower }

// Counts returns the counts since the start.
func (egress *Egress) Counts() Counts {
	return Counts{
		Sent:     egress.sent.Load(),
		Waited:   egress.waited.Load(),
		Repeated: egress.repeated.Load(),
		Refused:  egress.refused.Load(),
	}
}

// Idle tells whether no datagram waits for the link.
func (egress *Egress) Idle() bool {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	return egress.queue.empty()
}

// ShortWait returns how long the link takes for the content of short flows that waits; zero
// on a link without a bound.
func (egress *Egress) ShortWait() time.Duration {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	rate := egress.pacer.link.BytesPerSecond
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(egress.queue.shortBytes()) / rate * float64(time.Second))
}

// Send writes the datagram, at once when the link is free. It keeps a copy of
// the content when it is not.
func (egress *Egress) Send(datagram Datagram, now time.Time) {
	egress.lock.Lock()
	defer egress.lock.Unlock()
	if egress.queue.empty() && egress.pacer.wait(now) == 0 {
		egress.transmit(&datagram, now)
		return
	}
	kept := datagram
	kept.queuedAt = now
	kept.Content = append([]byte(nil), datagram.Content...)
	if kept.Tracked {
		egress.queueObserver.Queued(&kept, now)
	}
	switch egress.queue.enqueue(&kept) {
	case repeated:
		egress.repeated.Add(1)
	case refused:
		egress.refused.Add(1)
	default:
		egress.waited.Add(1)
		egress.wake()
	}
}

func (egress *Egress) wake() {
	select {
	case egress.notice <- struct{}{}:
	default:
	}
}

func (egress *Egress) transmit(datagram *Datagram, now time.Time) {
	egress.pacer.sent(now, len(datagram.Content))
	egress.sent.Add(1)
	egress.write(datagram.Content, datagram.To)
}

// Flush writes what the link has room for at now. It returns how long the next
// datagram has to wait; zero means that none waits.
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

// Run writes datagrams that wait, until ctx ends.
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
