package operators

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
)

// copyBytes is the size of a copy buffer.
const copyBytes = 32 << 10

// linkEnds are the zones at the two ends of a control link.
type linkEnds struct {
	from string
	to   string
}

// crosses reports whether the link enters or leaves one of the zones.
func (ends linkEnds) crosses(zones map[string]bool) bool {
	return ends.from != ends.to && (zones[ends.from] || zones[ends.to])
}

// Links forwards the control connections of a fleet and holds back the bytes
// of those that enter or leave a cut zone. As in a network that drops every
// packet, connections stay open until one of the ends closes them.
type Links struct {
	address netip.Addr

	lock sync.Mutex
	// cut has the zones that are cut off; changed is closed and replaced when cut
	// changes.
	cut     map[string]bool
	changed chan struct{}

	context   context.Context
	cancel    context.CancelFunc
	listeners []net.Listener
	tasks     sync.WaitGroup
}

// NewLinks returns links whose proxies listen on address.
func NewLinks(address netip.Addr) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{address: address, changed: make(chan struct{}), context: ctx, cancel: cancel}
}

// Add starts a proxy for connections from a process in fromZone to the address
// target of a process in toZone, and returns the address to dial instead of
// target. The zones may be the same; such a link is never cut.
func (links *Links) Add(fromZone, toZone, target string) (string, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(links.address, 0).String())
	if err != nil {
		return "", fmt.Errorf("proxy of a control link: %w", err)
	}
	links.listeners = append(links.listeners, listener)
	links.tasks.Go(func() { links.accept(listener, linkEnds{from: fromZone, to: toZone}, target) })
	return listener.Addr().String(), nil
}

// Cut cuts off each of the zones from all others. It replaces an earlier cut;
// without zones it heals all links.
func (links *Links) Cut(zones ...string) {
	links.lock.Lock()
	defer links.lock.Unlock()
	links.cut = make(map[string]bool)
	for _, zone := range zones {
		links.cut[zone] = true
	}
	close(links.changed)
	links.changed = make(chan struct{})
}

// Close stops all proxies and closes their connections.
func (links *Links) Close() error {
	links.cancel()
	var all []error
	for _, listener := range links.listeners {
		all = append(all, listener.Close())
	}
	links.tasks.Wait()
	return errors.Join(all...)
}

func (links *Links) accept(listener net.Listener, ends linkEnds, target string) {
	for {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		links.tasks.Go(func() { links.forward(inbound, ends, target) })
	}
}

// forward copies between an accepted connection and the target until either end
// closes. While the link is cut it doesn't dial the target.
func (links *Links) forward(inbound net.Conn, ends linkEnds, target string) {
	ctx, cancel := context.WithCancel(links.context)
	defer cancel()
	defer inbound.Close()
	if !links.waitUntilHealed(ctx, ends) {
		return
	}
	var dialer net.Dialer
	outbound, err := dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	defer outbound.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = inbound.Close()
		_ = outbound.Close()
	})
	defer stop()
	var copies sync.WaitGroup
	copies.Go(func() { defer cancel(); links.copy(ctx, ends, outbound, inbound) })
	copies.Go(func() { defer cancel(); links.copy(ctx, ends, inbound, outbound) })
	copies.Wait()
}

// copy copies one direction. It holds back what it has read while the link is
// cut, and then delivers it in order.
func (links *Links) copy(ctx context.Context, ends linkEnds, to io.Writer, from io.Reader) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil || !links.waitUntilHealed(ctx, ends) {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// waitUntilHealed waits until the link is not cut or ctx ends, and reports whether
// ctx is still active.
func (links *Links) waitUntilHealed(ctx context.Context, ends linkEnds) bool {
	for {
		cut, changed := links.isCut(ends)
		if !cut {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// isCut reports whether a link is cut, and returns a channel that is closed at
// the next call of Cut.
func (links *Links) isCut(ends linkEnds) (bool, <-chan struct{}) {
	links.lock.Lock()
	defer links.lock.Unlock()
	return ends.crosses(links.cut), links.changed
}
