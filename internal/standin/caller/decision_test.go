package caller

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/stretchr/testify/require"
)

func TestCheckReply(t *testing.T) {
	// 26c7827d889f6da3 is the xxhash64 of "hello".
	const good = `{"request":"r.2","key":"k","body_bytes":5,"body_checksum":"26c7827d889f6da3"}`
	keyed := expectation{attempts: []string{"r.1", "r.2"}, key: "k", body: []byte("hello")}
	keyless := expectation{attempts: []string{"r.1", "r.2"}, body: []byte("hello")}
	cases := []struct {
		name     string
		body     string
		expected expectation
		fault    string
	}{
		{"answer to the latest attempt", good, keyed, ""},
		{"recorded answer to an earlier attempt", `{"request":"r.1","key":"k","body_bytes":5,"body_checksum":"26c7827d889f6da3"}`, keyed, ""},
		{"answer to an earlier attempt without a key", `{"request":"r.1","body_bytes":5,"body_checksum":"26c7827d889f6da3"}`, keyless, "names request"},
		{"another request", `{"request":"x.1","key":"k","body_bytes":5,"body_checksum":"26c7827d889f6da3"}`, keyed, "names request"},
		{"another key", `{"request":"r.2","key":"j","body_bytes":5,"body_checksum":"26c7827d889f6da3"}`, keyed, "names key"},
		{"short body", `{"request":"r.2","key":"k","body_bytes":4,"body_checksum":"26c7827d889f6da3"}`, keyed, "4 bytes"},
		{"changed body", `{"request":"r.2","key":"k","body_bytes":5,"body_checksum":"0"}`, keyed, "checksum"},
		{"truncated answer", good[:20], keyed, "cannot be read"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, err := checkReply([]byte(testCase.body), testCase.expected)
			if testCase.fault == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, testCase.fault)
		})
	}
}

func TestFinalOutcome(t *testing.T) {
	uncertain := &outcome{kind: outcomeUnknown}
	cases := []struct {
		name    string
		earlier *outcome
		last    outcomeKind
		want    outcomeKind
	}{
		{"refused only", nil, outcomeNotRun, outcomeNotRun},
		{"refused after an attempt that may have run", uncertain, outcomeNotRun, outcomeUnknown},
		{"not sent after an attempt that may have run", uncertain, outcomeNotSent, outcomeUnknown},
		{"delivered in the end", uncertain, outcomeDelivered, outcomeDelivered},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			require.Equal(t, testCase.want, finalOutcome(testCase.earlier, outcome{kind: testCase.last}).kind)
		})
	}
}

func TestRetryDelay(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		require.LessOrEqual(t, retryDelay(1, 0, random), initialBackoff)
		require.LessOrEqual(t, retryDelay(maximumAttempts, 0, random), maximumBackoff)
		stated := retryDelay(1, 2*time.Second, random)
		require.GreaterOrEqual(t, stated, 2*time.Second, "no retry before Retry-After has passed")
		require.LessOrEqual(t, stated, 3*time.Second)
	}
}

func TestParseRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := map[string]time.Duration{
		"3":                                   3 * time.Second,
		"":                                    0,
		"soon":                                0,
		"-1":                                  0,
		now.Add(4e9).Format(http.TimeFormat):  4 * time.Second,
		now.Add(-4e9).Format(http.TimeFormat): 0,
	}
	for text, want := range cases {
		require.Equal(t, want, parseRetryAfter(text, now), text)
	}
}

func TestRefusalsAreReported(t *testing.T) {
	recorder := newRecorder()
	refused := outcome{kind: outcomeNotRun, status: http.StatusServiceUnavailable, code: 6001, retryAfter: time.Second, elapsed: 3 * time.Millisecond}
	recorder.recordAttempt(ClassCall, "r.1", refused)
	refused.retryAfter = 0
	recorder.recordAttempt(ClassCall, "r.2", refused)
	refused.status = http.StatusBadRequest
	recorder.recordAttempt(ClassCall, "r.3", refused)
	recorder.recordAttempt(ClassCall, "r.4", outcome{kind: outcomeUnknown, status: http.StatusServiceUnavailable, elapsed: time.Hour})
	report := recorder.buildReport(Options{}, time.Now())
	require.Equal(t, []string{"r.1", "r.2", "r.3"}, report.ClaimedNotRun)
	require.Equal(t, 1, report.RefusedWithoutRetryAfter)
	require.InDelta(t, 3000, report.RefusalLatency.Max, 10)
	require.EqualValues(t, 3, sum(report.RefusalHistogram.Counts))
}

func sum(counts []int64) int64 {
	total := int64(0)
	for _, count := range counts {
		total += count
	}
	return total
}

func TestBudgetBoundsRetries(t *testing.T) {
	budget := newRetryBudget()
	taken := 0
	for range 1000 {
		budget.deposit()
		for budget.withdraw() {
			taken++
		}
	}
	require.LessOrEqual(t, float64(taken), retryBudgetCapacity+1000*retriesPerRequest)
	require.Greater(t, float64(taken), 1000*retriesPerRequest-1)
}

func TestMayRetry(t *testing.T) {
	cases := []struct {
		kind  outcomeKind
		class Class
		want  bool
	}{
		{outcomeNotRun, ClassOnce, true},
		{outcomeNotSent, ClassOnce, true},
		{outcomeUnknown, ClassOnce, true},
		{outcomeBroken, ClassCall, true},
		{outcomeBroken, ClassUpload, true},
		{outcomeCrossed, ClassCall, false},
		{outcomeDelivered, ClassCall, false},
		{outcomeAbandoned, ClassOnce, false},
	}
	for _, testCase := range cases {
		require.Equal(t, testCase.want, mayRetry(testCase.kind, testCase.class), "%v", testCase)
	}
}

func TestClassifyEnding(t *testing.T) {
	cases := []struct {
		name  string
		cause error
		want  ending
	}{
		{"graceful close by the server", &quic.ApplicationError{Remote: true, ErrorCode: quic.ApplicationErrorCode(http3.ErrCodeNoError)}, endingGraceful},
		{"internal error of the server", &quic.ApplicationError{Remote: true, ErrorCode: quic.ApplicationErrorCode(http3.ErrCodeInternalError)}, endingBroken},
		{"idle timeout", &quic.IdleTimeoutError{}, endingBroken},
		{"stateless reset", &quic.StatelessResetError{}, endingBroken},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			require.Equal(t, testCase.want, classifyEnding(testCase.cause))
		})
	}
}
