package directworld

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/sim"
)

// TestARefusedUploadIsTriedOnceMore: the caller's attempt ends with the reset. It counted the
// flow a second time, as one that did not open, when the wait for its opening was over, and
// began a further try beside the one under way: each refusal of a balancer made two tries, and
// the doubled uploads filled the links, which refused more. direct-narrow-links had up to 1.39
// tries for an answered upload in 6 of 400 seeds; in seed 5, 33 refusals made 66 failed tries,
// and one that ran out of time made one.
func TestARefusedUploadIsTriedOnceMore(t *testing.T) {
	world := New(sim.NewRun(1), DefaultOptions())
	refused := &upload{world: world}
	refused.openFlow()
	first := refused.latestAttempt
	world.RunFor(100 * time.Millisecond)
	first.flow.handleReset(nil)
	require.Equal(t, 2, refused.attempts)
	world.RunFor(openTimeout - time.Millisecond)
	require.Equal(t, 2, refused.attempts, "the second try is under way")
	world.RunFor(time.Millisecond)
	require.Equal(t, 3, refused.attempts, "the second try did not open in time")
}
