package backend

import (
	"fmt"
	"slices"
	"sync/atomic"
)

// Misbehavior is a fault that can be injected into the back end.
type Misbehavior string

// The faults.
const (
	// Late sends each answer Options.LateBy after the work is done.
	Late Misbehavior = "late"
	// Crossed answers a request with the answer to the previous one.
	Crossed Misbehavior = "crossed"
	// Short announces the full length and closes the connection after half of the body.
	Short Misbehavior = "short"
	// Doubled sends each answer twice on its connection.
	Doubled Misbehavior = "doubled"
	// Shed refuses every call, upload and feed with 503, and makes the actual health unhealthy.
	Shed Misbehavior = "shed"
	// HealthFrozen reports the health from just before the fault was injected.
	HealthFrozen Misbehavior = "health_frozen"
	// LoadFrozen reports the load from just before the fault was injected.
	LoadFrozen Misbehavior = "load_frozen"
	// Wrong reports the opposite of the actual health, and the number of free slots as Load.Running.
	Wrong Misbehavior = "wrong"
)

// allMisbehaviors lists all faults.
var allMisbehaviors = []Misbehavior{Late, Crossed, Short, Doubled, Shed, HealthFrozen, LoadFrozen, Wrong}

// ParseMisbehaviors returns the faults with the given names, or an error for an unknown name.
func ParseMisbehaviors(names []string) ([]Misbehavior, error) {
	faults := make([]Misbehavior, 0, len(names))
	for _, name := range names {
		fault := Misbehavior(name)
		if !slices.Contains(allMisbehaviors, fault) {
			return nil, fmt.Errorf("misbehavior %q: must be one of %v", name, allMisbehaviors)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// faultSet is the set of active faults; readers take no lock.
type faultSet struct {
	current atomic.Pointer[[]Misbehavior]
}

func (set *faultSet) replace(faults []Misbehavior) { set.current.Store(&faults) }

func (set *faultSet) contains(fault Misbehavior) bool {
	faults := set.current.Load()
	return faults != nil && slices.Contains(*faults, fault)
}
