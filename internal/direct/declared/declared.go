// Package declared holds the declared configuration of direct services: the complete set of
// routes, services and limits, which an operator replaces at once under a version number of their
// choice. The highest version wins. Sending the same version again, or an older one, changes
// nothing.
//
// The package is pure: it validates configurations, compares them and applies differences.
package declared

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/faults"
)

// RequestKind states whether a route's requests may be repeated, and which way large bodies flow.
type RequestKind string

// The kinds of requests.
const (
	// KindSafe requests may be repeated.
	KindSafe RequestKind = "safe"
	// KindUnsafe requests run at most once.
	KindUnsafe RequestKind = "unsafe"
	// KindUpload requests carry large bodies and run at most once.
	KindUpload RequestKind = "upload"
	// KindDownload requests have large responses and may be repeated.
	KindDownload RequestKind = "download"
)

// Known reports whether the kind is one of the above.
func (kind RequestKind) Known() bool {
	switch kind {
	case KindSafe, KindUnsafe, KindUpload, KindDownload:
		return true
	default:
		return false
	}
}

// PoolPart is one service's share of a route's new flows.
type PoolPart struct {
	Service string
	// Weight is the share relative to the weights of the other parts.
	Weight int
}

// Route assigns the flows of one address to a pool of services.
type Route struct {
	Name string
	// Address is the address and port that callers use. It identifies the
	// route: no two routes of a configuration share it.
	Address netip.AddrPort
	Kind    RequestKind
	// Timeout bounds one request. It must be positive.
	Timeout time.Duration
	// Objective is the latency that operators aim at; zero for none.
	Objective time.Duration
	// Priority orders routes under overload; zero is the highest.
	Priority int
	// Attempts is recorded for operators; the balancer ignores it.
	Attempts int
	// Pool has at least one part with a positive weight.
	Pool []PoolPart
	// Weighted means that the operator declared the pool as weighted parts rather than as one
	// service.
	Weighted bool
	// Regions are the route's home regions: only their targets may serve it. Empty for all.
	Regions []string
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the HTTP path of a target's health check.
	HealthPath string
	// MaxConnections bounds the flows of one target.
	MaxConnections int
	// Protocol and TLS are recorded for operators. The balancer forwards packets and does not
	// inspect their payload.
	Protocol string
	TLS      bool
	// Cold limits the new flows that the service's targets get shortly after their start.
	Cold ColdLimit
}

// ColdLimit is what a target can handle while it is cold (slow start): for some time after its
// start it is slow, because its caches and connection pools are empty.
type ColdLimit struct {
	// Stated means that the operator declared the fields below. Fields that were not declared are
	// not shown to operators either.
	Stated bool
	// Start is how long a target stays cold after its start.
	Start time.Duration
	// PerSecond is the number of new flows per second that a cold target can handle. Zero sets no
	// limit.
	PerSecond float64
}

// Bounded reports whether the new flows of cold targets are limited.
func (limit ColdLimit) Bounded() bool { return limit.PerSecond > 0 }

// Limits apply to all routes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a flow may be idle before balancers may remove it.
	IdleTimeout time.Duration
}

// Configuration is one version of the declared configuration.
type Configuration struct {
	// Version is the operator's own version number; zero means "none declared yet".
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// HasService reports whether the configuration declares the service.
func (configuration *Configuration) HasService(name string) bool {
	return slices.ContainsFunc(configuration.Services, func(service Service) bool { return service.Name == name })
}

// Validate returns an error that names the first invalid field. Its code is ConfigurationInvalid.
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

// validate returns an error that names the first invalid field.
func (limit ColdLimit) validate() error {
	switch {
	case limit.Start < 0:
		return fmt.Errorf("cold.start: %s is negative", limit.Start)
	case !(limit.PerSecond >= 0) || math.IsInf(limit.PerSecond, 1):
		return fmt.Errorf("cold.per_second: %v is not a finite, non-negative number", limit.PerSecond)
	}
	return nil
}

// validateRoutes checks the routes against each other and against the declared services, by name.
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

// validate checks one route; index is its position in the configuration.
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

// validatePool checks that the pool names declared services and has a positive weight.
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
		return invalid("routes[%d].pool: no part has a positive weight", index)
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return faults.New(faults.ConfigurationInvalid, "%s", fmt.Sprintf(format, arguments...))
}
