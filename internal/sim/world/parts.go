package world

import (
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/rollout"
	"merlinpaddle/internal/routing"
	"merlinpaddle/internal/sim/directworld"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/steering"
)

// Steerer decides what an agent does with a packet. *steering.Steering implements it.
type Steerer interface {
	Decide(now time.Time, input steering.Input) steering.Decision
	Empty(at model.Revision) []model.BucketEmpty
}

// OwnerCache caches the owners of flows at a balancer. *flow.Cache implements it.
type OwnerCache interface {
	Lookup(hash uint64, tuple model.FiveTuple) (model.TargetID, bool)
	Insert(hash uint64, tuple model.FiveTuple, owner model.TargetID)
}

// Claims claims the right to run requests that may run at most once. *claim.Tracker implements it.
type Claims interface {
	Name() string
	Reconcile(now time.Time)
	Claim(now time.Time, key protocol.ClaimKey, fingerprint uint64, deadline time.Time, done func(claim.Answer)) uint64
	Release(now time.Time, grant claim.Grant)
	Record(now time.Time, grant claim.Grant, outcome protocol.ClaimOutcome)
	Forget(grant claim.Grant)
}

// Admission decides which requests run, wait or are refused. *admission.Controller implements it.
type Admission interface {
	Offer(now time.Time, request admission.Request) []admission.Decision
	Forecast(now time.Time, request admission.Request) (admission.Decision, bool)
	Finish(now time.Time, id admission.RequestID, result admission.Result) []admission.Decision
	SetClosed(now time.Time, closed bool) []admission.Decision
	Reconcile(now time.Time) []admission.Decision
	Load(now time.Time) admission.Load
}

// ConfigurationReader returns the configuration that a node runs. *rollout.Store implements it.
type ConfigurationReader interface {
	Current() *model.Configuration
}

// ReadConfirmer confirms that a member's state includes every change that was committed before the
// call. *replica.Controller implements it.
type ReadConfirmer interface {
	ReadBarrier(done func(err error))
}

// ResponseKind is the kind of response that an agent sends to a caller after a run.
type ResponseKind uint8

// The kinds of responses.
const (
	// ResponseAnswer forwards the back end's answer as a complete one.
	ResponseAnswer ResponseKind = iota + 1
	// ResponseUnknown means that the request may have run.
	ResponseUnknown
	// ResponseRefusal means that the request was not run.
	ResponseRefusal
)

// Response is what an agent sends to a caller after a run.
type Response struct {
	Kind ResponseKind
	// Attempt is the attempt that is answered.
	Attempt checker.AttemptID
	// ExecutedAttempt is the attempt whose run produced the response.
	ExecutedAttempt checker.AttemptID
	// Complete is true if the back end's body had its full length.
	Complete bool
}

// Parts are the components that the world is composed of. The standard parts are the product's own. A
// variant with a deliberate fault replaces or wraps one of them.
type Parts struct {
	// Chain returns the chain of targets along which balancers send the packets of a bucket.
	Chain func(bucket model.Bucket) []model.TargetID
	// Steering wraps an agent's steering.
	Steering func(options steering.Options, standard Steerer) Steerer
	// Cache wraps a balancer's cache.
	Cache func(standard OwnerCache) OwnerCache
	// Claims wraps an agent's claims.
	Claims func(standard Claims) Claims
	// Admission wraps an agent's admission.
	Admission func(standard Admission) Admission
	// GrantUsable reports whether a request may still be started with a grant.
	GrantUsable func(grant claim.Grant, now time.Time) bool
	// LeaseValid reports whether a balancer's lease is valid.
	LeaseValid func(lease *rollout.Lease, now time.Time) bool
	// Draining reports whether an agent refuses new requests because its target drains.
	Draining func(configuration *model.Configuration, target model.TargetID) bool
	// Machine wraps a member's replicated state machine.
	Machine func(standard replica.StateMachine) replica.StateMachine
	// Disk wraps a member's disk.
	Disk func(standard filesystem.FileSystem) filesystem.FileSystem
	// Messages filters every message between processes before it is sent, and returns the messages to
	// send instead. A nil Messages filters nothing.
	Messages kernel.MessageFilter
	// Running returns the configuration that a balancer routes packets with.
	Running func(node model.NodeName, store *rollout.Store) *model.Configuration
	// AfterRefusal is called after a request was refused, with a function that runs the request at the
	// back end nevertheless. The standard part does nothing.
	AfterRefusal func(run func())
	// ReadConfirmation wraps the check that a member makes before it answers an operator's read.
	ReadConfirmation func(standard ReadConfirmer) ReadConfirmer
	// Respond returns the response to send in place of the given one.
	Respond func(response Response) Response
	// Idle reports whether a target may be stopped, given the number of its open flows and whether it
	// has no running or waiting request.
	Idle func(flows int, requestsIdle bool) bool
	// Direct are the parts of directworld, the simulated world of direct services.
	Direct directworld.Parts
}

// StandardParts returns the product's own parts.
func StandardParts() Parts {
	return Parts{
		Direct:           directworld.StandardParts(),
		Chain:            routing.Chain,
		Steering:         func(_ steering.Options, standard Steerer) Steerer { return standard },
		Cache:            func(standard OwnerCache) OwnerCache { return standard },
		Claims:           func(standard Claims) Claims { return standard },
		Admission:        func(standard Admission) Admission { return standard },
		GrantUsable:      func(grant claim.Grant, now time.Time) bool { return grant.Usable(now) },
		LeaseValid:       func(lease *rollout.Lease, now time.Time) bool { return lease.Valid(now) },
		Draining:         drainingInConfiguration,
		Machine:          func(standard replica.StateMachine) replica.StateMachine { return standard },
		Disk:             func(standard filesystem.FileSystem) filesystem.FileSystem { return standard },
		Running:          func(_ model.NodeName, store *rollout.Store) *model.Configuration { return store.Current() },
		AfterRefusal:     func(func()) {},
		ReadConfirmation: func(standard ReadConfirmer) ReadConfirmer { return standard },
		Respond:          func(response Response) Response { return response },
		Idle:             func(flows int, requestsIdle bool) bool { return flows == 0 && requestsIdle },
	}
}

// drainingInConfiguration reports whether the configuration has the target in its draining phase.
func drainingInConfiguration(configuration *model.Configuration, target model.TargetID) bool {
	return configuration.Targets[target].Phase == model.PhaseDraining
}

var (
	_ OwnerCache = (*flow.Cache)(nil)
	_ Steerer    = (*steering.Steering)(nil)
	_ Claims     = (*claim.Tracker)(nil)
	_ Admission  = (*admission.Controller)(nil)

	_ ReadConfirmer = (*replica.Controller)(nil)
)
