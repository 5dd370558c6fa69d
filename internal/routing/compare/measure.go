package compare

import (
	"math"
	"slices"
	"time"
)

// sample is what was seen at one second.
type sample struct {
	at       time.Duration
	flows    float64
	requests float64
	// windowed is the imbalance of the mean requests of the latest samples.
	windowed float64
	// inSystem is the mean number of requests that run and wait at a target.
	inSystem float64
}

// windowSamples is the number of samples over which the windowed imbalance of
// requests averages: a back end runs few requests at once, so that a single
// sample is mostly chance.
const windowSamples = 30

// takeSample records the imbalance of the serving targets.
func (run *run) takeSample() {
	for _, target := range run.targets {
		target.remember()
	}
	if run.clock.Elapsed() < run.options.WarmUp {
		return
	}
	serving := run.serving()
	flows := make([]float64, len(serving))
	requests := make([]float64, len(serving))
	windowed := make([]float64, len(serving))
	for index, target := range serving {
		flows[index] = float64(target.flows)
		requests[index] = float64(target.requests.total())
		windowed[index] = mean(target.recent[:])
	}
	run.samples = append(run.samples, sample{
		at:       run.clock.Elapsed(),
		flows:    imbalance(flows),
		requests: imbalance(requests),
		windowed: imbalance(windowed),
		inSystem: mean(requests),
	})
	run.state.add(run.way.state(), len(run.open))
}

// remember keeps the present number of requests for the windowed imbalance.
func (target *targetNode) remember() {
	if target.requests == nil {
		return
	}
	target.recent[target.next] = float64(target.requests.total())
	target.next = (target.next + 1) % windowSamples
}

// imbalance returns the maximum over the mean, or NaN when all are zero.
func imbalance(values []float64) float64 {
	average := mean(values)
	if average == 0 {
		return math.NaN()
	}
	return slices.Max(values) / average
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

// waitStatistics sums up the time that requests waited for a slot.
type waitStatistics struct {
	count int
	total time.Duration
}

func (statistics *waitStatistics) add(wait time.Duration) {
	statistics.count++
	statistics.total += wait
}

func (statistics *waitStatistics) mean() time.Duration {
	if statistics.count == 0 {
		return 0
	}
	return statistics.total / time.Duration(statistics.count)
}

// stateStatistics averages the state of a way over the samples.
type stateStatistics struct {
	samples   int
	balancers float64
	targets   float64
	table     float64
}

func (statistics *stateStatistics) add(state StateBytes, flows int) {
	if flows == 0 {
		return
	}
	statistics.samples++
	statistics.balancers += state.Balancers / float64(flows)
	statistics.targets += state.Targets / float64(flows)
	statistics.table += state.Table
}

// Spread gives quantiles of an imbalance over samples.
type Spread struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
	// Within is the part of the samples that are at most goalFlows.
	Within float64 `json:"within"`
}

// goalFlows is the highest imbalance of concurrent flows that is wanted once a
// change has settled.
const goalFlows = 1.05

func spreadOf(values []float64) Spread {
	values = slices.DeleteFunc(values, math.IsNaN)
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	within := 0
	for _, value := range values {
		if value <= goalFlows {
			within++
		}
	}
	return Spread{
		Median: quantile(values, 0.5),
		P99:    quantile(values, 0.99),
		Max:    values[len(values)-1],
		Within: float64(within) / float64(len(values)),
	}
}

