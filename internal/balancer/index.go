package balancer

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"merlinpaddle/internal/model"
)

// serviceKey identifies a service by what a packet contains: the protocol in the
// IP header and the destination.
type serviceKey struct {
	protocol    model.Protocol
	destination netip.AddrPort
}

// serviceEntry holds what the packet path needs to know of a service.
type serviceEntry struct {
	id       model.ServiceID
	protocol model.Protocol
	buckets  *model.BucketTable
	// openings limits the service's opening packets at this balancer.
	openings *rate.Limiter
}

// targetEntry holds what the packet path needs to know of a target.
type targetEntry struct {
	service model.ServiceID
	// agent is the address of the target's agent; destination is the same address
	// in the form that the batch writer takes.
	agent       netip.AddrPort
	destination *net.UDPAddr
	isDead      bool
}

// Index holds one configuration as lookup tables for the packet path. A published
// index is immutable, apart from the state of its rate limiters.
type Index struct {
	revision model.Revision
	services map[serviceKey]*serviceEntry
	targets  map[model.TargetID]*targetEntry
}

// Revision returns the revision of the configuration.
func (index *Index) Revision() model.Revision { return index.revision }

// wireProtocol returns the protocol that packets of a service have in their IP
// header.
func wireProtocol(protocol model.Protocol) model.Protocol {
	if protocol == model.ProtocolQUIC {
		return model.ProtocolUDP
	}
	return protocol
}

// keyOf returns the key of the service that a flow is addressed to.
func keyOf(flow model.FiveTuple) serviceKey {
	return serviceKey{protocol: wireProtocol(flow.Protocol), destination: flow.Destination}
}

// newIndex returns the index of a configuration. Services that exist in the
// previous index, which may be nil, keep their limiters, so that a configuration
// change does not refill their token buckets.
func newIndex(now time.Time, configuration *model.Configuration, previous *Index, limits *Limits) *Index {
	created := &Index{
		revision: configuration.Revision,
		services: make(map[serviceKey]*serviceEntry, len(configuration.Services)),
		targets:  make(map[model.TargetID]*targetEntry, len(configuration.Targets)),
	}
	serving := make(map[model.ServiceID]int, len(configuration.Services))
	for id, target := range configuration.Targets {
		created.targets[id] = &targetEntry{
			service:     target.Service,
			agent:       target.Agent,
			destination: net.UDPAddrFromAddrPort(target.Agent),
			isDead:      target.Phase == model.PhaseDead,
		}
		if target.Phase == model.PhaseServing {
			serving[target.Service]++
		}
	}
	for id, service := range configuration.Services {
		created.addService(service, configuration.Buckets[id], limits.serviceLimiter(now, service, serving[id], previous))
	}
	return created
}

// addService adds a service to the index, unless it has no buckets. The control
// plane never commits two services at one address; if it happens all the same, the
// service with the higher ID gets the address.
func (index *Index) addService(service model.Service, buckets *model.BucketTable, openings *rate.Limiter) {
	if buckets == nil || buckets.Count() == 0 {
		return
	}
	key := serviceKey{protocol: wireProtocol(service.Protocol), destination: service.Address}
	if present, taken := index.services[key]; taken && present.id > service.ID {
		return
	}
	index.services[key] = &serviceEntry{
		id:       service.ID,
		protocol: service.Protocol,
		buckets:  buckets,
		openings: openings,
	}
}

// limiterOf returns the service's limiter in the index, or nil if the index is nil
// or does not have the service.
func (index *Index) limiterOf(service model.Service) *rate.Limiter {
	if index == nil {
		return nil
	}
	key := serviceKey{protocol: wireProtocol(service.Protocol), destination: service.Address}
	entry, known := index.services[key]
	if !known || entry.id != service.ID {
		return nil
	}
	return entry.openings
}
