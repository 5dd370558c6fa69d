package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// TestEvidenceTellsWhatCountsRestOn: a refusal is explained by whose requests were counted,
// how old what others told is, and how many cases the shares of gaps and misses are of.
func TestEvidenceTellsWhatCountsRestOn(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	require.Equal(t, steer.Evidence{ReportedAgo: steer.NeverReported}, one.book.Evidence(7, start))
	begin(one, 7, 3)
	begin(other, 7, 2)
	now := run(start, 3*interval, nil, one, other)
	one.book.Ended(requests.Target{Token: 7}, requests.Unanswered, time.Second)
	one.book.Continued(false)
	one.book.Continued(true)

	evidence := one.book.Evidence(7, now)
	require.Equal(t, 2, evidence.LocalOpen)
	require.Equal(t, 2, evidence.RemoteOpen)
	require.Positive(t, evidence.ReportedAgo)
	require.LessOrEqual(t, evidence.ReportedAgo, keepaliveInterval)
	require.Equal(t, 2, evidence.Gaps.Samples)
	require.Positive(t, evidence.Gaps.Share)
	require.Equal(t, 1, evidence.Unanswered.Samples)
	require.Positive(t, evidence.Unanswered.Share)
}
