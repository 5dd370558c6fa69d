package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// TestEvidenceDescribesTheCounts: the log line of a refusal states whose requests were counted, how
// old the remote counts are, and how many samples the shares of gaps and unanswered requests have.
func TestEvidenceDescribesTheCounts(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	require.Equal(t, steer.Evidence{ReportedAgo: steer.NeverReported}, one.counter.Evidence(7, start))
	begin(one, 7, 3)
	begin(other, 7, 2)
	now := run(start, 3*interval, nil, one, other)
	one.counter.Ended(requests.Target{Token: 7}, requests.Unanswered, time.Second)
	one.counter.SequenceChecked(false)
	one.counter.SequenceChecked(true)

	evidence := one.counter.Evidence(7, now)
	require.Equal(t, 2, evidence.LocalOpen)
	require.Equal(t, 2, evidence.RemoteOpen)
	require.Positive(t, evidence.ReportedAgo)
	require.LessOrEqual(t, evidence.ReportedAgo, keepaliveInterval)
	require.Equal(t, 2, evidence.Gaps.Samples)
	require.Positive(t, evidence.Gaps.Share)
	require.Equal(t, 1, evidence.Unanswered.Samples)
	require.Positive(t, evidence.Unanswered.Share)
}
