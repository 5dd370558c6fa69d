package compare

import (
	"math"
	"slices"
	"time"
)

// sample is a measurement of the serving targets, taken every second.
type sample struct {
	// at is the virtual time since the start of the run.
	at time.Duration
	// flows and requests are the imbalance of open flows, and of running and waiting requests.
	flows    float64
	requests float64
	// windowed is the imbalance of the targets' mean numbers of requests over the latest
	// windowSamples samples.
	windowed float64
	// inSystem is the mean number of running and waiting requests at a target.
	inSystem float64
}

// windowSamples is the number of samples over which the windowed imbalance of requests averages. A
// back end runs few requests at once, so a single sample is mostly noise.
const windowSamples = 30

// takeSample records the imbalance of the serving targets and the state of the algorithm. During the
// warm-up it only fills the window of requests.
func (run *run) takeSample() {
	for _, target := range run.targets {
		target.recordRequests()
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
	run.state.add(run.algorithm.state(), len(run.open))
}

// recordRequests records the current number of requests for the windowed imbalance.
func (target *targetNode) recordRequests() {
	if target.requests == nil {
		return
	}
	target.recent[target.next] = float64(target.requests.total())
	target.next = (target.next + 1) % windowSamples
}

// imbalance returns the ratio of the maximum to the mean, or NaN if all values are zero.
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

// waitStatistics sums the times that requests waited for a slot.
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

// stateStatistics sums the state of an algorithm over the samples. balancers and targets are bytes
// for each open flow, table is bytes.
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

// Spread has quantiles of an imbalance over samples.
type Spread struct {
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
	// Within is the fraction of the samples that are at most flowImbalanceGoal.
	Within float64 `json:"within"`
}

// flowImbalanceGoal is the maximum imbalance of concurrent flows that is acceptable once a change
// has settled.
const flowImbalanceGoal = 1.05

// spreadOf returns the spread of values, ignoring NaN. It modifies values.
func spreadOf(values []float64) Spread {
	values = slices.DeleteFunc(values, math.IsNaN)
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	within := 0
	for _, value := range values {
		if value <= flowImbalanceGoal {
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

func quantile(sorted []float64, fraction float64) float64 {
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// ChangeResult is the measurement after one change.
type ChangeResult struct {
	Change ChangeKind `json:"change"`
	// Flows is the imbalance of concurrent flows when Options.SettledAfter has passed since the
	// change.
	Flows float64 `json:"flows"`
}

// Result is the result of one algorithm in one run.
type Result struct {
	Algorithm AlgorithmName `json:"way"`
	// Opened counts connections that opened, and NotOpened those that callers gave up.
	Opened    uint64 `json:"opened"`
	NotOpened uint64 `json:"notOpened"`
	// Packets counts packets after the opening, including retries. Requests counts the requests that
	// reached the owner of their flow, including those that were shed.
	Packets  uint64 `json:"packets"`
	Requests uint64 `json:"requests"`
	// Shed counts requests that were rejected because the target's queue was full.
	Shed uint64 `json:"shed"`
	// BrokenPlanned and BrokenUnplanned count the flows that broke although their target lived, by
	// whether the latest change was planned. Flows that broke before the first change count as
	// BrokenPlanned. BrokenOnDeadTarget counts the flows that broke because their target died.
	BrokenPlanned      uint64 `json:"brokenPlanned"`
	BrokenUnplanned    uint64 `json:"brokenUnplanned"`
	BrokenOnDeadTarget uint64 `json:"brokenOnDeadTarget"`
	// LateOpenings counts flows that a draining target opened more than three seconds after its
	// drain started.
	LateOpenings uint64 `json:"lateOpenings"`
	// OpeningRetries counts opening packets that were lost or reset. PacketRetries counts later
	// packets that were lost and sent again.
	OpeningRetries uint64 `json:"openingRetries"`
	PacketRetries  uint64 `json:"packetRetries"`
	// OpeningPasses and Passes count how often targets forwarded opening packets and later packets.
	OpeningPasses uint64 `json:"openingPasses"`
	Passes        uint64 `json:"passes"`
	// Flows is the imbalance of concurrent flows over all samples. FlowsSettled covers only the
	// samples with no change within Options.SettledAfter before them.
	Flows        Spread `json:"flows"`
	FlowsSettled Spread `json:"flowsSettled"`
	// RequestsSpread is the imbalance of running and waiting requests over all samples, and
	// RequestsSettled that over the settled samples. RequestsWindowed is the imbalance of means over
	// windowSamples samples. RequestsMean is the mean number of requests at a target.
	RequestsSpread   Spread  `json:"requestsImbalance"`
	RequestsSettled  Spread  `json:"requestsSettled"`
	RequestsWindowed Spread  `json:"requestsWindowed"`
	RequestsMean     float64 `json:"requestsMean"`
	// RequestsImbalanceMean is the mean of the requests' imbalance over all samples.
	RequestsImbalanceMean float64 `json:"requestsImbalanceMean"`
	// WaitMilliseconds is the mean time that a request waits for a slot.
	WaitMilliseconds float64        `json:"waitMilliseconds"`
	Changes          []ChangeResult `json:"changes"`
	// BalancerBytes and TargetBytes are the bytes of state for each open flow, summed over all
	// balancers and over all targets. TableBytes is the size of one node's table.
	BalancerBytes float64 `json:"balancerBytesPerFlow"`
	TargetBytes   float64 `json:"targetBytesPerFlow"`
	TableBytes    float64 `json:"tableBytes"`
	// ControlDown and ControlUp are the bytes of control traffic for each change of the targets:
	// received by each node, and reported by all targets together.
	ControlDown float64 `json:"controlDownPerChange"`
	ControlUp   float64 `json:"controlUpPerChange"`
	// Timeline is the imbalance of flows and requests at each sample.
	Timeline []TimelinePoint `json:"course"`
}

// TimelinePoint is the imbalance at one time. The imbalance of requests is windowed, see
// windowSamples.
type TimelinePoint struct {
	Seconds  float64 `json:"seconds"`
	Flows    float64 `json:"flows"`
	Requests float64 `json:"requests"`
}

// Broken returns the number of flows that broke although their target lived.
func (result Result) Broken() uint64 { return result.BrokenPlanned + result.BrokenUnplanned }

// summarize fills in the figures of the result that are derived from samples.
func (run *run) summarize() {
	result := &run.result
	allSamples := func(sample) bool { return true }
	result.Flows = spreadOf(run.values(allSamples, flowImbalance))
	result.FlowsSettled = spreadOf(run.values(run.isSettled, flowImbalance))
	result.RequestsSpread = spreadOf(run.values(allSamples, requestImbalance))
	result.RequestsSettled = spreadOf(run.values(run.isSettled, requestImbalance))
	result.RequestsWindowed = spreadOf(run.values(allSamples, func(sample sample) float64 { return sample.windowed }))
	result.RequestsMean = mean(run.values(allSamples, func(sample sample) float64 { return sample.inSystem }))
	result.RequestsImbalanceMean = mean(slices.DeleteFunc(run.values(allSamples, requestImbalance), math.IsNaN))
	result.WaitMilliseconds = float64(run.waits.mean()) / float64(time.Millisecond)
	run.summarizeChanges()
	run.summarizeState()
	for _, sample := range run.samples {
		result.Timeline = append(result.Timeline, TimelinePoint{
			Seconds:  sample.at.Seconds(),
			Flows:    replaceNaN(sample.flows),
			Requests: replaceNaN(sample.windowed),
		})
	}
}

// replaceNaN returns imbalance, or 1 if it is NaN because all values were zero.
func replaceNaN(imbalance float64) float64 {
	if math.IsNaN(imbalance) {
		return 1
	}
	return imbalance
}

func flowImbalance(sample sample) float64 { return sample.flows }

func requestImbalance(sample sample) float64 { return sample.requests }

// values returns a figure of each sample that include selects.
func (run *run) values(include func(sample) bool, figure func(sample) float64) []float64 {
	var values []float64
	for _, sample := range run.samples {
		if include(sample) {
			values = append(values, figure(sample))
		}
	}
	return values
}

// isSettled reports whether no change happened within Options.SettledAfter before the sample.
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
	down, up := run.algorithm.controlBytes()
	changes := float64(max(1, run.targetChanges()))
	run.result.ControlDown = float64(down) / changes
	run.result.ControlUp = float64(up) / changes
}

// targetChanges returns the number of changes so far that change the configured targets.
func (run *run) targetChanges() int {
	count := 0
	for _, change := range run.changes {
		if change.kind == TargetJoin || change.kind == TargetDrain || change.kind == TargetDeath {
			count++
		}
	}
	return count
}
