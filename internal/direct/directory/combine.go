package directory

import (
	"cmp"
	"net/netip"
	"slices"
)

// Combine returns one set of changes that has the same effect as applying parts in order. Each
// part must begin at the end of the previous one, or earlier. Without parts it returns no changes.
func Combine(parts ...Changes) Changes {
	if len(parts) == 0 {
		return Changes{}
	}
	combined := combination{
		routes:    make(map[netip.AddrPort]RouteEntry),
		removed:   make(map[netip.AddrPort]bool),
		targets:   make(map[Token]TargetEntry),
		forgotten: make(map[Token]bool),
	}
	for _, part := range parts {
		combined.add(part)
	}
	last := parts[len(parts)-1]
	return combined.changes(Changes{
		Whole:       parts[0].Whole,
		From:        parts[0].From,
		To:          last.To,
		Version:     last.Version,
		IdleTimeout: last.IdleTimeout,
	})
}

// combination has the latest change of each route and target.
type combination struct {
	routes     map[netip.AddrPort]RouteEntry
	removed    map[netip.AddrPort]bool
	targets    map[Token]TargetEntry
	forgotten  map[Token]bool
	zones      *Zones
	coldLimits *ColdLimits
}

// add applies a part. Within a part, removals come before additions.
func (combined *combination) add(part Changes) {
	for _, address := range part.Removed {
		delete(combined.routes, address)
		combined.removed[address] = true
	}
	for _, entry := range part.Routes {
		delete(combined.removed, entry.Address)
		combined.routes[entry.Address] = entry
	}
	for _, token := range part.Forgotten {
		delete(combined.targets, token)
		combined.forgotten[token] = true
	}
	if part.Zones != nil {
		combined.zones = part.Zones
	}
	if part.ColdLimits != nil {
		combined.coldLimits = part.ColdLimits
	}
	for _, entry := range part.Targets {
		combined.targets[entry.Token] = entry
	}
}

// changes adds the combined entries to head, sorted. A full table has no removals.
func (combined *combination) changes(head Changes) Changes {
	head.Zones = combined.zones
	head.ColdLimits = combined.coldLimits
	for _, entry := range combined.routes {
		head.Routes = append(head.Routes, entry)
	}
	for _, entry := range combined.targets {
		head.Targets = append(head.Targets, entry)
	}
	slices.SortFunc(head.Routes, func(left, right RouteEntry) int { return left.Address.Compare(right.Address) })
	slices.SortFunc(head.Targets, func(left, right TargetEntry) int { return cmp.Compare(left.Token, right.Token) })
	if head.Whole {
		return head
	}
	for address := range combined.removed {
		head.Removed = append(head.Removed, address)
	}
	for token := range combined.forgotten {
		head.Forgotten = append(head.Forgotten, token)
	}
	slices.SortFunc(head.Removed, netip.AddrPort.Compare)
	slices.Sort(head.Forgotten)
	return head
}

// Size returns the number of entries.
func (changes *Changes) Size() int {
	size := len(changes.Routes) + len(changes.Removed) + len(changes.Targets) + len(changes.Forgotten)
	if changes.Zones != nil {
		size += len(changes.Zones.Evacuated)
	}
	return size
}
