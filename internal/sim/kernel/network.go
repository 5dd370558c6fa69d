package kernel

import (
	"time"

	"merlinpaddle/internal/model"
)

// LinkFaults is what goes wrong on the network besides cuts. Probabilities
// are for each message or packet.
type LinkFaults struct {
	Loss        float64
	Duplication float64
	// Jitter is the largest extra delay; it reorders what is close in time.
	Jitter time.Duration
}

// Latency gives the one-way delay between two zones.
type Latency func(from, to model.ZoneName) time.Duration

// Endpoint is one end of the network.
type Endpoint struct {
	Name model.NodeName
	Zone model.ZoneName
}

// direction is one way between two names.
type direction struct {
	from string
	to   string
}

// Network carries closures between endpoints: what arrives is a call at the
// receiver. It knows cuts by process and by zone, each for one direction.
type Network struct {
	scheduler   *Scheduler
	random      *Random
	latency     Latency
	faults      LinkFaults
	processCuts map[direction]int
	zoneCuts    map[direction]int
	isolated    map[model.NodeName]int
	delays      map[model.NodeName]time.Duration
	sent        uint64
	lost        uint64
}

// NewNetwork returns a network without faults.
func NewNetwork(scheduler *Scheduler, random *Random, latency Latency) *Network {
	return &Network{
		scheduler:   scheduler,
		random:      random,
		latency:     latency,
		processCuts: make(map[direction]int),
		zoneCuts:    make(map[direction]int),
		isolated:    make(map[model.NodeName]int),
		delays:      make(map[model.NodeName]time.Duration),
	}
}

// Sibling returns a network that shares cuts and slow processes with this one
// and has random numbers and faults of its own.
func (network *Network) Sibling(random *Random, faults LinkFaults) *Network {
	sibling := *network
	sibling.random = random
	sibling.faults = faults
	return &sibling
}

// SetFaults replaces the faults of all links.
func (network *Network) SetFaults(faults LinkFaults) { network.faults = faults }

// CutOneWay drops what from sends to to until the returned function is called.
func (network *Network) CutOneWay(from, to model.NodeName) (heal func()) {
	return addCut(network.processCuts, direction{string(from), string(to)})
}

// CutZonesOneWay drops what zone from sends to zone to.
func (network *Network) CutZonesOneWay(from, to model.ZoneName) (heal func()) {
	return addCut(network.zoneCuts, direction{string(from), string(to)})
}

// CutZone separates a zone from all others, both ways; zones lists them.
func (network *Network) CutZone(zone model.ZoneName, zones []model.ZoneName) (heal func()) {
	var heals []func()
	for _, other := range zones {
		if other != zone {
			heals = append(heals, network.CutZonesOneWay(zone, other), network.CutZonesOneWay(other, zone))
		}
	}
	return func() {
		for _, healOne := range heals {
			healOne()
		}
	}
}

// Isolate separates a process from all others, both ways.
func (network *Network) Isolate(name model.NodeName) (heal func()) {
	return addCut(network.isolated, name)
}

// Slow adds a delay to all that a process sends and receives.
func (network *Network) AddDelay(name model.NodeName, delay time.Duration) (heal func()) {
	network.delays[name] += delay
	return func() { network.delays[name] -= delay }
}

func addCut[Key comparable](cuts map[Key]int, key Key) (heal func()) {
	cuts[key]++
	healed := false
	return func() {
		if !healed {
			healed = true
			cuts[key]--
		}
	}
}

// Reachable tells whether the network passes anything from from to to.
func (network *Network) Reachable(from, to Endpoint) bool {
	if from.Name == to.Name {
		return true
	}
	if network.isolated[from.Name] > 0 || network.isolated[to.Name] > 0 {
		return false
	}
	if network.processCuts[direction{string(from.Name), string(to.Name)}] > 0 {
		return false
	}
	return network.zoneCuts[direction{string(from.Zone), string(to.Zone)}] == 0
}

// Send calls deliver at the receiver after the link's delay, once, twice or
// never. A cut that begins while something is under way also stops it.
func (network *Network) Send(from, to Endpoint, deliver func()) {
	network.sent++
	copies := 1
	if network.random.Chance(network.faults.Duplication) {
		copies = 2
	}
	for range copies {
		network.sendCopy(from, to, deliver)
	}
}

func (network *Network) sendCopy(from, to Endpoint, deliver func()) {
	if !network.Reachable(from, to) || network.random.Chance(network.faults.Loss) {
		network.lost++
		return
	}
	delay := network.latency(from.Zone, to.Zone)
	delay += network.delays[from.Name] + network.delays[to.Name]
	delay += network.random.Between(0, network.faults.Jitter)
	network.scheduler.After(delay, func() {
		if network.Reachable(from, to) {
			deliver()
			return
		}
		network.lost++
	})
}

// Counters returns how many messages were sent and how many were lost.
func (network *Network) Counters() (sent, lost uint64) { return network.sent, network.lost }

// Faults returns the faults of all links.
func (network *Network) Faults() LinkFaults { return network.faults }
