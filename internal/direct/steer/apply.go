package steer

import (
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
)

// replace takes a whole directory in. What this balancer learned of targets
// that stay is kept.
func (table *Table) replace(changes directory.Changes, now time.Time) {
	former := table.targets
	first := table.revision == 0
	table.routes = make(map[netip.AddrPort]route, len(changes.Routes))
	table.targets = make(map[directory.Token]*record, len(changes.Targets))
	table.latest = make(map[directory.TargetID]*record, len(changes.Targets))
	for index := range changes.Targets {
		token := changes.Targets[index].Token
		if known, stays := former[token]; stays {
			table.add(known)
		}
	}
	table.mergeZones(changes.Zones)
	table.coldness.merge(changes.ColdLimits)
	table.mergeRoutes(changes.Routes)
	table.mergeTargets(changes.Targets, now, first)
	table.rebuildServices()
}

// add takes a target's record in, and remove takes it out.
func (table *Table) add(added *record) {
	table.targets[added.Token] = added
	if latest := table.latest[added.ID]; latest == nil || latest.Token < added.Token {
		table.latest[added.ID] = added
	}
}

func (table *Table) remove(token directory.Token) {
	removed, known := table.targets[token]
	if !known {
		return
	}
	delete(table.targets, token)
	if table.latest[removed.ID] == removed {
		delete(table.latest, removed.ID)
	}
}

// merge takes changes in. Those of targets alone, which come all the time, change the
// services of these targets; others concern all targets, and come seldom.
func (table *Table) merge(changes directory.Changes, now time.Time) {
	for _, address := range changes.Removed {
		delete(table.routes, address)
	}
	table.mergeRoutes(changes.Routes)
	if changes.Zones == nil && changes.ColdLimits == nil && slices.Equal(table.homesHeld, table.homes()) {
		table.changeTargets(changes, now)
		return
	}
	for _, token := range changes.Forgotten {
		table.remove(token)
	}
	table.mergeZones(changes.Zones)
	table.coldness.merge(changes.ColdLimits)
	table.mergeTargets(changes.Targets, now, false)
	table.rebuildServices()
}

// changeTargets takes changes of targets in, each at its services.
func (table *Table) changeTargets(changes directory.Changes, now time.Time) {
	for _, token := range changes.Forgotten {
		if forgotten, known := table.targets[token]; known {
			table.leave(forgotten)
			table.remove(token)
		}
	}
	for _, entry := range changes.Targets {
		if former, known := table.targets[entry.Token]; known {
			table.leave(former)
		}
		table.join(table.mergeTarget(entry, now, false), nil)
	}
	table.settleServices()
}

// mergeZones takes in which zones are evacuated; nil changes nothing.
func (table *Table) mergeZones(zones *directory.Zones) {
	if zones == nil {
		return
	}
	table.evacuated = make(map[string]directory.Evacuation, len(zones.Evacuated))
	for _, evacuation := range zones.Evacuated {
		table.evacuated[evacuation.Zone] = evacuation
	}
}

func (table *Table) mergeRoutes(entries []directory.RouteEntry) {
	for _, entry := range entries {
		added := route{parts: entry.Pool, objective: entry.Objective, priority: entry.Priority, home: homeOf(entry.Regions)}
		for _, part := range entry.Pool {
			added.total += part.Weight
		}
		table.routes[entry.Address] = added
	}
}

// mergeTargets adds or changes targets. first tells that the entries come with the
// balancer's first table, so that nobody knows how long ago they started.
func (table *Table) mergeTargets(entries []directory.TargetEntry, now time.Time, first bool) {
	for _, entry := range entries {
		table.mergeTarget(entry, now, first)
	}
}

// mergeTarget adds or changes one target and returns its record.
func (table *Table) mergeTarget(entry directory.TargetEntry, now time.Time, first bool) *record {
	known := table.targets[entry.Token]
	if known == nil {
		known = &record{TargetEntry: entry, seed: seedOf(entry.ID)}
		if !first {
			known.warmAt = now.Add(entry.Cold)
		}
		table.add(known)
	}
	if known.State != entry.State {
		known.avoidUntil = time.Time{}
	}
	if entry.Cold == 0 {
		known.warmAt = time.Time{}
	}
	known.TargetEntry = entry
	known.region = table.options.Regions[entry.Zone]
	known.near = entry.Zone != "" && entry.Zone == table.options.Zone
	return known
}
