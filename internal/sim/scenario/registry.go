// Package scenario holds the stories that the simulation plays: what happens
// to a world, and how long. What must hold is decided by the checkers; a
// scenario adds only the check that its story truly happened.
package scenario

import (
	"time"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/directworld"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

// definition is a scenario before its world is built. Play gets a world that is
// not started.
type definition struct {
	name    string
	summary string
	options optionsForSeed
	play    func(world *world.World)
}

// All returns all scenarios in a fixed order.
func All() []sim.Scenario {
	var scenarios []sim.Scenario
	for _, one := range definitions() {
		scenarios = append(scenarios, one.build(world.StandardParts()))
	}
	return append(scenarios, directworld.Scenarios(directworld.StandardParts())...)
}

// Find returns the scenario called name.
func Find(name string) (sim.Scenario, bool) { return FindWith(name, world.StandardParts()) }

// FindWith returns the scenario called name with other parts in its world.
func FindWith(name string, parts world.Parts) (sim.Scenario, bool) {
	for _, one := range definitions() {
		if one.name == name {
			return one.build(parts), true
		}
	}
	for _, one := range directworld.Scenarios(parts.Direct) {
		if one.Name == name {
			return one, true
		}
	}
	return sim.Scenario{}, false
}

func (story definition) build(parts world.Parts) sim.Scenario {
	return sim.Scenario{
		Name:    story.name,
		Summary: story.summary,
		Play: func(run *sim.Run) {
			options := story.options(run.Seed)
			options.Parts = parts
			story.play(world.New(run, options))
		},
	}
}

func definitions() []definition {
	var all []definition
	all = append(all, controlDefinitions()...)
	all = append(all, storageDefinitions()...)
	all = append(all, rolloutDefinitions()...)
	all = append(all, trafficDefinitions()...)
	all = append(all, drainDefinitions()...)
	all = append(all, requestDefinitions()...)
	all = append(all, partitionDefinitions()...)
	return append(all, chaosDefinition())
}

// Options of the presets. A small snapshot interval, small segments and small
// chunks make short runs reach what they are for.
func baseOptions(preset world.Preset) world.Options {
	return world.Options{
		Preset:        preset,
		SnapshotEvery: 100,
		SegmentBytes:  8 << 10,
		ChunkBytes:    4 << 10,
		ListLag:       time.Second,
	}
}

func small(uint64) world.Options   { return baseOptions(world.Small()) }
func metro(uint64) world.Options   { return baseOptions(world.Metro()) }
func coastal(uint64) world.Options { return baseOptions(world.Coastal()) }

// zonesBySeed gives odd seeds the close zones and even seeds the distant ones.
func zonesBySeed(seed uint64) world.Options {
	if seed%2 == 1 {
		return metro(seed)
	}
	return coastal(seed)
}

// optionsForSeed makes the options of a run from its seed.
type optionsForSeed func(seed uint64) world.Options

// with returns options that change changes.
func (options optionsForSeed) with(change func(options *world.Options)) optionsForSeed {
	return func(seed uint64) world.Options {
		changed := options(seed)
		change(&changed)
		return changed
	}
}

// faultyLinks are links that lose, double and reorder a little.
func faultyLinks() kernel.LinkFaults {
	return kernel.LinkFaults{Loss: 0.01, Duplication: 0.02, Jitter: 2 * time.Millisecond}
}

// withFaultyLinks returns options whose links are unruly.
func withFaultyLinks(options optionsForSeed) optionsForSeed {
	return options.with(func(options *world.Options) {
		options.Faults = faultyLinks()
		options.PacketFaults = faultyLinks()
	})
}
