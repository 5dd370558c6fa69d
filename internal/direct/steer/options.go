package steer

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Options configures a Table.
type Options struct {
	// FreshFor is how long the table counts as current after it was last confirmed by a
	// member with a quorum.
	FreshFor time.Duration
	// AvoidFor is how long a target that failed a probe gets no new flows from this
	// balancer. A state change of the target in the table ends it earlier.
	AvoidFor time.Duration
	// Self is the balancer's name.
	Self model.NodeName
	// Zone is the balancer's zone, its local zone. While targets of the local zone have
	// room, their weight for this balancer's new flows is multiplied by LocalZoneWeight;
	// 1 means no preference.
	Zone            string
	LocalZoneWeight float64
	// SpilloverCandidates is the number of targets in remote zones among which the least
	// busy one gets a new flow when targets of the local zone have no room. Zero disables
	// spillover. It is at most maxRankedTargets.
	SpilloverCandidates int
	// Regions maps the name of each zone to its region. A target in a zone without an
	// entry serves no route that is restricted to regions.
	Regions map[string]string
	// Candidates is the number of targets, the best by hash, among which the least busy
	// one is chosen for a new flow. With 1 the hash alone decides.
	Candidates int
	// MaxObjectiveShare is the share of its route's latency objective that a new flow's
	// request may be expected to take at the chosen target. Beyond it the flow is refused
	// while the service is congested. Zero disables this admission control.
	MaxObjectiveShare float64
	// MaxOccupancy is the number of requests for each of its slots that a target may hold
	// before new flows on routes of the most urgent priority are refused; lower priorities
	// have lower limits. Zero means no limit.
	MaxOccupancy float64
	// Loads provides the load of targets; nil when load is not known.
	Loads Loads
}

// Loads provides estimates of how busy targets are. Its methods must be safe for concurrent
// use.
type Loads interface {
	// Reliable reports whether the counts may be used to choose among targets, which is the
	// case as long as there is no evidence against them.
	Reliable() bool
	// SufficientForRefusal reports whether there is enough evidence for the counts to
	// refuse flows by them. This is stricter than Reliable: a target that wrongly seems
	// full only makes a choice worse, but a wrong refusal turns a caller away although
	// targets are idle.
	SufficientForRefusal(now time.Time) bool
	// Load returns the number of open requests at the target, and how long it takes to
	// serve one request when it is idle; the time is zero when it is not known.
	Load(token directory.Token) (open int, serviceTime time.Duration)
	// Pending returns the number of further requests that this balancer has assigned to
	// the target and that still wait in front of its link. The choice of a target counts
	// them, so that flows that arrive during the wait do not all go to one target. Refusals
	// do not count them, because the link delivers them one after the other, and the target
	// may be idle meanwhile.
	Pending(token directory.Token) int
	// TypicalServiceTime returns how long a request takes at an idle target of the
	// service; zero when that is not known.
	TypicalServiceTime(service string) time.Duration
	// Evidence returns what the open requests of the target are based on. It leaves
	// ServingFor unset.
	Evidence(token directory.Token, now time.Time) Evidence
}

// DefaultOptions returns the options that balancer processes start from.
func DefaultOptions() Options {
	return Options{
		FreshFor:        1500 * time.Millisecond,
		AvoidFor:        3 * time.Second,
		LocalZoneWeight: 64,
		// As many as Candidates for the local zone, and few, so that balancers with the
		// same counts choose different targets.
		SpilloverCandidates: 3,
		Candidates:          3,
		MaxObjectiveShare:   0.6,
		MaxOccupancy:        5,
	}
}
