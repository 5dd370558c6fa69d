package steer

import "strings"

// home names a set of regions in a form that can be compared; everywhere is the empty
// set, which binds nothing. Targets of a service are kept apart for each home that a
// route has, so that the choice for one route never sees those that it may not use.
type regionSet string

// everywhere is the home of routes that any target may serve.
const anyRegion regionSet = ""

// regionSeparator stands between the regions of a home. Names of regions have no
// control characters.
const regionSeparator = "\x1f"

func newRegionSet(regions []string) regionSet {
	return regionSet(strings.Join(regions, regionSeparator))
}

// regions returns the regions of the home, none for everywhere.
func (home regionSet) names() []string {
	if home == anyRegion {
		return nil
	}
	return strings.Split(string(home), regionSeparator)
}

// allows tells whether a target of the region may serve routes of the home.
func (home regionSet) allows(region string) bool {
	if home == anyRegion {
		return true
	}
	for _, allowed := range home.names() {
		if allowed == region {
			return true
		}
	}
	return false
}

// serviceKey names the targets of a service that routes of one home may use.
type serviceKey struct {
	name    string
	regions regionSet
}

// homes returns everywhere and the homes of all routes.
func (table *Table) routeRegionSets() []regionSet {
	homes := []regionSet{anyRegion}
	known := map[regionSet]bool{anyRegion: true}
	for _, route := range table.routes {
		if !known[route.regions] {
			known[route.regions] = true
			homes = append(homes, route.regions)
		}
	}
	return homes
}
