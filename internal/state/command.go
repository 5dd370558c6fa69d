package state

import (
	"encoding/json"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Command is one typed change of the state, stored as an entry of the replicated
// log.
type Command interface {
	// apply validates the command and records its changes in the transaction.
	// The transaction is discarded when the result is a refusal.
	apply(transaction *transaction) Result
}

// Change holds the fields that all operator commands have in common.
type Change struct {
	// Scope separates the idempotency keys of tenants. It is empty for operators
	// of the whole system.
	Scope string
	// Key is the idempotency key, at most MaximumIdempotencyKeyBytes long. When
	// it is empty, no answer is stored for the command.
	Key string
	// Fingerprint is a checksum of the request. A known key with another
	// fingerprint is refused.
	Fingerprint uint64
	// Base is the revision of the object that the change is based on. Zero
	// means that the object must not exist.
	Base model.Revision
	// Actor is the name of the token that requested the change.
	Actor string
}

// operatorCommand is a command that an operator sent and may resend.
type operatorCommand interface {
	Command
	change() Change
}

func (change Change) change() Change { return change }

// PutTemplate creates a template or adds a version to it.
type PutTemplate struct {
	Change
	Name string
	Spec TemplateSpec
}

// DeleteTemplate removes a template with all its versions. It is refused while a
// service uses the template.
type DeleteTemplate struct {
	Change
	Name string
}

// PutTenant creates or changes a tenant.
type PutTenant struct {
	Change
	Name model.TenantName
	Spec TenantSpec
}

// DeleteTenant removes a tenant. It is refused while the tenant has services.
type DeleteTenant struct {
	Change
	Name model.TenantName
}

// Parameter is the value of one template parameter, as JSON.
type Parameter struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// PutService creates or changes a service, which is defined by a template and
// parameters.
type PutService struct {
	Change
	Tenant model.TenantName
	Name   string
	// Template is the template version to use; version zero means the latest.
	Template   model.TemplateReference
	Parameters []Parameter
}

// DeleteService drains all targets of a service and removes the service once no
// bucket refers to them. Force removes it at once, which breaks its open flows.
type DeleteService struct {
	Change
	Tenant model.TenantName
	Name   string
	Force  bool
}

// DrainTarget stops new flows to a target.
type DrainTarget struct {
	Change
	Target TargetKey
}

// UndrainTarget lets a drained target take new flows again.
type UndrainTarget struct {
	Change
	Target TargetKey
}

// RestoreState replaces an empty state with a snapshot.
type RestoreState struct {
	Change
	Snapshot []byte
}

// TargetObservation is the membership state of one target's agent.
type TargetObservation struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	// Alive is false once membership considers the agent dead.
	Alive bool
}

// ObserveTargets records the incarnations of targets and whether they are alive.
type ObserveTargets struct {
	Observations []TargetObservation
}

// ReportEmpty records in which buckets agents have no flows left.
type ReportEmpty struct {
	Reports []model.BucketEmpty
}

// Claim requests the exclusive right to run a request once.
type Claim struct {
	Request protocol.ClaimRequest
}

// CompleteClaim records the outcome of a claimed request, or releases the key of
// a request that was not run.
type CompleteClaim struct {
	Outcome protocol.ClaimOutcome
}
