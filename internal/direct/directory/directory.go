// Package directory is the replicated state of direct services: the declared configuration, the
// targets that register themselves, each with the token that its flows carry, and the zones that
// operators evacuated.
//
// It is a deterministic state machine for the control group's log (replica.StateMachine). For
// readers, it is a store of objects with the revision of their last change.
//
// Invariants:
//   - the declared version never decreases;
//   - a token names one incarnation of one target and is never reused;
//   - a draining target never takes new flows again;
//   - after a notice that a target leaves, no start up to the one that sent it takes new flows, in
//     whichever order notices, registrations, health results and removals are applied;
//   - an incarnation of a target has at most one holder in its lifetime;
//   - of the incarnations with one identifier, all but the latest have failed permanently;
//   - an evacuation order changes nothing if another order was applied after its member read the
//     state.
package directory

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// Token names one incarnation of a target in the packets of its flows. Zero means "no token".
// Tokens are assigned in ascending order and never reused.
type Token uint32

// TargetID is the identifier that a target chooses for itself. Zero means "none". A target that
// restarts may keep it.
type TargetID uint64

// StartTime is when an incarnation of a target started, in Unix milliseconds by the target's own
// clock. Zero means that the target does not report it. A target that restarts under its
// identifier is another incarnation, and the start time distinguishes the two.
type StartTime int64

// TargetState is the state of one incarnation of a target.
type TargetState uint8

// The states of a target. A target never returns to an earlier state, except from TargetFailed.
const (
	// TargetReady takes new flows.
	TargetReady TargetState = iota + 1
	// TargetDraining keeps its flows and takes no new ones.
	TargetDraining
	// TargetLeft announced that it leaves. Its flows are served until it stops.
	TargetLeft
	// TargetFailed was found dead or was replaced. Its flows are lost.
	TargetFailed
)

// String returns the state's name.
func (state TargetState) String() string {
	names := [...]string{"unknown", "ready", "draining", "left", "failed"}
	if int(state) >= len(names) {
		return names[0]
	}
	return names[state]
}

// Target is one incarnation of one target.
type Target struct {
	ID      TargetID
	Token   Token
	Started StartTime
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the target's software.
	Version string
	// Capacity is the number of requests that the target processes concurrently.
	Capacity int
	State    TargetState
	// Before is the state to which a failed target returns when it recovers.
	Before TargetState
	// Aside means that the target is ejected: it gets no new flows for now, because it leaves
	// requests unanswered.
	Aside bool
	// Cold is the remaining time of the target's slow start, as it last reported; zero once it is
	// warm. Renewals change it only for services with a cold limit.
	Cold time.Duration
	// ColdDoubted means that the target is assumed to be cold because the evacuation of its zone
	// ended, not because it reported so. Its next renewal that reports "warm" may have been sent
	// before the target became cold, so a second one must report it too.
	ColdDoubted bool
	// Holder is the only balancer that may send the target new flows while it is cold; empty for
	// none. It never changes in the lifetime of an incarnation. Otherwise, two balancers with
	// different tables could both send the target new flows at its full rate.
	Holder model.NodeName
	// Sequence is the sequence number of the latest call that changed the target.
	Sequence uint64
	// Revision is the revision of the target's last change.
	Revision model.Revision
}

// routeRecord is a route with the revision of its last change.
type routeRecord struct {
	route    declared.Route
	revision model.Revision
}

// routeTombstone records the revision at which a route was removed.
type routeTombstone struct {
	address  netip.AddrPort
	revision model.Revision
}

// Directory is the replicated state. Only the log's owner may call Apply, Snapshot, Restore and
// Digest. All other methods are safe for concurrent use.
type Directory struct {
	lock     sync.RWMutex
	revision model.Revision
	// configuration is replaced as a whole and never modified.
	configuration *declared.Configuration
	// configurationChangedAt is the revision of the latest declaration, limitsChangedAt that of
	// the latest change of services or limits.
	configurationChangedAt model.Revision
	limitsChangedAt        model.Revision
	routes                 map[netip.AddrPort]routeRecord
	routeTombstones        []routeTombstone
	// tombstoneFloor is the revision up to which removals are not known: their tombstones were
	// dropped, or they precede a restored snapshot. Readers from before it need the full table.
	tombstoneFloor model.Revision
	targets        *targetIndex
	// targetTombstones are the tombstones of removed targets.
	targetTombstones []targetTombstone
	nextToken        Token
	// coldLimits has the limits of the configuration's services that have one, by service name.
	coldLimits map[string]declared.ColdLimit
	// evacuations are the zones that operators evacuated.
	evacuations evacuations
	// departures are those of incarnations without a record.
	departures departures
	// appliedAt is the log time of the latest applied command.
	appliedAt time.Time
}