func quantile(sorted []float64, part float64) float64 {
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// ChangeResult is what happened around one change.
type ChangeResult struct {
	Change ChangeKind `json:"change"`
	// Flows is the imbalance of concurrent flows when the change is as old as
	// the settling time.
	Flows float64 `json:"flows"`
}

// Result is what one way did in one run.
type Result struct {
	Algorithm AlgorithmName `json:"way"`
	// Opened counts connections; NotOpened those that callers gave up.
	Opened    uint64 `json:"opened"`
	NotOpened uint64 `json:"notOpened"`
	Packets   uint64 `json:"packets"`
	Requests  uint64 `json:"requests"`
	// Shed counts requests that a full queue refused.
	Shed uint64 `json:"shed"`
	// BrokenPlanned and BrokenUnplanned count the flows that ended before
	// their time after a planned or an unplanned change, although their target
	// lived. BrokenOnDeadTarget counts those that died with their target.
	BrokenPlanned      uint64 `json:"brokenPlanned"`
	BrokenUnplanned    uint64 `json:"brokenUnplanned"`
	BrokenOnDeadTarget uint64 `json:"brokenOnDeadTarget"`
	// LateOpenings counts flows that a draining target took more than three
	// seconds after its drain.
	LateOpenings uint64 `json:"lateOpenings"`
	// OpeningRetries and PacketRetries count packets that callers repeated
	// because they were lost.
	OpeningRetries uint64 `json:"openingRetries"`
	PacketRetries  uint64 `json:"packetRetries"`
	// OpeningPasses and Passes count passes between targets.
	OpeningPasses uint64 `json:"openingPasses"`
	Passes        uint64 `json:"passes"`
	// Flows is the imbalance of concurrent flows over all samples, and
	// FlowsSettled that over the samples whose last change had settled.
	Flows        Spread `json:"flows"`
	FlowsSettled Spread `json:"flowsSettled"`
	// Requests running and waiting: imbalance of single samples, of means over
	// windowSamples, and mean number at a target.
	RequestsSpread   Spread  `json:"requestsImbalance"`
	RequestsSettled  Spread  `json:"requestsSettled"`
	RequestsWindowed Spread  `json:"requestsWindowed"`
	RequestsMean     float64 `json:"requestsMean"`
	// RequestsImbalanceMean is the mean over all samples.
	RequestsImbalanceMean float64 `json:"requestsImbalanceMean"`
	// WaitMilliseconds is the mean wait of a request for a slot.
	WaitMilliseconds float64        `json:"waitMilliseconds"`
	Changes          []ChangeResult `json:"changes"`
	// BalancerBytes and TargetBytes are the bytes of state for each open flow
	// in all balancers and all targets; TableBytes is one node's table.
	BalancerBytes float64 `json:"balancerBytesPerFlow"`
	TargetBytes   float64 `json:"targetBytesPerFlow"`
	TableBytes    float64 `json:"tableBytes"`
	// ControlDown and ControlUp are the control bytes for each change of the
	// targets: received by each node, and reported by all targets together.
	ControlDown float64 `json:"controlDownPerChange"`
	ControlUp   float64 `json:"controlUpPerChange"`
	// Course is the imbalance of flows and requests at each second.
	Timeline []TimelinePoint `json:"course"`
}

// CoursePoint is the imbalance at one moment; that of requests is windowed.
type TimelinePoint struct {
	Seconds  float64 `json:"seconds"`
	Flows    float64 `json:"flows"`
	Requests float64 `json:"requests"`
}

// Broken returns the flows that broke although their target lived.
func (result Result) Broken() uint64 { return result.BrokenPlanned + result.BrokenUnplanned }

// summarize fills in the figures that come from samples.
func (run *run) summarize() {
	result := &run.result
	isAny := func(sample) bool { return true }
	result.Flows = spreadOf(run.values(isAny, flowsOf))
	result.FlowsSettled = spreadOf(run.values(run.isSettled, flowsOf))
	result.RequestsSpread = spreadOf(run.values(isAny, requestsOf))
	result.RequestsSettled = spreadOf(run.values(run.isSettled, requestsOf))
	result.RequestsWindowed = spreadOf(run.values(isAny, func(sample sample) float64 { return sample.windowed }))
	result.RequestsMean = mean(run.values(isAny, func(sample sample) float64 { return sample.inSystem }))
	result.RequestsImbalanceMean = mean(slices.DeleteFunc(run.values(isAny, requestsOf), math.IsNaN))
	result.WaitMilliseconds = float64(run.waits.mean()) / float64(time.Millisecond)
	run.summarizeChanges()
	run.summarizeState()
	for _, sample := range run.samples {
		result.Timeline = append(result.Timeline, TimelinePoint{
			Seconds:  sample.at.Seconds(),
			Flows:    orOne(sample.flows),
			Requests: orOne(sample.windowed),
		})
	}
}

// orOne replaces the imbalance of nothing.
func orOne(imbalance float64) float64 {
	if math.IsNaN(imbalance) {
		return 1
	}
	return imbalance
}

func flowsOf(sample sample) float64 { return sample.flows }

func requestsOf(sample sample) float64 { return sample.requests }

func (run *run) values(wanted func(sample) bool, figure func(sample) float64) []float64 {
	var values []float64
	for _, sample := range run.samples {
		if wanted(sample) {
			values = append(values, figure(sample))
		}
	}
	return values
}

// isSettled tells whether the last change before the sample had settled.
func (run *run) isSettled(sample sample) bool {
	for _, change := range run.changes {
		age := sample.at - change.at
		if age >= 0 && age < run.options.SettledAfter {
			return false
		}
	}
	return true
}

func (run *run) summarizeChanges() {
	for _, change := range run.changes {
		for _, sample := range run.samples {
			if sample.at >= change.at+run.options.SettledAfter {
				run.result.Changes = append(run.result.Changes, ChangeResult{Change: change.kind, Flows: sample.flows})
				break
			}
		}
	}
}

func (run *run) summarizeState() {
	samples := float64(max(1, run.state.samples))
	run.result.BalancerBytes = run.state.balancers / samples
	run.result.TargetBytes = run.state.targets / samples
	run.result.TableBytes = run.state.table / samples
	down, up := run.way.controlBytes()
	changes := float64(max(1, run.targetChanges()))
	run.result.ControlDown = float64(down) / changes
	run.result.ControlUp = float64(up) / changes
}

// targetChanges counts the changes that concern targets.
func (run *run) targetChanges() int {
	count := 0
	for _, change := range run.changes {
		if change.kind == TargetJoin || change.kind == TargetDrain || change.kind == TargetDeath {
			count++
		}
	}
	return count
}
