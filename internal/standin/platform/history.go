package platform

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// version is the machine list as it was from one moment until the next version.
type version struct {
	since    time.Time
	machines map[string]Machine
}

// History holds the latest version of the machine list and the earlier ones that readers may still
// see, because they see the list with a delay. Versions are in order of time; a stored version is immutable. It is safe for concurrent use.
type History struct {
	lock     sync.Mutex
	delay    time.Duration
	versions []version
}

// NewHistory returns an empty history whose readers see the list as it was delay ago.
func NewHistory(delay time.Duration) *History {
	return &History{delay: delay, versions: []version{{machines: map[string]Machine{}}}}
}

// Put adds a machine, or replaces the one of the same name, as of now.
func (history *History) Put(now time.Time, machine Machine) {
	history.change(now, func(machines map[string]Machine) { machines[machine.Name] = machine })
}

// Remove deletes a machine as of now and reports whether it was listed.
func (history *History) Remove(now time.Time, name string) bool {
	removed := false
	history.change(now, func(machines map[string]Machine) {
		_, removed = machines[name]
		delete(machines, name)
	})
	return removed
}

// change appends a version that differs from the latest one by edit.
func (history *History) change(now time.Time, edit func(map[string]Machine)) {
	history.lock.Lock()
	defer history.lock.Unlock()
	latest := history.versions[len(history.versions)-1]
	machines := maps.Clone(latest.machines)
	edit(machines)
	history.versions = append(history.versions, version{since: now, machines: machines})
	history.prune(now)
}

// prune removes the versions that can no longer be shown: those older than the newest one that is at
// least the delay old.
func (history *History) prune(now time.Time) {
	visible := history.visibleIndex(now)
	history.versions = slices.Delete(history.versions, 0, visible)
}

// visibleIndex returns the index of the version that readers see at now.
func (history *History) visibleIndex(now time.Time) int {
	limit := now.Add(-history.delay)
	visible := 0
	for index, candidate := range history.versions {
		if candidate.since.After(limit) {
			break
		}
		visible = index
	}
	return visible
}

// List returns the machines as they were one delay before now, sorted by name.
func (history *History) List(now time.Time) []Machine {
	history.lock.Lock()
	defer history.lock.Unlock()
	shown := history.versions[history.visibleIndex(now)].machines
	machines := slices.Collect(maps.Values(shown))
	slices.SortFunc(machines, func(left, right Machine) int { return cmp.Compare(left.Name, right.Name) })
	return machines
}
