package model

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrDeltaGap means that a delta does not continue the configuration it was applied to. The receiver
// then requests a snapshot.
var ErrDeltaGap = errors.New("delta does not continue this configuration")

// Configuration has the services, targets and bucket tables of one revision. Nodes run a
// configuration. A published one is never modified.
type Configuration struct {
	Revision Revision
	Services map[ServiceID]Service
	Targets  map[TargetID]Target
	Buckets  map[ServiceID]*BucketTable

	// rowHashSum is the sum of the hashes of all services, targets and bucket tables, once sealed is
	// true. Apply updates it from the changed ones alone, so that a digest does not need a pass over
	// every target at each change.
	rowHashSum uint64
	sealed     bool
}

// NewConfiguration returns an empty configuration at revision zero.
func NewConfiguration() *Configuration {
	return &Configuration{
		Services: make(map[ServiceID]Service),
		Targets:  make(map[TargetID]Target),
		Buckets:  make(map[ServiceID]*BucketTable),
	}
}

// BucketChange replaces rows of one service's bucket table, or the complete table when its size
// changed.
type BucketChange struct {
	Service ServiceID
	// Whole replaces the complete table, unless it is nil.
	Whole *BucketTable
	// Rows replaces single rows. It is ignored when Whole is set.
	Rows []Bucket
}

// Delta turns the configuration of revision From into that of revision To.
type Delta struct {
	From            Revision
	To              Revision
	Services        []Service
	Targets         []Target
	RemovedServices []ServiceID
	RemovedTargets  []TargetID
	Buckets         []BucketChange
}

// Apply returns the configuration after the delta and does not modify the receiver. Unchanged tables
// are shared. It returns ErrDeltaGap when the delta starts at another revision, or changes rows of a
// table or a bucket that does not exist.
func (configuration *Configuration) Apply(delta Delta) (*Configuration, error) {
	if delta.From != configuration.Revision {
		return nil, fmt.Errorf("configuration is at revision %d, delta starts at %d: %w", configuration.Revision, delta.From, ErrDeltaGap)
	}
	next := configuration.shallowCopy(delta)
	next.Seal()
	next.applyRemovals(delta)
	for _, service := range delta.Services {
		next.removeService(service.ID)
		next.Services[service.ID] = service
		next.rowHashSum += hashService(service)
	}
	for _, target := range delta.Targets {
		next.removeTarget(target.ID)
		next.Targets[target.ID] = target
		next.rowHashSum += hashTarget(target)
	}
	for _, change := range delta.Buckets {
		if err := next.applyBucketChange(change); err != nil {
			return nil, err
		}
	}
	next.Revision = delta.To
	return next, nil
}

// shallowCopy returns a copy in which the maps that the delta changes are cloned and the others are
// shared.
func (configuration *Configuration) shallowCopy(delta Delta) *Configuration {
	next := *configuration
	if len(delta.Services)+len(delta.RemovedServices) > 0 {
		next.Services = maps.Clone(configuration.Services)
	}
	if len(delta.Targets)+len(delta.RemovedTargets) > 0 {
		next.Targets = maps.Clone(configuration.Targets)
	}
	if len(delta.Buckets)+len(delta.RemovedServices) > 0 {
		next.Buckets = maps.Clone(configuration.Buckets)
	}
	return &next
}

func (configuration *Configuration) applyRemovals(delta Delta) {
	for _, id := range delta.RemovedServices {
		configuration.removeService(id)
		configuration.setBuckets(id, nil)
	}
	for _, id := range delta.RemovedTargets {
		configuration.removeTarget(id)
	}
}

func (configuration *Configuration) removeService(id ServiceID) {
	if service, exists := configuration.Services[id]; exists {
		configuration.rowHashSum -= hashService(service)
		delete(configuration.Services, id)
	}
}

func (configuration *Configuration) removeTarget(id TargetID) {
	if target, exists := configuration.Targets[id]; exists {
		configuration.rowHashSum -= hashTarget(target)
		delete(configuration.Targets, id)
	}
}

// setBuckets replaces the bucket table of a service; nil removes it.
func (configuration *Configuration) setBuckets(service ServiceID, table *BucketTable) {
	if replaced, exists := configuration.Buckets[service]; exists {
		configuration.rowHashSum -= hashBuckets(replaced)
		delete(configuration.Buckets, service)
	}
	if table != nil {
		configuration.Buckets[service] = table
		configuration.rowHashSum += hashBuckets(table)
	}
}

// applyBucketChange replaces the bucket table of a service by a changed copy.
func (configuration *Configuration) applyBucketChange(change BucketChange) error {
	if change.Whole != nil {
		configuration.setBuckets(change.Service, change.Whole.Clone())
		return nil
	}
	table, known := configuration.Buckets[change.Service]
	if !known {
		return fmt.Errorf("bucket rows for unknown service %d: %w", change.Service, ErrDeltaGap)
	}
	copied := table.Clone()
	for _, row := range change.Rows {
		if int(row.Index) >= copied.Count() {
			return fmt.Errorf("service %d has no bucket %d: %w", change.Service, row.Index, ErrDeltaGap)
		}
		copied.Set(row)
	}
	configuration.setBuckets(change.Service, copied)
	return nil
}

// ServiceTargets returns the targets of a service in order of their ID.
func (configuration *Configuration) ServiceTargets(service ServiceID) []Target {
	var targets []Target
	for _, target := range configuration.Targets {
		if target.Service == service {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(left, right Target) int { return cmp.Compare(left.ID, right.ID) })
	return targets
}
