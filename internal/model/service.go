package model

import (
	"net/netip"
	"time"
)

// Protocol is the transport protocol between callers and a service.
type Protocol uint8

// The protocols of services.
const (
	// ProtocolUDP carries any datagrams. Request rules do not apply to it.
	ProtocolUDP Protocol = iota + 1
	// ProtocolTCP carries TCP segments.
	ProtocolTCP
	// ProtocolQUIC carries HTTP/3 over QUIC.
	ProtocolQUIC
)

// RequestClass groups requests that share admission rules.
type RequestClass string

// The request classes.
const (
	// ClassCall is a short request that holds a slot.
	ClassCall RequestClass = "call"
	// ClassUpload is a request with a large body; it may not take the last free slot.
	ClassUpload RequestClass = "upload"
	// ClassFeed is a request with a long-lived response; it holds a connection and no slot.
	ClassFeed RequestClass = "feed"
)

// RequestRule assigns a class to the requests that match it. The first rule
// that matches applies; a request without a matching rule is a call that may be repeated.
type RequestRule struct {
	// Method is the HTTP method; empty matches every method.
	Method string
	// PathPrefix is the prefix of the request path.
	PathPrefix string
	// Class is the class of matching requests.
	Class RequestClass
	// AtMostOnce reports whether a matching request must not run twice: it needs an idempotency key
	// and is claimed before it runs.
	AtMostOnce bool
	// Weight is the value of one delivered request, by which admission control orders waiting
	// requests. Zero counts as one.
	Weight uint32
}

// Limits bound the resources that a service may use. Zero means the value that DefaultLimits returns.
type Limits struct {
	// SlotsPerTarget is the number of requests that may run at the same time at each target.
	SlotsPerTarget int
	// MaximumConnections is the number of caller connections that may be open at each target.
	MaximumConnections int
	// MaximumQueue is the number of requests that may wait at each target.
	MaximumQueue int
	// MaximumHeaderBytes is the maximum size of a request header, in bytes.
	MaximumHeaderBytes int
	// MaximumBodyBytes is the maximum size of a request body, in bytes.
	MaximumBodyBytes int64
	// HeaderTimeout is the longest wait for a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without traffic after which connections and flows are closed.
	IdleTimeout time.Duration
	// RequestTimeout is the time limit of a request that does not state a deadline.
	RequestTimeout time.Duration
	// NewFlowsPerSecond is the maximum rate of new flows at each target.
	NewFlowsPerSecond float64
	// NewFlowBurst is the number of new flows that each target may open at once above that rate.
	NewFlowBurst int
}

// Default values of Limits.
const (
	DefaultSlotsPerTarget     = 2
	DefaultMaximumConnections = 2000
	DefaultMaximumQueue       = 64
	DefaultMaximumHeaderBytes = 16 << 10
	DefaultMaximumBodyBytes   = 64 << 20
	DefaultHeaderTimeout      = 5 * time.Second
	DefaultIdleTimeout        = 60 * time.Second
	DefaultRequestTimeout     = 10 * time.Second
	DefaultNewFlowsPerSecond  = 2000
	DefaultNewFlowBurst       = 500
)

// DefaultLimits returns the limits of a service whose template sets none.
func DefaultLimits() Limits {
	return Limits{
		SlotsPerTarget:     DefaultSlotsPerTarget,
		MaximumConnections: DefaultMaximumConnections,
		MaximumQueue:       DefaultMaximumQueue,
		MaximumHeaderBytes: DefaultMaximumHeaderBytes,
		MaximumBodyBytes:   DefaultMaximumBodyBytes,
		HeaderTimeout:      DefaultHeaderTimeout,
		IdleTimeout:        DefaultIdleTimeout,
		RequestTimeout:     DefaultRequestTimeout,
		NewFlowsPerSecond:  DefaultNewFlowsPerSecond,
		NewFlowBurst:       DefaultNewFlowBurst,
	}
}

// TemplateReference identifies one version of a template.
type TemplateReference struct {
	Name    string
	Version uint32
}

// Service is a service of a tenant, made from a template and the tenant's parameters.
type Service struct {
	ID       ServiceID
	Tenant   TenantName
	Name     string
	Template TemplateReference
	Protocol Protocol
	// Address is the virtual address and port to which callers send.
	Address netip.AddrPort
	Limits  Limits
	Rules   []RequestRule
	// Revision is the revision of the last change of this service.
	Revision Revision
}

// TargetPhase is the phase of a target's life cycle.
type TargetPhase uint8

// The phases of a target.
const (
	// PhaseServing is a target that opens new flows.
	PhaseServing TargetPhase = iota + 1
	// PhaseDraining is a target that opens no new flows and keeps its open ones.
	PhaseDraining
	// PhaseDead is a target that is considered to have lost its flows.
	PhaseDead
)

// Target is one back end of a service with the agent in front of it.
type Target struct {
	ID      TargetID
	Service ServiceID
	Name    string
	Zone    ZoneName
	// Agent is the UDP address at which the agent receives Geneve packets.
	Agent netip.AddrPort
	// Backend is the address of the back end behind the agent.
	Backend netip.AddrPort
	Phase   TargetPhase
	// Incarnation is the incarnation of the latest known agent process of the target.
	Incarnation Incarnation
	// Revision is the revision of the last change of this target.
	Revision Revision
}
