package audit

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Weights of delivered requests: calls count double, uploads and updates of
// feeds single.
const (
	weightCall   = 2
	weightUpload = 1
	weightUpdate = 1
)

// weightCut is the weight of a cut feed or at-most-once call.
const weightCostlyCut = 2

// Line is one class of the comparison.
type ClassResult struct {
	Class     string `json:"class"`
	Offered   int    `json:"offered"`
	Delivered int    `json:"delivered"`
	Refused   int    `json:"refused"`
	Unknown   int    `json:"unknown"`
	// Broken requests were cut and not made good by a retry.
	Broken int `json:"broken"`
	// CutAttempts counts all cuts, also those that a retry made good.
	CutAttempts int `json:"cut_attempts"`
	// CutByNode counts the cuts by back end.
	CutByNode map[string]int `json:"cut_by_node,omitempty"`
	// Doubled requests ran more than once under one identifier or key.
	Doubled int `json:"doubled"`
	Crossed int `json:"crossed"`
	// RefusedYetRun attempts were called "not run" and ran.
	RefusedYetRun int     `json:"refused_yet_run"`
	Latency       Latency `json:"latency_microseconds"`
}

// Latency gives latencies from the intended start, in microseconds.
type Latency struct {
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p99_9"`
	Max  int64 `json:"max"`
}

// Result is the whole comparison.
type Result struct {
	Classes []ClassResult `json:"lines"`
	Flows   FlowAccount   `json:"flows"`
	Feeds   FeedAccount   `json:"feeds"`
	// Lost at-most-once requests were answered and never completed a run.
	Lost int `json:"lost"`
	// WeightedOffered and WeightedDelivered count calls double.
	WeightedOffered   float64 `json:"weighted_offered"`
	WeightedDelivered float64 `json:"weighted_delivered"`
	// SlotSeconds is the time that runs of calls and uploads held slots.
	SlotSeconds float64     `json:"slot_seconds"`
	Refusals    map[int]int `json:"refusals"`
	// RefusedAttempts were refused as not run, after RefusalLatency, which is
	// in microseconds from sending.
	RefusedAttempts          int     `json:"refused_attempts"`
	RefusalLatency           Latency `json:"refusal_latency_microseconds"`
	RefusedWithoutRetryAfter int     `json:"refused_without_retry_after"`
	// RetriesOverBudget counts requests that were not sent again because the
	// caller's retry budget was empty.
	RetriesOverBudget int `json:"retries_over_budget"`
	// Examples describe some of the faults.
	Examples []string `json:"examples,omitempty"`
}

// WeightedService is weighted delivered over weighted offered.
func (result Result) WeightedService() float64 {
	if result.WeightedOffered == 0 {
		return 0
	}
	return result.WeightedDelivered / result.WeightedOffered
}

// WeightedBroken counts what was cut in progress: feeds and at-most-once calls
// count double, because a cut feed or a call that may not be repeated costs the
// users most.
func (result Result) WeightedCuts() float64 {
	total := 0.0
	for _, line := range result.Classes {
		weight := 1.0
		if line.Class == classFeed || line.Class == classOnce {
			weight = weightCostlyCut
		}
		total += weight * float64(line.CutAttempts)
	}
	return total
}

// SlotSecondsPerDelivery is the slot time for each weighted delivery of calls
// and uploads; feeds hold no slot.
func (result Result) SlotSecondsPerDelivery() float64 {
	delivered := result.WeightedDelivered - weightUpdate*float64(result.Feeds.Updates)
	if delivered == 0 {
		return 0
	}
	return result.SlotSeconds / delivered
}

// Line returns the line of a class.
func (result Result) Class(class string) ClassResult {
	for _, line := range result.Classes {
		if line.Class == class {
			return line
		}
	}
	return ClassResult{Class: class}
}

// Compare compares the accounts of all callers of a run with the runs in the
// back ends' ledgers.
func Compare(accounts []Account, runs []Run) Result {
	result := Result{
		Refusals: make(map[int]int),
		Flows:    FlowAccount{BrokenByNode: make(map[string]int)},
	}
	for _, class := range Classes {
		result.Classes = append(result.Classes, sumClass(class, accounts))
	}
	for _, account := range accounts {
		result.addAccount(account)
	}
	result.addRefusedAttempts(accounts)
	result.compareRuns(accounts, runs)
	result.computeWeights(runs)
	return result
}

// addRefusals adds up what the callers saw of refusals.
func (result *Result) addRefusedAttempts(accounts []Account) {
	var latencies *hdrhistogram.Histogram
	for _, account := range accounts {
		result.RefusedAttempts += len(account.ClaimedNotRun)
		result.RefusedWithoutRetryAfter += account.RefusedWithoutRetryAfter
		result.RetriesOverBudget += account.RetriesOverBudget
		latencies = mergeHistogram(latencies, account.RefusalHistogram)
	}
	if latencies != nil {
		result.RefusalLatency = latencyOf(latencies)
	}
}

func latencyOf(latencies *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  latencies.ValueAtQuantile(50),
		P99:  latencies.ValueAtQuantile(99),
		P999: latencies.ValueAtQuantile(99.9),
		Max:  latencies.Max(),
	}
}

