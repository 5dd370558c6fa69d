package load

import (
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/requests"
)

// TestRequestsThatWaitForTheLinkAreComing: they take no place at their target, here and for
// others, until they have left.
func TestRequestsThatWaitForTheLinkAreComing(t *testing.T) {
	one, other := newNode("a", interval, "b"), newNode("b", interval, "a")
	target := requests.Target{Token: 7}
	begin(one, 7, 3)
	one.book.Waiting(target, true)
	now := run(start, 3*interval, nil, one, other)
	require.Equal(t, 2, openAt(one, 7))
	require.Equal(t, 1, one.book.Pending(7))
	require.Equal(t, 2, openAt(other, 7))
	require.Zero(t, other.book.Pending(7))
	one.book.Waiting(target, false)
	run(now, 3*interval, nil, one, other)
	require.Equal(t, 3, openAt(one, 7))
	require.Zero(t, one.book.Pending(7))
	require.Equal(t, 3, openAt(other, 7))
	for range 10 {
		one.book.Ended(target, requests.Unanswered, 0)
	}
	one.book.Waiting(target, true)
	require.Zero(t, one.book.Pending(7), "nothing is known where flows are sprayed")
}
