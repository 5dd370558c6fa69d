package fabric

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/settings"
)

// CallerZone is the zone name of the callers in latencies.
const CallerZone = "caller"

// Impairments are the active faults of the network between callers and zones.
type Impairments struct {
	// Loss is the probability that a packet is lost, from 0 to 1.
	Loss float64 `json:"loss"`
	// Duplicate is the probability that a packet arrives twice, from 0 to 1.
	Duplicate float64 `json:"duplicate"`
	// Reorder is the probability that a packet is delayed further, from 0 to 1.
	Reorder float64 `json:"reorder"`
	// ReorderDelayMilliseconds is the additional delay of these packets.
	ReorderDelayMilliseconds int64 `json:"reorder_delay_milliseconds"`
	// CutZones are the zones that are partitioned from callers: all packets between them and callers
	// are dropped.
	CutZones []string `json:"cut_zones"`
}

// maximumReorderDelay bounds the additional delay of a packet.
const maximumReorderDelay = 10 * time.Second

// Validate returns an error that names the first invalid field, or nil.
func (impairments Impairments) Validate() error {
	probabilities := []struct {
		field string
		value float64
	}{
		{"loss", impairments.Loss},
		{"duplicate", impairments.Duplicate},
		{"reorder", impairments.Reorder},
	}
	for _, probability := range probabilities {
		if !(probability.value >= 0 && probability.value <= 1) {
			return faults.New(faults.FabricControlRefused, "%s: %v is not between 0 and 1", probability.field, probability.value)
		}
	}
	if delay := impairments.reorderDelay(); delay < 0 || delay > maximumReorderDelay {
		return faults.New(faults.FabricControlRefused, "reorder_delay_milliseconds: %d is not between 0 and %d",
			impairments.ReorderDelayMilliseconds, maximumReorderDelay.Milliseconds())
	}
	if slices.Contains(impairments.CutZones, "") {
		return faults.New(faults.FabricControlRefused, "cut_zones: a zone has no name")
	}
	return nil
}

func (impairments Impairments) reorderDelay() time.Duration {
	return time.Duration(impairments.ReorderDelayMilliseconds) * time.Millisecond
}

// packetDecision is what the network does to one packet.
type packetDecision struct {
	// reason is why the packet is dropped, or dropNone.
	reason dropReason
	// copies is the number of copies that are sent.
	copies int
	// extraDelay is the delay in addition to the latency.
	extraDelay time.Duration
}

// network applies the impairments to packets, with random decisions from a seeded generator.
type network struct {
	impairments atomic.Pointer[Impairments]
	latencies   map[zonePair]time.Duration

	lock      sync.Mutex
	generator *rand.Rand
}

// zonePair is an ordered pair of zones.
type zonePair struct{ from, to string }

func newNetwork(seed uint64, latencies []settings.Latency) *network {
	created := &network{
		latencies: make(map[zonePair]time.Duration, 2*len(latencies)),
		generator: rand.New(rand.NewPCG(seed, seed)),
	}
	created.impairments.Store(&Impairments{})
	for _, latency := range latencies {
		reverse := zonePair{from: latency.To, to: latency.From}
		if _, stated := created.latencies[reverse]; !stated {
			created.latencies[reverse] = latency.Delay
		}
		created.latencies[zonePair{from: latency.From, to: latency.To}] = latency.Delay
	}
	return created
}

// latency returns the one-way delay between two zones. A direction without a configured delay has
// that of the other direction, or zero.
func (network *network) latency(from, to string) time.Duration {
	return network.latencies[zonePair{from: from, to: to}]
}

// choose returns a random number from zero to count - 1.
func (network *network) choose(count int) int {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.generator.IntN(count)
}

// drawTrue returns true with the given probability. At a probability of zero it draws no random
// number.
func (network *network) drawTrue(probability float64) bool {
	if probability <= 0 {
		return false
	}
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.generator.Float64() < probability
}

// decide returns the decision about one packet between callers and zone.
func (network *network) decide(zone string) packetDecision {
	current := network.impairments.Load()
	if slices.Contains(current.CutZones, zone) {
		return packetDecision{reason: dropCut}
	}
	if network.drawTrue(current.Loss) {
		return packetDecision{reason: dropLoss}
	}
	decided := packetDecision{copies: 1}
	if network.drawTrue(current.Duplicate) {
		decided.copies = 2
	}
	if network.drawTrue(current.Reorder) {
		decided.extraDelay = current.reorderDelay()
	}
	return decided
}
