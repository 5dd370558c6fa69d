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

// CallerZone names the callers in latencies and cuts.
const CallerZone = "caller"

// Impairments are the faults of the network that are switched on.
type Impairments struct {
	// Loss is the share of packets that are lost, from 0 to 1.
	Loss float64 `json:"loss"`
	// Duplicate is the share of packets that arrive twice, from 0 to 1.
	Duplicate float64 `json:"duplicate"`
	// Reorder is the share of packets that are held back, from 0 to 1.
	Reorder float64 `json:"reorder"`
	// ReorderDelayMilliseconds is how long they are held back.
	ReorderDelayMilliseconds int64 `json:"reorder_delay_milliseconds"`
	// CutZones are zones that callers' packets and answers cannot cross.
	CutZones []string `json:"cut_zones"`
}

// maximumReorderDelay bounds how long a packet is held back.
const maximumReorderDelay = 10 * time.Second

// Validate returns an error that names the first wrong field.
func (impairments Impairments) Validate() error {
	shares := []struct {
		field string
		value float64
	}{
		{"loss", impairments.Loss},
		{"duplicate", impairments.Duplicate},
		{"reorder", impairments.Reorder},
	}
	for _, share := range shares {
		if !(share.value >= 0 && share.value <= 1) {
			return faults.New(faults.FabricControlRefused, "%s: %v is not between 0 and 1", share.field, share.value)
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

// fate is what the network does to one packet.
type fate struct {
	// reason is why the packet is dropped, or zero.
	reason dropReason
	// copies is the number of times it arrives.
	copies int
	// hold is the delay beyond the latency.
	hold time.Duration
}

// network decides the fate of packets from a seeded generator.
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

// latency returns the one-way delay between two zones: as stated, else that of
// the other direction, else zero.
func (network *network) latency(from, to string) time.Duration {
	return network.latencies[zonePair{from: from, to: to}]
}

// choose returns a number from zero to count - 1.
func (network *network) choose(count int) int {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.generator.IntN(count)
}

func (network *network) happens(share float64) bool {
	if share <= 0 {
		return false
	}
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.generator.Float64() < share
}

// fateOf decides about one packet between callers and zone.
func (network *network) fateOf(zone string) fate {
	present := network.impairments.Load()
	if slices.Contains(present.CutZones, zone) {
		return fate{reason: dropCut}
	}
	if network.happens(present.Loss) {
		return fate{reason: dropLoss}
	}
	decided := fate{copies: 1}
	if network.happens(present.Duplicate) {
		decided.copies = 2
	}
	if network.happens(present.Reorder) {
		decided.hold = present.reorderDelay()
	}
	return decided
}
