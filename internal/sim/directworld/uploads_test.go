package directworld

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/sim"
)

// A reset ends an attempt of an upload, and the caller starts one further attempt. When openTimeout
// of the reset flow expired, the caller counted the same flow again, as one that did not open, and
// started another attempt beside the one in progress. Each refusal thus caused two attempts, and
// the doubled uploads filled the links, which then refused more. direct-narrow-links had up to 1.39
// attempts per answered upload in 6 of 400 seeds; in seed 5, 33 refusals caused 66 failed attempts,
// and one timeout caused one.
func TestUploadRefusalCausesOneRetry(t *testing.T) {
	world := New(sim.NewRun(1), DefaultOptions())
	refused := &upload{world: world}
	refused.openFlow()
	first := refused.latestAttempt
	world.RunFor(100 * time.Millisecond)
	first.flow.handleReset(nil)
	require.Equal(t, 2, refused.attempts)
	world.RunFor(openTimeout - time.Millisecond)
	require.Equal(t, 2, refused.attempts, "the second attempt is in progress")
	world.RunFor(time.Millisecond)
	require.Equal(t, 3, refused.attempts, "the second attempt did not open in time")
}
