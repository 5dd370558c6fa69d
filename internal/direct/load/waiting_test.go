package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
)

// TestRequestsQueuedForTheLinkArePending: requests that wait in front of the link are not counted
// as open at their target, neither locally nor by peers, until they have left.
func TestRequestsQueuedForTheLinkArePending(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	target := requests.Target{Token: 7}
	begin(one, 7, 3)
	one.counter.Waiting(target, true)
	now := run(start, 3*interval, nil, one, other)
	require.Equal(t, 2, openAt(one, 7))
	require.Equal(t, 1, one.counter.Pending(7))
	require.Equal(t, 2, openAt(other, 7))
	require.Zero(t, other.counter.Pending(7))
	one.counter.Waiting(target, false)
	run(now, 3*interval, nil, one, other)
	require.Equal(t, 3, openAt(one, 7))
	require.Zero(t, one.counter.Pending(7))
	require.Equal(t, 3, openAt(other, 7))
	for range 10 {
		one.counter.Ended(target, requests.Unanswered, 0)
	}
	one.counter.Waiting(target, true)
	require.Zero(t, one.counter.Pending(7), "counts are not used where flows are sprayed")
}
