package steer

import (
	"net/netip"
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

func (table *Table) merge(changes directory.Changes, now time.Time) {
	for _, address := range changes.Removed {
		delete(table.routes, address)
	}
	for _, token := range changes.Forgotten {
		table.remove(token)
	}
	table.mergeZones(changes.Zones)
	table.coldness.merge(changes.ColdLimits)
	table.mergeRoutes(changes.Routes)
	table.mergeTargets(changes.Targets, now, false)
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
	}
}

// rebuildServices collects the targets that may take new flows, for each home that a
// route has.
func (table *Table) rebuildServices() {
	services := make(map[serviceKey]*service)
	homes := table.homes()
	for _, target := range table.targets {
		if target.State != directory.TargetReady {
			continue
		}
		for _, home := range homes {
			if home.allows(target.region) {
				table.collect(services, serviceKey{name: target.Service, home: home}, target)
			}
		}
	}
	for key, built := range services {
		built.restrictCold(table.coldness.perSecond[key.name], table.options.Self)
		built.measure()
		built.measureZones()
	}
	table.services = services
}

// collect adds a target to a service, which keeps what it learned. One in an evacuated
// zone takes no new flows.
func (table *Table) collect(services map[serviceKey]*service, key serviceKey, target *record) {
	built := services[key]
	if built == nil {
		built = newService(table.services[key])
		services[key] = built
	}
	if evacuation, evacuated := table.evacuated[target.Zone]; evacuated {
		built.evacuatedSince = max(built.evacuatedSince, evacuation.Since)
		return
	}
	built.targets = append(built.targets, target)
}

// measure adds up the capacity of the targets that take new flows, which is what load is
// compared with.
func (service *service) measure() {
	service.capacity = 0
	for _, target := range service.targets {
		service.capacity += target.Capacity
	}
}
