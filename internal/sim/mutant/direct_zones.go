package mutant

import (
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/direct/feed"
)

func directEvacuationIgnored() Mutant {
	return Mutant{
		Name:    "direct-evacuation-ignored",
		Breaks:  "balancers do not learn which zones are emptied",
		Expect:  []checker.Invariant{checker.InvariantEvacuated},
		Story:   storyOf("direct-evacuations"),
		Variant: directUpdates(func(update *feed.Update) { update.Changes.Zones = nil }),
	}
}

func directColdnessIgnored() Mutant {
	return Mutant{
		Name:   "direct-coldness-ignored",
		Breaks: "balancers take cold targets for warm ones",
		Expect: []checker.Invariant{checker.InvariantColdRate},
		Story:  storyOf("direct-cold-returns"),
		Variant: directUpdates(func(update *feed.Update) {
			for index := range update.Changes.Targets {
				update.Changes.Targets[index].Cold = 0
			}
		}),
	}
}