// targetTombstone records the revision at which a target was removed.
type targetTombstone struct {
	token    Token
	revision model.Revision
}

// New returns an empty directory.
func New() *Directory {
	directory := &Directory{}
	directory.clear()
	return directory
}

// clear resets the directory to its initial state.
func (directory *Directory) clear() {
	directory.revision = 0
	directory.configuration = &declared.Configuration{}
	directory.configurationChangedAt = 0
	directory.limitsChangedAt = 0
	directory.routes = make(map[netip.AddrPort]routeRecord)
	directory.routeTombstones = nil
	directory.tombstoneFloor = 0
	directory.targets = newTargetIndex()
	directory.targetTombstones = nil
	directory.nextToken = 1
	directory.coldLimits = make(map[string]declared.ColdLimit)
	directory.evacuations = newEvacuations()
	directory.departures = newDepartures()
	directory.appliedAt = time.Time{}
}

// Revision returns the revision of the latest applied command.
func (directory *Directory) Revision() model.Revision {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.revision
}

// Configuration returns the declared configuration. It must not be modified.
func (directory *Directory) Configuration() *declared.Configuration {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.configuration
}

// Target returns the latest incarnation of the target with the identifier.
func (directory *Directory) Target(id TargetID) (Target, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.latest(id)
	if !exists {
		return Target{}, false
	}
	return *target, true
}

// Incarnation returns the incarnation with the token.
func (directory *Directory) Incarnation(token Token) (Target, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.find(token)
	if !exists {
		return Target{}, false
	}
	return *target, true
}

// TokenOf returns the token of the latest incarnation of the target with the identifier.
func (directory *Directory) TokenOf(id TargetID) (Token, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.latest(id)
	if !exists {
		return 0, false
	}
	return target.Token, true
}

// Occupant returns the earlier incarnation at the address of the one with the token that has not
// failed. It returns false if there is none.
func (directory *Directory) Occupant(token Token) (Target, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.find(token)
	if !exists {
		return Target{}, false
	}
	for _, other := range directory.targets.byAddress[target.Address] {
		if other.Token < token && other.State != TargetFailed {
			return *other, true
		}
	}
	return Target{}, false
}

// HasLeft reports whether the reporting incarnation left before it was registered, so that its
// registration arrived late and changes nothing.
func (directory *Directory) HasLeft(reported Target) bool {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	return directory.departures.covers(reported, directory.appliedAt)
}

// IsForeign reports whether a call under the identifier of a registered target comes from another
// writer. Such a call changes nothing.
func (directory *Directory) IsForeign(reported Target) bool {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.latest(reported.ID)
	return exists && directory.isForeign(target, reported)
}

// Successor returns the incarnation that replaced the one with the token: the latest one with the
// same identifier, else a later one at the same address that did not fail. It returns false if
// there is none.
func (directory *Directory) Successor(token Token) (Target, bool) {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	target, exists := directory.targets.find(token)
	if !exists {
		return Target{}, false
	}
	other := directory.successor(target)
	if other == nil {
		return Target{}, false
	}
	return *other, true
}

// Targets returns copies of all targets in the order of their tokens.
func (directory *Directory) Targets() []Target { return directory.AppendTargets(nil) }

// AppendTargets appends copies of all targets to buffer, in the order of their tokens.
func (directory *Directory) AppendTargets(buffer []Target) []Target {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	buffer = slices.Grow(buffer, len(directory.targets.byToken))
	for _, target := range directory.targets.byToken {
		buffer = append(buffer, *target)
	}
	return buffer
}
