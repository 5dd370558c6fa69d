package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// maximumRolloutTime is the time within which an accepted change must be in force.
	maximumRolloutTime = 7 * time.Second
	// drainGrace is the time after the acceptance of a drain during which the target may still get new
	// work.
	drainGrace = 3 * time.Second
	// digestInterval is the number of applied log entries between two comparisons of the digests of
	// the members' states.
	digestInterval = 16
)

// checks holds the checkers of one run, and what they last observed of each node.
type checks struct {
	world     *World
	flows     *checker.Flows
	requests  *checker.Requests
	drain     *checker.Drain
	rollout   *checker.Rollout
	replicas  *checker.Replicas
	operators *checker.Operators
	observed  map[model.NodeName]observation
}

// observation is the configuration revision that an incarnation of a node was last seen to run.
type observation struct {
	incarnation model.Incarnation
	revision    model.Revision
}

func newChecks(world *World) *checks {
	report := world.run.Report
	return &checks{
		world:     world,
		flows:     checker.NewFlows(report),
		requests:  checker.NewRequests(report),
		drain:     checker.NewDrain(report, drainGrace),
		rollout:   checker.NewRollout(report, maximumRolloutTime),
		replicas:  checker.NewReplicas(report),
		operators: checker.NewOperators(report),
		observed:  make(map[model.NodeName]observation),
	}
}

// observeNode records which configuration a node runs if that has changed. It ignores the empty
// configuration of a node that has just started.
func (checks *checks) observeNode(process *kernel.Process, configuration *model.Configuration) {
	seen := observation{incarnation: process.Incarnation(), revision: configuration.Revision}
	if configuration.Revision == 0 || checks.observed[process.Name] == seen {
		return
	}
	checks.observed[process.Name] = seen
	digest := configuration.Digest()
	checks.world.run.Trace.Addf(string(process.Name), "runs", "revision %d digest %016x", configuration.Revision, digest)
	checks.rollout.Applied(checker.Node(process.Name), uint64(configuration.Revision), digest, checks.world.run.Elapsed())
}

// observeApplied records that a member applied a log entry. Every digestInterval entries it gives the
// digest of the member's state to the checker, which compares it with those of the other members.
func (checks *checks) observeApplied(member *member, index uint64) {
	checks.world.run.Trace.Mix(index, uint64(member.process.Incarnation()))
	if index%digestInterval == 0 {
		checks.replicas.State(string(member.process.Name), index, member.machine.Digest(), checks.world.run.Elapsed())
	}
}

// sample records the lease and the configuration revision of every balancer.
func (checks *checks) sample() {
	for _, balancer := range checks.world.balancers {
		checks.sampleBalancer(balancer)
	}
}

// sampleBalancer records the lease and the configuration revision of a balancer that is neither
// stopped nor frozen.
func (checks *checks) sampleBalancer(balancer *balancer) {
	if !balancer.process.Active() {
		return
	}
	configuration := checks.world.parts.Running(balancer.process.Name, balancer.store)
	leased := checks.world.parts.LeaseValid(balancer.lease, balancer.process.LocalNow())
	checks.rollout.Sample(checker.Node(balancer.process.Name), leased, uint64(configuration.Revision), checks.world.run.Elapsed())
}

// leaseObserver is the first controller of a balancer. After a freeze it therefore samples the lease
// and the configuration before the balancer applies the updates that have queued up.
type leaseObserver struct{ balancer *balancer }

// Name implements board.Controller.
func (observer leaseObserver) Name() string { return "lease observer" }

// Reconcile implements board.Controller.
func (observer leaseObserver) Reconcile(time.Time) {
	observer.balancer.world.checks.sampleBalancer(observer.balancer)
}
