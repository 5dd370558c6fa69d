package steer

import (
	"net/netip"
	"slices"
)

// maxRemovedRoutes bounds the addresses of removed routes that a table keeps. Flows of routes that
// were removed earlier are not reset, and end when their callers or targets end them.
const maxRemovedRoutes = 4096

// removedRoutes has the addresses of the routes that were removed last, in the order of their
// removal. The zero value is empty.
type removedRoutes struct {
	present map[netip.AddrPort]bool
	order   []netip.AddrPort
}

// contains reports whether the route with the address was removed.
func (removed *removedRoutes) contains(address netip.AddrPort) bool { return removed.present[address] }

// add records that the route with the address was removed.
func (removed *removedRoutes) add(address netip.AddrPort) {
	if removed.present[address] {
		return
	}
	if removed.present == nil {
		removed.present = make(map[netip.AddrPort]bool)
	}
	removed.present[address] = true
	removed.order = append(removed.order, address)
	if len(removed.order) > maxRemovedRoutes {
		delete(removed.present, removed.order[0])
		removed.order = slices.Delete(removed.order, 0, 1)
	}
}

// delete records that a route with the address was declared again.
func (removed *removedRoutes) delete(address netip.AddrPort) {
	if removed.present[address] {
		delete(removed.present, address)
		removed.order = slices.DeleteFunc(removed.order, func(other netip.AddrPort) bool { return other == address })
	}
}
