package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
)

func TestCombineWithoutParts(t *testing.T) {
	require.Equal(t, Changes{}, Combine())
}

// TestCombinedChangesHaveTheSameEffect compares a reader that applies changes one by one with a
// reader that applies them combined.
func TestCombinedChangesHaveTheSameEffect(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(2711)
	properties := gopter.NewProperties(parameters)
	properties.Property("combine", prop.ForAll(func(seed uint64, fromStart bool) bool {
		runner := newRunner(t)
		single, combined := &changeReader{}, &changeReader{}
		var parts []Changes
		revision := model.Revision(0)
		if !fromStart {
			applyRandomCommands(runner, seed+1, 20, func(*rand.Rand) {})
			first := runner.directory.ChangesSince(0)
			single.apply(first)
			combined.apply(first)
			revision = first.To
		}
		applyRandomCommands(runner, seed, 60, func(random *rand.Rand) {
			if random.IntN(3) == 0 {
				part := runner.directory.ChangesSince(revision)
				revision = part.To
				single.apply(part)
				parts = append(parts, part)
			}
		})
		if len(parts) == 0 {
			return true
		}
		combined.apply(Combine(parts...))
		return fmt.Sprint(single) == fmt.Sprint(combined)
	}, gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
}
