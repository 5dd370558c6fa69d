package audit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func atSecond(second int) time.Time { return time.Unix(int64(second), 0) }

// keyedRun returns a completed run of an at-most-once call with an idempotency key.
func keyedRun(request, key string) Run {
	return Run{Request: request, Key: key, Class: classOnce, Started: atSecond(1), Ended: atSecond(2), Completed: true}
}

// cleanRun returns an account and the matching runs of an experiment without violations.
func cleanRun() (Account, []Run) {
	account := Account{
		Classes: map[string]ClassAccount{
			classOnce: {Offered: 2, Delivered: 2},
			classFeed: {Offered: 1, Delivered: 1},
		},
		Feeds:         FeedAccount{Updates: 10},
		DeliveredKeys: []string{"k1", "k2"},
		ClaimedNotRun: []string{"r2.1"},
	}
	runs := []Run{
		keyedRun("r1.1", "k1"), keyedRun("r2.2", "k2"),
		{Request: "f1.1", Class: classFeed, Started: atSecond(0), Ended: atSecond(9), Completed: true, Updates: 10},
	}
	return account, runs
}

// Each fault yields exactly one violation, of the invariant that it breaks.
func TestViolations(t *testing.T) {
	cases := []struct {
		name        string
		injectFault func(account *Account, runs *[]Run)
		invariant   string
	}{
		{"nothing wrong", func(*Account, *[]Run) {}, ""},
		{"key ran twice", func(_ *Account, runs *[]Run) { *runs = append(*runs, keyedRun("r1.2", "k1")) }, "at most once"},
		{"attempt ran twice", func(_ *Account, runs *[]Run) {
			twice := Run{Request: "c1.1", Class: classCall, Started: atSecond(1)}
			*runs = append(*runs, twice, twice)
		}, "at most once"},
		{"refused yet run", func(_ *Account, runs *[]Run) { *runs = append(*runs, keyedRun("r2.1", "k3")) }, "refused as not run"},
		{"answered and never run", func(_ *Account, runs *[]Run) { *runs = (*runs)[1:] }, "answer means"},
		{"answered and cancelled", func(_ *Account, runs *[]Run) { (*runs)[0].Completed = false }, "answer means"},
		{"answer to another request", func(account *Account, _ *[]Run) {
			account.Classes[classOnce] = ClassAccount{Offered: 2, Delivered: 1, Crossed: 1}
		}, "own request"},
		{"flow broke", func(account *Account, _ *[]Run) {
			account.Flows.BrokenByNode = map[string]int{"b1": 1}
		}, "open flows"},
		{"flow without an answer broke", func(account *Account, _ *[]Run) {
			account.Flows.BrokenByNode = map[string]int{unknownNode: 1}
		}, "open flows"},
		{"feed cut", func(account *Account, _ *[]Run) {
			account.Classes[classFeed] = ClassAccount{Offered: 2, Delivered: 1, Broken: 1, CutByNode: map[string]int{"b1": 1}}
		}, "nothing in progress"},
		{"request cut and retried successfully", func(account *Account, _ *[]Run) {
			account.Classes[classOnce] = ClassAccount{Offered: 2, Delivered: 2, CutByNode: map[string]int{"b1": 1}}
		}, "nothing in progress"},
		{"update missing", func(account *Account, _ *[]Run) { account.Feeds.Missing = 1 }, "no gaps"},
		{"update twice", func(account *Account, _ *[]Run) { account.Feeds.Duplicates = 1 }, "no gaps"},
		{"refused without Retry-After", func(account *Account, _ *[]Run) { account.RefusedWithoutRetryAfter = 1 }, "when to come back"},
		{"nothing delivered", func(account *Account, _ *[]Run) {
			account.Classes[classUpload] = ClassAccount{Offered: 5, Refused: 5}
		}, "are served"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			account, runs := cleanRun()
			testCase.injectFault(&account, &runs)
			found := Compare([]Account{account}, runs).Violations(Expectation{}, runs)
			if testCase.invariant == "" {
				require.Empty(t, found)
				return
			}
			require.Len(t, found, 1)
			require.Contains(t, found[0].Invariant, testCase.invariant)
		})
	}
}

