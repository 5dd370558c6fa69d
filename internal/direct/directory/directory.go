// Package directory is the replicated state of direct services: the declared
// configuration, the targets that register by themselves, each with the
// token that flows carry, and the zones that operators emptied.
//
// It is a pure state machine for the control group's log (replica.StateMachine)
// and, for readers, a store of objects with the revision of their last change.
//
// Invariants:
//   - the declared version never goes back;
//   - a token names one incarnation of one target for ever;
//   - a target that drains never takes new flows again;
//   - an incarnation of a target has at most one holder for ever;
//   - of the incarnations with one identifier, all but the latest failed for good;
//   - an order for a zone changes nothing if another order was applied since its
//     member looked.
package directory

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/model"
)

// Token names one incarnation of a target in the packets of its flows. Zero
// means "no token". Tokens are given in ascending order and never reused.
type Token uint32

// TargetID is a target's own identifier. Zero means "none". A target that starts again
// may keep it.
type TargetID uint64

// StartTime is when an incarnation of a target started, in Unix milliseconds by the
// target's own clock. Zero means that the target does not say. A target that starts
// again under its identifier is another incarnation, and its start tells the two apart.
type StartTime int64

// TargetState is the state of one incarnation of a target.
type TargetState uint8

// The states of a target. A state other than Failed never goes back to an
// earlier one.
const (
	// TargetReady takes new flows.
	TargetReady TargetState = iota + 1
	// TargetDraining keeps its flows and takes no new ones.
	TargetDraining
	// TargetLeft said that it leaves; its flows are served while it lasts.
	TargetLeft
	// TargetFailed was found dead: its flows are lost.
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
	Version  string
	Capacity int
	State    TargetState
	// Before is the state that a failed target returns to when it answers.
	Before TargetState
	// Aside tells that the target gets no new flows for now, because it leaves
	// requests unanswered.
	Aside bool
	// Cold is how much longer the target stays slow, as it stated last; zero once it
	// is warm. Renewals change it only for services whose cold targets are bounded.
	Cold time.Duration
	// ColdDoubted tells that the target counts as cold because its zone was taken
	// back, not by its own word. Its next renewal that says "warm" may have been sent
	// before the target turned cold, so that a second one has to say so, too.
	ColdDoubted bool
	// Holder is the one balancer that may give the target new flows while it is cold;
	// empty for none. It never changes in the life of an incarnation, so that two
	// balancers whose tables differ never both hold the target's rate.
	Holder model.NodeName
	// Sequence is the number of the latest call that changed the target.
	Sequence uint64
	// Revision is that of the target's last change.
	Revision model.Revision
}

// routeRecord is a route with the revision of its last change.
type routeRecord struct {
	route    declared.Route
	revision model.Revision
}

// removedRoute tells that a route is gone since a revision.
type removedRoute struct {
	address  netip.AddrPort
	revision model.Revision
}

// Directory is the replicated state. Apply, Snapshot, Restore and Digest are
// for the log's owner alone; all other methods may be called at any time.
type Directory struct {
	lock     sync.RWMutex
	revision model.Revision
	// configuration is replaced as a whole and never modified.
	configuration *declared.Configuration
	// configurationAt is the revision of the latest declaration, limitsAt
	// that of the latest change of services or limits.
	configurationAt model.Revision
	limitsAt        model.Revision
	routes          map[netip.AddrPort]routeRecord
	removed         []removedRoute
	// removedFloor is the revision before which removals are forgotten.
	removedFloor model.Revision
	targets      *targetIndex
	// forgotten are tokens of targets that were taken out.
	forgotten []forgottenTarget
	nextToken Token
	// coldLimits has the bounds of the configuration's services by name, of those
	// that have one.
	coldLimits map[string]declared.ColdLimit
	// evacuations are the zones that operators emptied.
	evacuations evacuations
}

// forgottenTarget tells that a target was taken out of the directory.
type forgottenTarget struct {
	token    Token
	revision model.Revision
}

// New returns an empty directory.
func New() *Directory {
	directory := &Directory{}
	directory.clear()
	return directory
}

func (directory *Directory) clear() {
	directory.revision = 0
	directory.configuration = &declared.Configuration{}
	directory.configurationAt = 0
	directory.limitsAt = 0
	directory.routes = make(map[netip.AddrPort]routeRecord)
	directory.removed = nil
	directory.removedFloor = 0
	directory.targets = newTargetIndex()
	directory.forgotten = nil
	directory.nextToken = 1
	directory.coldLimits = make(map[string]declared.ColdLimit)
	directory.evacuations = newEvacuations()
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
	target, exists := directory.targets.byID[id]
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
	target, exists := directory.targets.byID[id]
	if !exists {
		return 0, false
	}
	return target.Token, true
}

// Successor returns the later incarnation that took an incarnation's address or
// identifier, if there is one that did not fail.
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

// AppendTargets appends copies of all targets to buffer, in the order of their
// tokens.
func (directory *Directory) AppendTargets(buffer []Target) []Target {
	directory.lock.RLock()
	defer directory.lock.RUnlock()
	buffer = slices.Grow(buffer, len(directory.targets.ordered))
	for _, target := range directory.targets.ordered {
		buffer = append(buffer, *target)
	}
	return buffer
}
