package steer

import "strings"

// home names a set of regions in a form that can be compared; everywhere is the empty
// set, which binds nothing. Targets of a service are kept apart for each home that a
// route has, so that the choice for one route never sees those that it may not use.
type home string

// everywhere is the home of routes that any target may serve.
const everywhere home = ""

// regionSeparator stands between the regions of a home. Names of regions have no
// control characters.
const regionSeparator = "\x1f"

func homeOf(regions []string) home { return home(strings.Join(regions, regionSeparator)) }

// regions returns the regions of the home, none for everywhere.
func (home home) regions() []string {
	if home == everywhere {
		return nil
	}
	return strings.Split(string(home), regionSeparator)
}

// allows tells whether a target of the region may serve routes of the home.
func (home home) allows(region string) bool {
	if home == everywhere {
		return true
	}
	for _, allowed := range home.regions() {
		if allowed == region {
			return true
		}
	}
	return false
}

// serviceKey names the targets of a service that routes of one home may use.
type serviceKey struct {
	name string
	home home
}

// homes returns everywhere and the homes of all routes.
func (table *Table) homes() []home {
	homes := []home{everywhere}
	known := map[home]bool{everywhere: true}
	for _, route := range table.routes {
		if !known[route.home] {
			known[route.home] = true
			homes = append(homes, route.home)
		}
	}
	return homes
}
