package kernel

import (
	"time"

	"merlinpaddle/internal/model"
)

// LinkFaults configures the faults of the network's links other than cuts. Loss and Duplication
// are probabilities for each message or packet.
type LinkFaults struct {
	Loss        float64
	Duplication float64
	// Jitter bounds the random extra delay of each copy. Copies sent within that time of each
	// other may be reordered.
	Jitter time.Duration
}

// Latency returns the one-way delay between two zones.
type Latency func(from, to model.ZoneName) time.Duration

// Endpoint is a sender or receiver on the network.
type Endpoint struct {
	Name model.NodeName
	Zone model.ZoneName
}

// direction is an ordered pair of process names or of zone names.
type direction struct {
	from string
	to   string
}

// Network carries closures between endpoints; delivering one calls it. Cuts between processes or
// between zones drop traffic in one direction. Overlapping cuts are counted, so a link recovers
// once all of them have healed.
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

// NewNetwork returns a network without faults or cuts.
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

// Sibling returns a network that shares cuts and added delays with this one but has its own
// random stream, link faults and counters.
func (network *Network) Sibling(random *Random, faults LinkFaults) *Network {
	sibling := *network
	sibling.random = random
	sibling.faults = faults
	return &sibling
}

// SetFaults sets the faults of all links.
func (network *Network) SetFaults(faults LinkFaults) { network.faults = faults }

// CutOneWay drops what process from sends to process to until heal is called.
func (network *Network) CutOneWay(from, to model.NodeName) (heal func()) {
	return addCut(network.processCuts, direction{string(from), string(to)})
}

// CutZonesOneWay drops what zone from sends to zone to until heal is called.
func (network *Network) CutZonesOneWay(from, to model.ZoneName) (heal func()) {
	return addCut(network.zoneCuts, direction{string(from), string(to)})
}

// CutZone cuts zone off from all other zones in zones, both ways, until heal is called.
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

// Isolate cuts a process off from all others, both ways, until heal is called.
func (network *Network) Isolate(name model.NodeName) (heal func()) {
	return addCut(network.isolated, name)
}

// AddDelay adds delay to everything that a process sends or receives until heal is called. Unlike
// the heal of a cut, this one must be called only once.
func (network *Network) AddDelay(name model.NodeName, delay time.Duration) (heal func()) {
	network.delays[name] += delay
	return func() { network.delays[name] -= delay }
}

// addCut counts one more cut of key. The returned heal removes it once, however often it is called.
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

// Reachable reports whether no cut drops what from sends to to. A process always reaches itself.
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

// Send calls deliver after the link's delay: once, twice when duplicated, or never when lost. A cut
// that begins while a copy is in transit also drops it.
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

// sendCopy sends one copy, or counts it as lost.
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

// Counters returns the number of sent messages and the number of lost copies.
func (network *Network) Counters() (sent, lost uint64) { return network.sent, network.lost }

// Faults returns the faults of all links.
func (network *Network) Faults() LinkFaults { return network.faults }
