package declared

import (
	"net/netip"
	"slices"
)

// Difference turns one version of the configuration into another. It keeps
// the replicated log and the traffic to balancers small when a large
// configuration changes a little.
type Difference struct {
	// Base is the version that the difference applies to.
	Base    uint64
	Version uint64
	// Routes are new or changed routes, by address.
	Routes []Route
	// Removed are the addresses of routes that are gone.
	Removed []netip.AddrPort
	// Order has the addresses of all routes in the operator's order; nil
	// means that kept routes stay in order and new ones follow.
	Order []netip.AddrPort
	// Services and Limits replace the former ones when ServicesChanged or
	// LimitsChanged is set.
	Services        []Service
	ServicesChanged bool
	Limits          Limits
	LimitsChanged   bool
}

// Equal tells whether two routes are the same in every field.
func (route *Route) Equal(other *Route) bool {
	return route.Name == other.Name &&
		route.Address == other.Address &&
		route.Kind == other.Kind &&
		route.Timeout == other.Timeout &&
		route.Objective == other.Objective &&
		route.Priority == other.Priority &&
		route.Attempts == other.Attempts &&
		route.Weighted == other.Weighted &&
		slices.Equal(route.Regions, other.Regions) &&
		slices.Equal(route.Pool, other.Pool)
}

// Compare returns the difference from base to next.
func Compare(base, next *Configuration) Difference {
	difference := Difference{
		Base:            base.Version,
		Version:         next.Version,
		ServicesChanged: !slices.Equal(base.Services, next.Services),
		LimitsChanged:   base.Limits != next.Limits,
	}
	if difference.ServicesChanged {
		difference.Services = next.Services
	}
	if difference.LimitsChanged {
		difference.Limits = next.Limits
	}
	former := make(map[netip.AddrPort]*Route, len(base.Routes))
	for index := range base.Routes {
		former[base.Routes[index].Address] = &base.Routes[index]
	}
	for index := range next.Routes {
		route := &next.Routes[index]
		if known, exists := former[route.Address]; !exists || !known.Equal(route) {
			difference.Routes = append(difference.Routes, *route)
		}
		delete(former, route.Address)
	}
	for index := range base.Routes {
		if address := base.Routes[index].Address; former[address] != nil {
			difference.Removed = append(difference.Removed, address)
		}
	}
	applied := difference.applyTo(base)
	if !sameOrder(applied.Routes, next.Routes) {
		for index := range next.Routes {
			difference.Order = append(difference.Order, next.Routes[index].Address)
		}
	}
	return difference
}

func sameOrder(left, right []Route) bool {
	return slices.EqualFunc(left, right, func(one, other Route) bool { return one.Address == other.Address })
}

// Apply returns the configuration that follows base, or false when the
// difference was made against another version.
func (difference *Difference) Apply(base *Configuration) (*Configuration, bool) {
	if base.Version != difference.Base {
		return nil, false
	}
	return difference.applyTo(base), true
}

func (difference *Difference) applyTo(base *Configuration) *Configuration {
	next := &Configuration{
		Version:  difference.Version,
		Services: base.Services,
		Limits:   base.Limits,
	}
	if difference.ServicesChanged {
		next.Services = difference.Services
	}
	if difference.LimitsChanged {
		next.Limits = difference.Limits
	}
	next.Routes = difference.mergeRoutes(base.Routes)
	return next
}

func (difference *Difference) mergeRoutes(former []Route) []Route {
	removed := make(map[netip.AddrPort]bool, len(difference.Removed))
	for _, address := range difference.Removed {
		removed[address] = true
	}
	changed := make(map[netip.AddrPort]*Route, len(difference.Routes))
	for index := range difference.Routes {
		changed[difference.Routes[index].Address] = &difference.Routes[index]
	}
	merged := make([]Route, 0, len(former)+len(difference.Routes))
	for index := range former {
		address := former[index].Address
		switch {
		case removed[address]:
		case changed[address] != nil:
			merged = append(merged, *changed[address])
			delete(changed, address)
		default:
			merged = append(merged, former[index])
		}
	}
	for index := range difference.Routes {
		if changed[difference.Routes[index].Address] != nil {
			merged = append(merged, difference.Routes[index])
		}
	}
	return difference.reorder(merged)
}

func (difference *Difference) reorder(merged []Route) []Route {
	if difference.Order == nil {
		return merged
	}
	position := make(map[netip.AddrPort]int, len(difference.Order))
	for index, address := range difference.Order {
		position[address] = index
	}
	slices.SortStableFunc(merged, func(left, right Route) int {
		return position[left.Address] - position[right.Address]
	})
	return merged
}
