// Package declared holds the declared configuration of direct services: a
// whole set of routes, services and limits that an operator replaces at once
// under a version of its own. The highest version wins; sending a version
// again, or an older one, changes nothing.
//
// The package is pure: it checks configurations, compares them and applies
// differences.
package declared

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"merlinpaddle/internal/faults"
)

// RequestKind tells what repeating a request of a route may do.
type RequestKind string

// The kinds of requests.
const (
	// KindSafe requests may be repeated.
	KindSafe RequestKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RequestKind = "unsafe"
	// KindUpload requests carry large bodies and run at most once.
	KindUpload RequestKind = "upload"
	// KindDownload requests have large answers and may be repeated.
	KindDownload RequestKind = "download"
)

// Known tells whether the kind is one of the above.
func (kind RequestKind) Known() bool {
	switch kind {
	case KindSafe, KindUnsafe, KindUpload, KindDownload:
		return true
	default:
		return false
	}
}

// PoolPart is one service's part of a route's new flows.
type PoolPart struct {
	Service string
	// Weight is the part's share relative to the other parts' weights.
	Weight int
}

// Route gives the flows of one address to a pool of services.
type Route struct {
	Name string
	// Address is the address and port that callers use. It identifies the
	// route: no two routes of a configuration share it.
	Address netip.AddrPort
	Kind    RequestKind
	// Timeout bounds one request; it is positive.
	Timeout time.Duration
	// Objective is the latency that operators aim at.
	Objective time.Duration
	// Priority orders routes under overload; zero is the highest.
	Priority int
	// Attempts is recorded for operators and means nothing to the balancer.
	Attempts int
	// Pool has at least one part with a positive weight.
	Pool []PoolPart
	// Weighted tells that the operator stated the pool as weighted parts
	// rather than as one service.
	Weighted bool
	// Regions are the regions whose targets may serve the route, its homes; empty for
	// all.
	Regions []string
}

// Service is a group of targets that serve the same.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check over HTTP.
	HealthPath string
	// MaxConnections bounds the flows that one target holds.
	MaxConnections int
	// Protocol and TLS are recorded for operators; the balancer carries
	// packets and does not look inside.
	Protocol string
	TLS      bool
	// Cold is what the service's targets bear shortly after their start.
	Cold ColdLimit
}

// ColdLimit is what a target bears while it is cold: for some time after its start
// it is slow, because its caches and pools are empty.
type ColdLimit struct {
	// Stated tells that the operator stated the fields below. What was not stated
	// is not shown either.
	Stated bool
	// Start is how long a target stays cold.
	Start time.Duration
	// PerSecond is the number of new flows a second that it bears meanwhile. Zero
	// sets no bound.
	PerSecond float64
}

// Bounded tells whether new flows of cold targets are bounded.
func (limit ColdLimit) Bounded() bool { return limit.PerSecond > 0 }

// Limits are bounds that hold for all routes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a flow may rest before it may be forgotten.
	IdleTimeout time.Duration
}

// Configuration is one version of the declared configuration.
type Configuration struct {
	// Version is the operator's own number; zero means "none declared yet".
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Validate returns an error that names the first field that is wrong.
func (configuration *Configuration) Validate() error {
	if configuration.Version == 0 {
		return invalid("version: must be positive")
	}
	services := make(map[string]bool, len(configuration.Services))
	for index, service := range configuration.Services {
		if service.Name == "" {
			return invalid("services[%d].name: is empty", index)
		}
		if services[service.Name] {
			return invalid("services[%d].name: %q is declared twice", index, service.Name)
		}
		if err := service.Cold.validate(); err != nil {
			return invalid("services[%d].%v", index, err)
		}
		services[service.Name] = true
	}
	return configuration.validateRoutes(services)
}

// validate returns an error that names the first field that is wrong.
func (limit ColdLimit) validate() error {
	switch {
	case limit.Start < 0:
		return fmt.Errorf("cold.start: %s is negative", limit.Start)
	case !(limit.PerSecond >= 0) || math.IsInf(limit.PerSecond, 1):
		return fmt.Errorf("cold.per_second: %v is no rate", limit.PerSecond)
	}
	return nil
}

func (configuration *Configuration) validateRoutes(services map[string]bool) error {
	names := make(map[string]bool, len(configuration.Routes))
	addresses := make(map[netip.AddrPort]bool, len(configuration.Routes))
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		if err := route.validate(index, services); err != nil {
			return err
		}
		if names[route.Name] {
			return invalid("routes[%d].name: %q is declared twice", index, route.Name)
		}
		if addresses[route.Address] {
			return invalid("routes[%d]: address %s is declared twice", index, route.Address)
		}
		names[route.Name] = true
		addresses[route.Address] = true
	}
	return nil
}

func (route *Route) validate(index int, services map[string]bool) error {
	switch {
	case route.Name == "":
		return invalid("routes[%d].name: is empty", index)
	case !route.Address.IsValid() || route.Address.Port() == 0:
		return invalid("routes[%d]: the address is missing", index)
	case route.Timeout <= 0:
		return invalid("routes[%d].timeout: must be positive", index)
	case !route.Kind.Known():
		return invalid("routes[%d].kind: %q is not known", index, route.Kind)
	}
	for position, region := range route.Regions {
		if region == "" {
			return invalid("routes[%d].regions[%d]: is empty", index, position)
		}
	}
	return route.validatePool(index, services)
}

func (route *Route) validatePool(index int, services map[string]bool) error {
	total := 0
	for position, part := range route.Pool {
		if !services[part.Service] {
			return invalid("routes[%d].pool[%d]: service %q is not declared", index, position, part.Service)
		}
		if part.Weight < 0 {
			return invalid("routes[%d].pool[%d]: weight %d is negative", index, position, part.Weight)
		}
		total += part.Weight
	}
	if total == 0 {
		return invalid("routes[%d].pool: no part has a weight", index)
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return faults.New(faults.ConfigurationInvalid, "%s", fmt.Sprintf(format, arguments...))
}
