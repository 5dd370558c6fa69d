// Package model has the data types that all roles share: identifiers, services, targets, bucket
// tables, and the configuration that nodes run.
//
// The package is pure: it performs no input or output, reads no clock and
// starts no goroutine, so that the same code runs in processes and in
// simulation.
package model

// Revision is the number of a committed change of the configuration: the index of the change in the
// replicated log. So it grows and is never reused.
type Revision uint64

// ServiceID identifies a service from its creation to its removal. It is never reused: a service that
// is removed and created again at the same address gets a new ServiceID, so a packet that is still in
// transit cannot reach the new owner of the address.
type ServiceID uint32

// TargetID identifies one target of one service. It is never reused. Zero means "no target".
type TargetID uint32

// Incarnation distinguishes successive processes of the same node or target. It grows with every
// restart.
type Incarnation uint64

// NodeName is the unique name of a process, as given in its settings.
type NodeName string

// ZoneName is the name of a zone, whose nodes may fail together.
type ZoneName string

// TenantName is the name of a tenant.
type TenantName string

// BucketIndex numbers the buckets of one service from zero.
type BucketIndex uint32

// Role is the job of a process.
type Role string

// The roles of the system's own processes.
const (
	RoleControl  Role = "control"
	RoleRelay    Role = "relay"
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
)
