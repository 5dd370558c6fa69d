package audit

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Request classes of the callers' accounts and the ledgers; "once" is an at-most-once call.
const (
	classCall   = "call"
	classOnce   = "once"
	classUpload = "upload"
	classFeed   = "feed"
)

// Classes lists the request classes in the order in which tables show them.
var Classes = []string{classCall, classOnce, classUpload, classFeed}

// Account has the fields of a caller's report that experiments use.
type Account struct {
	Caller            string                  `json:"caller"`
	Address           string                  `json:"address"`
	Started           time.Time               `json:"started"`
	Ended             time.Time               `json:"ended"`
	Classes           map[string]ClassAccount `json:"classes"`
	Flows             FlowAccount             `json:"flows"`
	Feeds             FeedAccount             `json:"feeds"`
	Refusals          map[int]int             `json:"refusals"`
	RetriesOverBudget int                     `json:"retries_over_budget"`
	RefusalHistogram  *hdrhistogram.Snapshot  `json:"refusal_histogram"`
	// RefusedWithoutRetryAfter counts the attempts that were refused as not run with status 503 and
	// without a Retry-After header.
	RefusedWithoutRetryAfter int `json:"refused_without_retry_after"`
	// ClaimedNotRun lists the attempts that the system refused as not run.
	ClaimedNotRun []string `json:"claimed_not_run"`
	// DeliveredKeys lists the idempotency keys of at-most-once calls that were answered, and
	// RefusedKeys of those whose every attempt was refused as not run or was not sent.
	DeliveredKeys []string       `json:"delivered_keys"`
	RefusedKeys   []string       `json:"refused_keys"`
	Examples      []FaultExample `json:"examples"`
}

// ClassAccount has a caller's counts and latencies of one request class.
type ClassAccount struct {
	Offered   int `json:"offered"`
	Delivered int `json:"delivered"`
	Refused   int `json:"refused"`
	Unknown   int `json:"unknown"`
	Broken    int `json:"broken"`
	Crossed   int `json:"crossed"`
	// Abandoned counts the requests that were unanswered when the caller was stopped.
	Abandoned   int                    `json:"abandoned"`
	Attempts    int                    `json:"attempts"`
	CutAttempts int                    `json:"cut_attempts"`
	CutByNode   map[string]int         `json:"cut_by_node"`
	Histogram   *hdrhistogram.Snapshot `json:"histogram"`
}

// FlowAccount counts a caller's connections by outcome.
type FlowAccount struct {
	Opened           int            `json:"opened"`
	Failed           int            `json:"failed"`
	ClosedByCaller   int            `json:"closed_by_caller"`
	ClosedGracefully int            `json:"closed_gracefully"`
	Broken           int            `json:"broken"`
	BrokenByNode     map[string]int `json:"broken_by_node"`
	Examples         []FlowExample  `json:"examples"`
}

// FeedAccount counts the received, missing and duplicate updates of feeds.
type FeedAccount struct {
	Updates                    uint64 `json:"updates"`
	Missing                    uint64 `json:"missing"`
	Duplicates                 uint64 `json:"duplicates"`
	LongestSilenceMilliseconds int64  `json:"longest_silence_ms"`
}

// FaultExample describes a cut or crossed request.
type FaultExample struct {
	At      time.Time `json:"at"`
	Class   string    `json:"class"`
	Request string    `json:"request"`
	Error   string    `json:"error"`
}

// FlowExample describes a connection that failed or broke.
type FlowExample struct {
	At time.Time `json:"at"`
	// Local is the connection's local address, or "open" when the connection never opened.
	Local string `json:"local"`
	Error string `json:"error"`
}

// ReadAccount reads a caller's report.
func ReadAccount(path string) (Account, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Account{}, fmt.Errorf("read caller's report: %w", err)
	}
	var account Account
	if err := json.Unmarshal(content, &account); err != nil {
		return Account{}, fmt.Errorf("caller's report %s: %w", path, err)
	}
	return account, nil
}
