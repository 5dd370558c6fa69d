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

func TestCombineOfNothingIsNothing(t *testing.T) {
	require.Equal(t, Changes{}, Combine())
}

// TestCombinedChangesHaveTheSameEffect: a reader that takes the changes one by
// one and one that takes them combined end alike.
func TestCombinedChangesHaveTheSameEffect(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(2711)
	properties := gopter.NewProperties(parameters)
	properties.Property("combine", prop.ForAll(func(seed uint64, whole bool) bool {
		runner := newRunner(t)
		single, combined := &reader{}, &reader{}
		var parts []Changes
		revision := model.Revision(0)
		if !whole {
			playRandom(runner, seed+1, 20, func(*rand.Rand) {})
			first := runner.directory.ChangesSince(0)
			single.take(first)
			combined.take(first)
			revision = first.To
		}
		playRandom(runner, seed, 60, func(random *rand.Rand) {
			if random.IntN(3) == 0 {
				part := runner.directory.ChangesSince(revision)
				revision = part.To
				single.take(part)
				parts = append(parts, part)
			}
		})
		if len(parts) == 0 {
			return true
		}
		combined.take(Combine(parts...))
		return fmt.Sprint(single) == fmt.Sprint(combined)
	}, gen.UInt64(), gen.Bool()))
	properties.TestingRun(t)
}
