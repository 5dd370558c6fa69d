package state

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"merlinpaddle/internal/model"
)

// View is an immutable snapshot of the state after one command, without claims
// and stored answers.
type View struct {
	// Configuration is the configuration that nodes run.
	Configuration *model.Configuration
	templates     table[string, *Template]
	tenants       table[model.TenantName, *Tenant]
	services      table[ServiceKey, *ServiceRecord]
	targets       table[model.TargetID, TargetRecord]
	// targetNames, agents and listeners are indexes of values that must be
	// unique: target names, agent addresses and listeners.
	targetNames table[string, model.TargetID]
	agents      table[netip.AddrPort, model.TargetID]
	listeners   table[listener, ServiceKey]
}

func newView() *View { return &View{Configuration: model.NewConfiguration()} }

// markShared makes every table copy its rows before the next write.
func (view *View) markShared() {
	view.templates.markShared()
	view.tenants.markShared()
	view.services.markShared()
	view.targets.markShared()
	view.targetNames.markShared()
	view.agents.markShared()
	view.listeners.markShared()
}

// empty reports whether there are no templates, tenants and services.
func (view *View) empty() bool {
	return view.templates.length()+view.tenants.length()+view.services.length() == 0
}

// Template returns the template with the given name.
func (view *View) Template(name string) (*Template, bool) { return view.templates.get(name) }

// Templates returns all templates, sorted by name.
func (view *View) Templates() []*Template {
	return view.templates.sorted(func(left, right *Template) int { return strings.Compare(left.Name, right.Name) })
}

// Tenant returns the tenant with the given name.
func (view *View) Tenant(name model.TenantName) (*Tenant, bool) { return view.tenants.get(name) }

// Tenants returns all tenants, sorted by name.
func (view *View) Tenants() []*Tenant {
	return view.tenants.sorted(func(left, right *Tenant) int { return cmp.Compare(left.Name, right.Name) })
}

// Service returns the service with the given key.
func (view *View) Service(key ServiceKey) (*ServiceRecord, bool) { return view.services.get(key) }

// Services returns all services, sorted by tenant and name.
func (view *View) Services() []*ServiceRecord {
	return view.services.sorted(func(left, right *ServiceRecord) int { return left.Key.compare(right.Key) })
}

// TenantServices returns the services of a tenant, sorted by name.
func (view *View) TenantServices(tenant model.TenantName) []*ServiceRecord {
	return slices.DeleteFunc(view.Services(), func(record *ServiceRecord) bool { return record.Key.Tenant != tenant })
}

// Target returns the target with the given key and its record.
func (view *View) Target(key TargetKey) (model.Target, TargetRecord, bool) {
	id, known := view.targetNames.get(key.Name)
	if !known {
		return model.Target{}, TargetRecord{}, false
	}
	record, _ := view.targets.get(id)
	if record.Key != key {
		return model.Target{}, TargetRecord{}, false
	}
	return view.Configuration.Targets[id], record, true
}

// TargetOfNode returns the target whose agent has the given node name.
func (view *View) TargetOfNode(name model.NodeName) (model.Target, bool) {
	id, known := view.targetNames.get(string(name))
	if !known {
		return model.Target{}, false
	}
	return view.Configuration.Targets[id], true
}

// TargetRecord returns the record of a target, from which its phase follows.
func (view *View) TargetRecord(id model.TargetID) (TargetRecord, bool) { return view.targets.get(id) }

// BucketUse counts the bucket entries that refer to one target.
type BucketUse struct {
	// Heads is the number of buckets whose new flows go to the target.
	Heads int `json:"heads"`
	// Alternates is the number of buckets that have the target as second choice.
	Alternates int `json:"alternates"`
	// Earlier is the number of buckets whose head or alternate the target was
	// before, and of which it may still hold flows.
	Earlier int `json:"earlier"`
}

// Total returns the number of entries of all kinds.
func (use BucketUse) Total() int { return use.Heads + use.Alternates + use.Earlier }

// BucketUses counts the bucket entries of a service for each target that has any.
// It returns nil when there is no such service.
func (view *View) BucketUses(service model.ServiceID) map[model.TargetID]BucketUse {
	found, known := view.Configuration.Buckets[service]
	if !known {
		return nil
	}
	return bucketUses(found)
}

func bucketUses(buckets *model.BucketTable) map[model.TargetID]BucketUse {
	uses := make(map[model.TargetID]BucketUse)
	count := func(target model.TargetID, add BucketUse) {
		if target == 0 {
			return
		}
		use := uses[target]
		use.Heads += add.Heads
		use.Alternates += add.Alternates
		use.Earlier += add.Earlier
		uses[target] = use
	}
	for index := range buckets.Heads {
		count(buckets.Heads[index], BucketUse{Heads: 1})
		count(buckets.Alternates[index], BucketUse{Alternates: 1})
	}
	for _, earlier := range buckets.Earlier {
		for _, entry := range earlier {
			count(entry.Target, BucketUse{Earlier: 1})
		}
	}
	return uses
}