func TestOnlyFlowsOfDeadTargetsMayBreak(t *testing.T) {
	cases := []struct {
		name   string
		broken map[string]int
		found  int
	}{
		{"flows of the dead target", map[string]int{"b1": 3, unknownNode: 1}, 0},
		{"a flow of another target", map[string]int{"b1": 3, "b2": 1}, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			account, runs := cleanRun()
			account.Flows.BrokenByNode = testCase.broken
			result := Compare([]Account{account}, runs)
			require.Len(t, result.Violations(Expectation{DeadNodes: []string{"b1"}}, runs), testCase.found)
		})
	}
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	drain := Drain{Node: "b1", At: atSecond(10)}
	returned := Drain{Node: "b1", At: atSecond(10), Until: atSecond(20)}
	cases := []struct {
		name    string
		drain   Drain
		node    string
		started int
		found   int
	}{
		{"before the drain", drain, "b1", 9, 0},
		{"within the grace", drain, "b1", 12, 0},
		{"after the grace", drain, "b1", 14, 1},
		{"at another target", drain, "b2", 14, 0},
		{"after its return to service", returned, "b1", 21, 0},
		{"within a longer grace", Drain{Node: "b1", At: atSecond(10), Grace: 8 * time.Second}, "b1", 17, 0},
		{"after a longer grace", Drain{Node: "b1", At: atSecond(10), Grace: 8 * time.Second}, "b1", 19, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			account, runs := cleanRun()
			runs = append(runs, Run{Node: testCase.node, Request: "c1.1", Class: classCall, Started: atSecond(testCase.started)})
			result := Compare([]Account{account}, runs)
			require.Len(t, result.Violations(Expectation{Drains: []Drain{testCase.drain}}, runs), testCase.found)
		})
	}
}

func TestWeightedService(t *testing.T) {
	account, runs := cleanRun()
	account.Classes[classCall] = ClassAccount{Offered: 3, Delivered: 2}
	result := Compare([]Account{account}, runs)
	require.InDelta(t, 2*(2+3)+10, result.WeightedOffered, 0.001)
	require.InDelta(t, 2*(2+2)+10, result.WeightedDelivered, 0.001)
	require.InDelta(t, 2, result.SlotSeconds, 0.001, "feeds hold no slot")
	require.InDelta(t, 2.0/8, result.SlotSecondsPerDelivery(), 0.001)
	require.Zero(t, result.WeightedCuts())
	account.Classes[classOnce] = ClassAccount{Offered: 2, Delivered: 1, CutAttempts: 1}
	account.Classes[classUpload] = ClassAccount{Offered: 2, Delivered: 1, CutAttempts: 3}
	require.InDelta(t, 2*1+3, Compare([]Account{account}, runs).WeightedCuts(), 0.001)
	require.Contains(t, result.Table(), "| once   |       2 |")
	require.Contains(t, result.Summary(), "weighted service: 0.9000")
}

func TestReadLedgers(t *testing.T) {
	cases := []struct {
		name, content, fault string
		runs                 int
	}{
		{"start and end", `{"event":"start","request":"r1"}` + "\n" + `{"event":"completed","request":"r1"}` + "\n", "", 1},
		{"back end died before the end", `{"event":"start","request":"r1"}` + "\n", "", 1},
		{"end without start", `{"event":"completed","request":"r1"}` + "\n", "without a start", 0},
		{"unknown event", `{"event":"paused","request":"r1"}` + "\n", "unknown event", 0},
		{"not JSON", "what\n", "line 1", 0},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			folder := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(folder, "b1.jsonl"), []byte(testCase.content), 0o600))
			runs, err := ReadLedgers(folder)
			if testCase.fault != "" {
				require.ErrorContains(t, err, testCase.fault)
				return
			}
			require.NoError(t, err)
			require.Len(t, runs, testCase.runs)
		})
	}
}

func TestReadAccountRefusesBadFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	_, err := ReadAccount(path)
	require.Error(t, err)
	require.NoError(t, os.WriteFile(path, []byte(strings.Repeat("x", 10)), 0o600))
	_, err = ReadAccount(path)
	require.ErrorContains(t, err, "report.json")
}
