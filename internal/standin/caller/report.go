package caller

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a run, as written to the report file.
type Report struct {
	Caller  string                `json:"caller"`
	Address string                `json:"address"`
	Started time.Time             `json:"started"`
	Ended   time.Time             `json:"ended"`
	Classes map[Class]ClassReport `json:"classes"`
	Flows   FlowCounts            `json:"flows"`
	Feeds   FeedCounts            `json:"feeds"`
	// Refusals counts the attempts that were refused as not run and those of unknown outcome, by the
	// system's error code. Code zero stands for attempts without one, such as timeouts.
	Refusals map[int]int `json:"refusals"`
	// RefusalLatency holds the times from sending an attempt to its refusal as not run, in
	// microseconds.
	RefusalLatency   Latency                `json:"refusal_latency_microseconds"`
	RefusalHistogram *hdrhistogram.Snapshot `json:"refusal_histogram"`
	// RefusedWithoutRetryAfter counts refusals as not run with status 503 and without a
	// Retry-After.
	RefusedWithoutRetryAfter int `json:"refused_without_retry_after"`
	// RetriesOverBudget counts requests that ended because the retry budget was empty.
	RetriesOverBudget int `json:"retries_over_budget"`
	// ClaimedNotRun lists the attempts that the system refused as not run.
	ClaimedNotRun []string `json:"claimed_not_run"`
	// DeliveredKeys lists the idempotency keys of at-most-once calls that were answered, and
	// RefusedKeys of those whose every attempt was refused as not run or was not sent.
	DeliveredKeys []string  `json:"delivered_keys"`
	RefusedKeys   []string  `json:"refused_keys"`
	Examples      []Example `json:"examples,omitempty"`
}

// ClassCounts counts the requests of one class by final outcome.
type ClassCounts struct {
	Offered   int `json:"offered"`
	Delivered int `json:"delivered"`
	// Refused requests were not run: the system refused each attempt as not run, or it was not sent.
	Refused int `json:"refused"`
	// Unknown requests may have run.
	Unknown int `json:"unknown"`
	// Broken requests lost their connection or part of their answer.
	Broken int `json:"broken"`
	// Crossed requests got an answer that does not belong to them.
	Crossed int `json:"crossed"`
	// Abandoned requests were unanswered when the caller was stopped.
	Abandoned int `json:"abandoned"`
	Attempts  int `json:"attempts"`
	// CutAttempts counts attempts that were cut; a retry may still have delivered the request.
	CutAttempts int `json:"cut_attempts"`
	// CutByNode counts cut attempts by the back end that last answered on the connection.
	CutByNode map[string]int `json:"cut_by_node"`
}

// ClassReport holds the results of one class.
type ClassReport struct {
	ClassCounts
	Latency Latency `json:"latency_microseconds"`
	// Histogram is the complete latency histogram, in microseconds.
	Histogram *hdrhistogram.Snapshot `json:"histogram"`
}

// Latency holds quantiles of a latency distribution, in microseconds. Those of delivered requests
// count from the intended start, so they include retries and waits.
type Latency struct {
	P50  int64 `json:"p50"`
	P90  int64 `json:"p90"`
	P99  int64 `json:"p99"`
	P999 int64 `json:"p99_9"`
	Max  int64 `json:"max"`
}

// FlowCounts counts connections by how they ended.
type FlowCounts struct {
	Opened int `json:"opened"`
	// Failed connections never opened.
	Failed           int `json:"failed"`
	ClosedByCaller   int `json:"closed_by_caller"`
	ClosedGracefully int `json:"closed_gracefully"`
	Broken           int `json:"broken"`
	// BrokenByNode counts broken connections by the back end that last answered on them.
	BrokenByNode map[string]int `json:"broken_by_node"`
	Examples     []FlowExample  `json:"examples,omitempty"`
}

// FeedCounts counts the updates of all feeds.
type FeedCounts struct {
	Updates    uint64 `json:"updates"`
	Missing    uint64 `json:"missing"`
	Duplicates uint64 `json:"duplicates"`
	// LongestSilenceMilliseconds is the longest wait for an update.
	LongestSilenceMilliseconds int64 `json:"longest_silence_ms"`
}

// Example describes one fault.
type Example struct {
	At      time.Time `json:"at"`
	Class   Class     `json:"class"`
	Request string    `json:"request"`
	Error   string    `json:"error"`
}

// FlowExample describes one connection that failed or broke.
type FlowExample struct {
	At time.Time `json:"at"`
	// Local is the connection's local address, or "open" when it never opened.
	Local string `json:"local"`
	Error string `json:"error"`
}

// buildReport returns the report of a run that began at started and ends now.
func (recorder *recorder) buildReport(options Options, started time.Time) Report {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	report := recorder.report
	report.Caller = options.Name
	report.Address = options.Address.String()
	report.Started = started
	report.Ended = time.Now()
	report.Classes = make(map[Class]ClassReport, len(recorder.classes))
	for name, class := range recorder.classes {
		report.Classes[name] = class.report()
	}
	report.RefusalLatency = latencyQuantiles(recorder.refusals)
	report.RefusalHistogram = recorder.refusals.Export()
	return report
}

func latencyQuantiles(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		P50:  histogram.ValueAtQuantile(50),
		P90:  histogram.ValueAtQuantile(90),
		P99:  histogram.ValueAtQuantile(99),
		P999: histogram.ValueAtQuantile(99.9),
		Max:  histogram.Max(),
	}
}

func (class *classRecorder) report() ClassReport {
	return ClassReport{
		ClassCounts: class.counts,
		Latency:     latencyQuantiles(class.latencies),
		Histogram:   class.latencies.Export(),
	}
}

// Write stores the report at path atomically: it writes a temporary file and renames it.
func (report Report) Write(path string) error {
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	partial := path + ".partial"
	if err := os.WriteFile(partial, text, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.Rename(partial, path); err != nil {
		return fmt.Errorf("rename report: %w", err)
	}
	return nil
}
