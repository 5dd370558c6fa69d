package audit

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Weights of delivered requests in the weighted service: calls count twice, uploads and feed
// updates once.
const (
	weightCall   = 2
	weightUpload = 1
	weightUpdate = 1
)

// weightCostlyCut is the weight of an interrupted feed or at-most-once call; other interrupted
// attempts have weight 1.
const weightCostlyCut = 2

// ClassResult is the comparison for one request class, summed over all callers.
type ClassResult struct {
	Class     string `json:"class"`
	Offered   int    `json:"offered"`
	Delivered int    `json:"delivered"`
	Refused   int    `json:"refused"`
	Unknown   int    `json:"unknown"`
	// Broken counts the requests that were cut, that is, interrupted while in progress, and that no
	// retry completed.
	Broken int `json:"broken"`
	// CutAttempts counts all interrupted attempts, including those that a retry made up for.
	CutAttempts int `json:"cut_attempts"`
	// CutByNode counts the interrupted attempts by back end.
	CutByNode map[string]int `json:"cut_by_node,omitempty"`
	// Doubled counts the keys, or attempts of requests without a key, that ran more than once.
	Doubled int `json:"doubled"`
	// Crossed counts the requests that received the answer to another request.
	Crossed int `json:"crossed"`
	// RefusedYetRun counts the attempts that were refused as not run and ran nevertheless.
	RefusedYetRun int     `json:"refused_yet_run"`
	Latency       Latency `json:"latency_microseconds"`
}

// Latency holds percentiles of latencies in microseconds. Request latencies count from the
// intended start, refusal latencies from sending.
type Latency struct {
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p99_9"`
	Max  int64 `json:"max"`
}

// Result is the comparison of all callers' accounts with the ledgers.
type Result struct {
	Classes []ClassResult `json:"lines"`
	Flows   FlowAccount   `json:"flows"`
	Feeds   FeedAccount   `json:"feeds"`
	// Lost counts the at-most-once requests that were answered although no run of them completed.
	Lost int `json:"lost"`
	// WeightedOffered and WeightedDelivered sum requests and feed updates by their weights.
	WeightedOffered   float64 `json:"weighted_offered"`
	WeightedDelivered float64 `json:"weighted_delivered"`
	// SlotSeconds is the total time in seconds for which runs of calls and uploads occupied slots.
	SlotSeconds float64 `json:"slot_seconds"`
	// Refusals counts the attempts refused as not run and those of unknown outcome, by the system's
	// error code; zero stands for attempts without a code.
	Refusals map[int]int `json:"refusals"`
	// RefusedAttempts counts the attempts that were refused as not run; RefusalLatency is their
	// latency from sending to refusal.
	RefusedAttempts          int     `json:"refused_attempts"`
	RefusalLatency           Latency `json:"refusal_latency_microseconds"`
	RefusedWithoutRetryAfter int     `json:"refused_without_retry_after"`
	// RetriesOverBudget counts requests that were not retried because the caller's retry budget was
	// exhausted.
	RetriesOverBudget int `json:"retries_over_budget"`
	// Examples describe some of the faults found.
	Examples []string `json:"examples,omitempty"`
}

// WeightedService returns WeightedDelivered over WeightedOffered, or 0 when nothing was offered.
func (result Result) WeightedService() float64 {
	if result.WeightedOffered == 0 {
		return 0
	}
	return result.WeightedDelivered / result.WeightedOffered
}

// WeightedCuts returns the weighted number of attempts that were interrupted in progress. Feeds and
// at-most-once calls count twice, because an interrupted feed and a call that must not be repeated
// cost users most.
func (result Result) WeightedCuts() float64 {
	total := 0.0
	for _, classResult := range result.Classes {
		weight := 1.0
		if classResult.Class == classFeed || classResult.Class == classOnce {
			weight = weightCostlyCut
		}
		total += weight * float64(classResult.CutAttempts)
	}
	return total
}

// SlotSecondsPerDelivery returns the slot time in seconds per weighted delivery of calls and
// uploads, or 0 when none was delivered. Feeds are left out because they occupy no slot.
func (result Result) SlotSecondsPerDelivery() float64 {
	delivered := result.WeightedDelivered - weightUpdate*float64(result.Feeds.Updates)
	if delivered == 0 {
		return 0
	}
	return result.SlotSeconds / delivered
}

// Class returns the result of a class, which is zero when the comparison does not have the class.
func (result Result) Class(class string) ClassResult {
	for _, classResult := range result.Classes {
		if classResult.Class == class {
			return classResult
		}
	}
	return ClassResult{Class: class}
}

// Compare compares the accounts of all callers of an experiment with the runs in the back ends'
// ledgers.
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

// addRefusedAttempts sums the refused attempts, their latencies and the retries not made for want
// of budget over all accounts.
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

// latencyOf returns the percentiles of a histogram in microseconds.
func latencyOf(latencies *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  latencies.ValueAtQuantile(50),
		P99:  latencies.ValueAtQuantile(99),
		P999: latencies.ValueAtQuantile(99.9),
		Max:  latencies.Max(),
	}
}

// sumClass sums the counts of one class over all callers.
func sumClass(class string, accounts []Account) ClassResult {
	classResult := ClassResult{Class: class, CutByNode: make(map[string]int)}
	var latencies *hdrhistogram.Histogram
	for _, account := range accounts {
		counts := account.Classes[class]
		classResult.Offered += counts.Offered
		classResult.Delivered += counts.Delivered
		classResult.Refused += counts.Refused
		classResult.Unknown += counts.Unknown
		classResult.Broken += counts.Broken
		classResult.CutAttempts += counts.CutAttempts
		classResult.Crossed += counts.Crossed
		addCounts(classResult.CutByNode, counts.CutByNode)
		latencies = mergeHistogram(latencies, counts.Histogram)
	}
	if latencies != nil {
		classResult.Latency = latencyOf(latencies)
	}
	return classResult
}

func addCounts(into, counts map[string]int) {
	for name, count := range counts {
		into[name] += count
	}
}

// mergeHistogram adds a snapshot, which may be nil, to a histogram, which is nil before the first
// snapshot.
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

// addAccount adds the flows, feeds, refusals and examples of one caller.
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

// compareRuns counts the requests that ran more than once, that were answered without a completed
// run, and that were refused as not run and ran.
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

// identity returns what must run at most once: the idempotency key of a request that has one, else
// the identifier of the attempt.
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

// classResult returns the result of a class for changes, and adds it when it is missing.
func (result *Result) classResult(class string) *ClassResult {
	for index := range result.Classes {
		if result.Classes[index].Class == class {
			return &result.Classes[index]
		}
	}
	result.Classes = append(result.Classes, ClassResult{Class: class})
	return &result.Classes[len(result.Classes)-1]
}

// computeWeights sets the weighted totals and the slot time. The number of offered feed updates is
// the larger of the callers' count, received and missing, and the back ends' count of sent ones.
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
