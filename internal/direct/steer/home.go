package steer

import "strings"

// regionSet is a set of regions in a form that can be compared and used as a map key. The empty
// set is anyRegion, which restricts nothing. Each region set that a route has gets services of
// its own, so that the choice for a route never sees targets that the route may not use.
type regionSet string

// anyRegion is the region set of routes that targets of any region may serve.
const anyRegion regionSet = ""

// regionSeparator separates the names in a regionSet. Names of regions have no control
// characters.
const regionSeparator = "\x1f"

func newRegionSet(names []string) regionSet {
	return regionSet(strings.Join(names, regionSeparator))
}

// names returns the names of the regions; nil for anyRegion.
func (regions regionSet) names() []string {
	if regions == anyRegion {
		return nil
	}
	return strings.Split(string(regions), regionSeparator)
}

// allows reports whether a target of the region may serve routes with this region set.
func (regions regionSet) allows(region string) bool {
	if regions == anyRegion {
		return true
	}
	for _, allowed := range regions.names() {
		if allowed == region {
			return true
		}
	}
	return false
}

// serviceKey identifies the targets of a service that routes with one region set may use.
type serviceKey struct {
	name    string
	regions regionSet
}

// routeRegionSets returns anyRegion and the region sets of all routes, without duplicates.
func (table *Table) routeRegionSets() []regionSet {
	sets := []regionSet{anyRegion}
	known := map[regionSet]bool{anyRegion: true}
	for _, route := range table.routes {
		if !known[route.regions] {
			known[route.regions] = true
			sets = append(sets, route.regions)
		}
	}
	return sets
}
