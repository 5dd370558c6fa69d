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
	require.Equal(t, steer.Evidence{HeardAgo: steer.NeverHeard}, one.book.Evidence(7, start))
	begin(one, 7, 3)
	begin(other, 7, 2)
	now := run(start, 3*interval, nil, one, other)
	one.book.Ended(requests.Target{Token: 7}, requests.Unanswered, time.Second)
	one.book.SequenceChecked(false)
	one.book.SequenceChecked(true)

	evidence := one.book.Evidence(7, now)
	require.Equal(t, 2, evidence.Own)
	require.Equal(t, 2, evidence.Others)
	require.Positive(t, evidence.HeardAgo)
	require.LessOrEqual(t, evidence.HeardAgo, keepaliveInterval)
	require.Equal(t, 2, evidence.Gaps.Cases)
	require.Positive(t, evidence.Gaps.Share)
	require.Equal(t, 1, evidence.Missed.Cases)
	require.Positive(t, evidence.Missed.Share)
}