// sumClass adds one class up over all callers.
func sumClass(class string, accounts []Account) ClassResult {
	line := ClassResult{Class: class, CutByNode: make(map[string]int)}
	var latencies *hdrhistogram.Histogram
	for _, account := range accounts {
		counts := account.Classes[class]
		line.Offered += counts.Offered
		line.Delivered += counts.Delivered
		line.Refused += counts.Refused
		line.Unknown += counts.Unknown
		line.Broken += counts.Broken
		line.CutAttempts += counts.CutAttempts
		line.Crossed += counts.Crossed
		addCounts(line.CutByNode, counts.CutByNode)
		latencies = mergeHistogram(latencies, counts.Histogram)
	}
	if latencies != nil {
		line.Latency = latencyOf(latencies)
	}
	return line
}

func addCounts(into, counts map[string]int) {
	for name, count := range counts {
		into[name] += count
	}
}

func mergeHistogram(into *hdrhistogram.Histogram, snapshot *hdrhistogram.Snapshot) *hdrhistogram.Histogram {
	if snapshot == nil {
		return into
	}
	imported := hdrhistogram.Import(snapshot)
	if into == nil {
		return imported
	}
	into.Merge(imported)
	return into
}

func (result *Result) addAccount(account Account) {
	result.Flows.Opened += account.Flows.Opened
	result.Flows.Failed += account.Flows.Failed
	result.Flows.ClosedByCaller += account.Flows.ClosedByCaller
	result.Flows.ClosedGracefully += account.Flows.ClosedGracefully
	result.Flows.Broken += account.Flows.Broken
	addCounts(result.Flows.BrokenByNode, account.Flows.BrokenByNode)
	result.Flows.Examples = append(result.Flows.Examples, account.Flows.Examples...)
	result.Feeds.Updates += account.Feeds.Updates
	result.Feeds.Missing += account.Feeds.Missing
	result.Feeds.Duplicates += account.Feeds.Duplicates
	result.Feeds.LongestSilenceMilliseconds = max(result.Feeds.LongestSilenceMilliseconds, account.Feeds.LongestSilenceMilliseconds)
	for code, count := range account.Refusals {
		result.Refusals[code] += count
	}
	for _, example := range account.Examples {
		result.Examples = append(result.Examples, fmt.Sprintf("%s %s %s: %s", example.At.Format("15:04:05.000"), example.Class, example.Request, example.Error))
	}
	for _, example := range account.Flows.Examples {
		result.Examples = append(result.Examples, fmt.Sprintf("%s flow %s: %s", example.At.Format("15:04:05.000"), example.Local, example.Error))
	}
}

// compareRuns finds doubled and lost requests, and refused ones that ran.
func (result *Result) compareRuns(accounts []Account, runs []Run) {
	starts := make(map[string]int)
	completedKeys := make(map[string]bool)
	classes := make(map[string]string)
	for _, run := range runs {
		identity := run.identity()
		starts[identity]++
		classes[identity] = run.Class
		classes[run.Request] = run.Class
		if run.Completed && run.Key != "" {
			completedKeys[run.Key] = true
		}
	}
	for identity, count := range starts {
		if count > 1 {
			result.classResult(classes[identity]).Doubled++
			result.Examples = append(result.Examples, fmt.Sprintf("%s ran %d times", identity, count))
		}
	}
	ran := requestsThatRan(runs)
	for _, account := range accounts {
		for _, request := range account.ClaimedNotRun {
			if ran[request] {
				result.classResult(classes[request]).RefusedYetRun++
				result.Examples = append(result.Examples, fmt.Sprintf("%s was called not run and ran", request))
			}
		}
		for _, key := range account.DeliveredKeys {
			if !completedKeys[key] {
				result.Lost++
				result.Examples = append(result.Examples, fmt.Sprintf("%s was answered and never completed", key))
			}
		}
	}
	slices.Sort(result.Examples)
}

// identity is what must run at most once: the key of a keyed request, else
// the attempt.
func (run Run) identity() string {
	if run.Key != "" {
		return run.Key
	}
	return run.Request
}

func requestsThatRan(runs []Run) map[string]bool {
	ran := make(map[string]bool, len(runs))
	for _, run := range runs {
		ran[run.Request] = true
	}
	return ran
}

func (result *Result) classResult(class string) *ClassResult {
	for index := range result.Classes {
		if result.Classes[index].Class == class {
			return &result.Classes[index]
		}
	}
	result.Classes = append(result.Classes, ClassResult{Class: class})
	return &result.Classes[len(result.Classes)-1]
}

// weigh computes the weighted service and the slot time.
func (result *Result) computeWeights(runs []Run) {
	sent := uint64(0)
	for _, run := range runs {
		sent += uint64(run.Updates)
		if run.Class != classFeed && !run.Ended.IsZero() {
			result.SlotSeconds += run.Ended.Sub(run.Started).Seconds()
		}
	}
	calls, once, uploads := result.Class(classCall), result.Class(classOnce), result.Class(classUpload)
	updates := float64(result.Feeds.Updates)
	offeredUpdates := max(updates+float64(result.Feeds.Missing), float64(sent))
	result.WeightedOffered = weightCall*float64(calls.Offered+once.Offered) + weightUpload*float64(uploads.Offered) + weightUpdate*offeredUpdates
	result.WeightedDelivered = weightCall*float64(calls.Delivered+once.Delivered) + weightUpload*float64(uploads.Delivered) + weightUpdate*updates
}
