package steer

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Options are the bounds that a table works with.
type Options struct {
	// FreshFor is how long after the last sign of a confirmed member the table
	// counts as current.
	FreshFor time.Duration
	// AvoidFor is how long a target that a probe found dead gets no new flows
	// from this balancer, unless the table says otherwise before.
	AvoidFor time.Duration
	// Self is the balancer's name.
	Self model.NodeName
	// Zone is the balancer's zone. Targets of the same zone get NearWeight
	// times as many of its new flows as others of the same capacity, while they have
	// room; one is no preference.
	Zone            string
	LocalZoneWeight float64
	// SpillCandidates is the number of targets of other zones among which the least busy
	// one gets a new flow that near targets have no room for; zero keeps it near. It is
	// at most choicesKept.
	SpilloverCandidates int
	// Regions has the region of each zone by its name. A target whose zone is not in it
	// serves no route that is bound to regions.
	Regions map[string]string
	// Candidates is the number of targets, best by hash, among which the least
	// busy one is chosen for a new flow; one chooses by hash alone.
	Candidates int
	// AdmitShare is the share of its route's objective that a new flow's request
	// may be expected to take at the chosen target; else the flow has to wait or
	// is refused. Zero admits all.
	MaxObjectiveShare float64
	// FullCrowd is how many requests for each of its slots a target may hold before new
	// flows of the most urgent routes are refused, those of others from fewer on; zero
	// bounds none.
	MaxOccupancy float64
	// Loads tells how busy targets are; nil when nobody knows.
	Loads Loads
}

// Loads tells how busy targets are, as far as is known. It may be called from
// any goroutine.
type Loads interface {
	// Known tells whether counts may be used to choose among targets: nothing speaks
	// against them.
	Reliable() bool
	// Proven tells whether counts may be used to refuse a flow: enough was seen that
	// speaks for them. What only seems full costs a worse choice, and a refusal turns a
	// caller away beside idle targets.
	SufficientForRefusal(now time.Time) bool
	// Load returns the number of requests that are open at the target, and how
	// long it takes with one when it is idle; zero when that is not known.
	Load(token directory.Token) (open int, serving time.Duration)
	// Coming returns the number of further requests that this balancer gave the target and
	// that wait in front of its link. A choice counts them, so that flows which come within
	// the wait do not all go to one target; a refusal does not, because the link brings them
	// one after the other, and the target may be idle meanwhile.
	Pending(token directory.Token) int
	// Typical returns how long a request takes at an idle target of the service;
	// zero when that is not known.
	TypicalServiceTime(service string) time.Duration
	// Evidence returns what the open requests of the target rest on, but for ServingFor.
	Evidence(token directory.Token, now time.Time) Evidence
}

// DefaultOptions returns the bounds of processes.
func DefaultOptions() Options {
	return Options{
		FreshFor:        1500 * time.Millisecond,
		AvoidFor:        3 * time.Second,
		LocalZoneWeight: 64,
		// As many as near ones, and as few, so that balancers with the same counts
		// choose different ones.
		SpilloverCandidates: 3,
		Candidates:          3,
		MaxObjectiveShare:   0.6,
		MaxOccupancy:        5,
	}
}
