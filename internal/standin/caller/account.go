package caller

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
	// maximumExamples bounds the examples kept of requests, and likewise of flows.
	maximumExamples = 20
)

// recorder collects the caller's counts, latencies and examples for its report. It is safe for
// concurrent use.
type recorder struct {
	lock    sync.Mutex
	classes map[Class]*classRecorder
	// refusals holds the latencies of attempts that were refused as not run.
	refusals *hdrhistogram.Histogram
	report   Report
}

// classRecorder holds the counts and latencies of one request class.
type classRecorder struct {
	counts    ClassCounts
	latencies *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	created := &recorder{classes: make(map[Class]*classRecorder), refusals: newHistogram()}
	for _, class := range classes {
		created.classes[class] = &classRecorder{
			counts:    ClassCounts{CutByNode: make(map[string]int)},
			latencies: newHistogram(),
		}
	}
	created.report.Refusals = make(map[int]int)
	created.report.Flows.BrokenByNode = make(map[string]int)
	return created
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func (recorder *recorder) recordOffered(class Class) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.classes[class].counts.Offered++
}

// recordAttempt records one attempt, including attempts that are followed by a retry.
func (recorder *recorder) recordAttempt(class Class, identifier string, result outcome) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	counts := &recorder.classes[class].counts
	counts.Attempts++
	switch result.kind {
	case outcomeNotRun:
		recorder.report.ClaimedNotRun = append(recorder.report.ClaimedNotRun, identifier)
		recorder.report.Refusals[result.code]++
		recorder.recordRefusal(result)
	case outcomeUnknown:
		recorder.report.Refusals[result.code]++
	case outcomeBroken:
		counts.CutAttempts++
		counts.CutByNode[nodeOrUnknown(result.node)]++
		recorder.addExample(class, identifier, result)
	case outcomeCrossed:
		recorder.addExample(class, identifier, result)
	}
}

// recordRefusal records the latency of a refusal and whether a 503 lacked Retry-After.
func (recorder *recorder) recordRefusal(result outcome) {
	// RecordValue fails only out of range; the histogram's range is far above any timeout.
	_ = recorder.refusals.RecordValue(max(histogramLowest, result.elapsed.Microseconds()))
	if result.status == http.StatusServiceUnavailable && result.retryAfter <= 0 {
		recorder.report.RefusedWithoutRetryAfter++
	}
}

// addExample keeps the description of a fault for diagnosis, up to maximumExamples.
func (recorder *recorder) addExample(class Class, identifier string, result outcome) {
	if len(recorder.report.Examples) >= maximumExamples {
		return
	}
	recorder.report.Examples = append(recorder.report.Examples, Example{
		At: time.Now(), Class: class, Request: identifier, Error: errorText(result.err),
	})
}

func nodeOrUnknown(node string) string {
	if node == "" {
		return unknownNode
	}
	return node
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// recordOutcome records the final outcome of one request and, when it was delivered, its latency.
func (recorder *recorder) recordOutcome(job job, result outcome, latency time.Duration) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	class := recorder.classes[job.class]
	switch result.kind {
	case outcomeDelivered:
		class.counts.Delivered++
		// RecordValue fails only above the histogram's range of one hour; the timeout is far
		// below that.
		_ = class.latencies.RecordValue(max(histogramLowest, latency.Microseconds()))
		if job.key != "" {
			recorder.report.DeliveredKeys = append(recorder.report.DeliveredKeys, job.key)
		}
	case outcomeNotRun, outcomeNotSent:
		class.counts.Refused++
	case outcomeUnknown:
		class.counts.Unknown++
	case outcomeBroken:
		class.counts.Broken++
	case outcomeCrossed:
		class.counts.Crossed++
	case outcomeAbandoned:
		class.counts.Abandoned++
	}
	if job.key != "" && (result.kind == outcomeNotRun || result.kind == outcomeNotSent) {
		recorder.report.RefusedKeys = append(recorder.report.RefusedKeys, job.key)
	}
}

func (recorder *recorder) recordRetryBudgetEmpty() {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.RetriesOverBudget++
}

func (recorder *recorder) recordFlowOpened() {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.Flows.Opened++
}

func (recorder *recorder) recordFlowFailed(err error) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.Flows.Failed++
	recorder.addFlowExample("open", err)
}

// recordFlowEnded records how a connection ended, and an example when it broke.
func (recorder *recorder) recordFlowEnded(ended *flow, end ending, cause error) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	switch end {
	case endingByCaller:
		recorder.report.Flows.ClosedByCaller++
	case endingGraceful:
		recorder.report.Flows.ClosedGracefully++
	case endingBroken:
		recorder.report.Flows.Broken++
		recorder.report.Flows.BrokenByNode[ended.nodeName()]++
		recorder.addFlowExample(ended.socket.LocalAddr().String(), cause)
	}
}

func (recorder *recorder) addFlowExample(local string, err error) {
	if len(recorder.report.Flows.Examples) >= maximumExamples {
		return
	}
	recorder.report.Flows.Examples = append(recorder.report.Flows.Examples, FlowExample{
		At: time.Now(), Local: local, Error: errorText(err),
	})
}

func (recorder *recorder) recordFeedUpdate() {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.Feeds.Updates++
}

func (recorder *recorder) recordFeedDuplicate() {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.Feeds.Duplicates++
}

func (recorder *recorder) recordFeedGap(missing uint64) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	recorder.report.Feeds.Missing += missing
}

func (recorder *recorder) recordFeedSilence(silence time.Duration) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	milliseconds := silence.Milliseconds()
	recorder.report.Feeds.LongestSilenceMilliseconds = max(recorder.report.Feeds.LongestSilenceMilliseconds, milliseconds)
}
