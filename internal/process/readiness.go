package process

import (
	"maps"
	"slices"
	"sync"
)

// Part is the readiness of a named part of a process.
type Part struct {
	Name  string
	Ready bool
}

// Readiness records which parts of the process are ready to serve. The process is ready if it has at
// least one part and all its parts are ready.
type Readiness struct {
	lock  sync.Mutex
	parts map[string]bool
}

// NewReadiness returns a readiness without parts.
func NewReadiness() *Readiness { return &Readiness{parts: make(map[string]bool)} }

// Set records whether part is ready.
func (readiness *Readiness) Set(part string, ready bool) {
	readiness.lock.Lock()
	defer readiness.lock.Unlock()
	readiness.parts[part] = ready
}

// Parts returns all parts, sorted by name.
func (readiness *Readiness) Parts() []Part {
	readiness.lock.Lock()
	defer readiness.lock.Unlock()
	var parts []Part
	for _, name := range slices.Sorted(maps.Keys(readiness.parts)) {
		parts = append(parts, Part{Name: name, Ready: readiness.parts[name]})
	}
	return parts
}

// Ready reports whether the process is ready.
func (readiness *Readiness) Ready() bool {
	parts := readiness.Parts()
	return len(parts) > 0 && len(unready(parts)) == 0
}

// Unready returns the sorted names of the parts that are not ready.
func (readiness *Readiness) Unready() []string { return unready(readiness.Parts()) }

func unready(parts []Part) []string {
	var names []string
	for _, part := range parts {
		if !part.Ready {
			names = append(names, part.Name)
		}
	}
	return names
}
