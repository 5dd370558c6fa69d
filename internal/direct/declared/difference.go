package declared

import (
	"net/netip"
	"slices"
)

// Difference turns one version of the configuration into another. It keeps the entries of the
// replicated log and the traffic to balancers small when a large configuration changes a little.
type Difference struct {
	// Base is the version that the difference applies to.
	Base    uint64
	Version uint64
	// Routes are the new and changed routes.
	Routes []Route
	// Removed are the addresses of removed routes.
	Removed []netip.AddrPort
	// Order has the addresses of all routes in the operator's order. Nil means that the remaining
	// routes keep their order and new ones follow.
	Order []netip.AddrPort
	// Services and Limits replace the previous ones if ServicesChanged or LimitsChanged is set.
	Services        []Service
	ServicesChanged bool
	Limits          Limits
	LimitsChanged   bool
}

// Equal reports whether two routes are the same in every field.
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
	previous := make(map[netip.AddrPort]*Route, len(base.Routes))
	for index := range base.Routes {
		previous[base.Routes[index].Address] = &base.Routes[index]
	}
	for index := range next.Routes {
		route := &next.Routes[index]
		if known, exists := previous[route.Address]; !exists || !known.Equal(route) {
			difference.Routes = append(difference.Routes, *route)
		}
		delete(previous, route.Address)
	}
	for index := range base.Routes {
		if address := base.Routes[index].Address; previous[address] != nil {
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

// sameOrder reports whether two lists have routes of the same addresses in the same order.
func sameOrder(left, right []Route) bool {
	return slices.EqualFunc(left, right, func(one, other Route) bool { return one.Address == other.Address })
}

// Apply returns the configuration that follows base, or false if the difference was made against
// another version.
func (difference *Difference) Apply(base *Configuration) (*Configuration, bool) {
	if base.Version != difference.Base {
		return nil, false
	}
	return difference.applyTo(base), true
}

// applyTo applies the difference whatever the version of base.
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

// mergeRoutes returns the previous routes without the removed ones and with the changed and new
// ones, in the new order.
func (difference *Difference) mergeRoutes(previous []Route) []Route {
	removed := make(map[netip.AddrPort]bool, len(difference.Removed))
	for _, address := range difference.Removed {
		removed[address] = true
	}
	changed := make(map[netip.AddrPort]*Route, len(difference.Routes))
	for index := range difference.Routes {
		changed[difference.Routes[index].Address] = &difference.Routes[index]
	}
	merged := make([]Route, 0, len(previous)+len(difference.Routes))
	for index := range previous {
		address := previous[index].Address
		switch {
		case removed[address]:
		case changed[address] != nil:
			merged = append(merged, *changed[address])
			delete(changed, address)
		default:
			merged = append(merged, previous[index])
		}
	}
	for index := range difference.Routes {
		if changed[difference.Routes[index].Address] != nil {
			merged = append(merged, difference.Routes[index])
		}
	}
	return difference.reorder(merged)
}

// reorder sorts routes by Order, if it is set.
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
