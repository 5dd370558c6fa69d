// Package scenario defines the scenarios of the simulation: which faults and changes a world goes
// through, and for how long. The invariants are verified by package checker. A scenario itself only
// checks that the situation that it is about did occur.
package scenario

import (
	"time"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/directworld"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/sim/world"
)

// definition is a scenario whose world is not built yet.
type definition struct {
	name    string
	summary string
	options optionsForSeed
	// play gets a world that is not started.
	play func(world *world.World)
}

// All returns all scenarios, with the standard parts, in a fixed order.
func All() []sim.Scenario {
	var scenarios []sim.Scenario
	for _, one := range definitions() {
		scenarios = append(scenarios, one.build(world.StandardParts()))
	}
	return append(scenarios, directworld.Scenarios(directworld.StandardParts())...)
}

// Find returns the scenario with the given name, with the standard parts.
func Find(name string) (sim.Scenario, bool) { return FindWith(name, world.StandardParts()) }

// FindWith returns the scenario with the given name, with the given parts in its world.
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

func (definition definition) build(parts world.Parts) sim.Scenario {
	return sim.Scenario{
		Name:    definition.name,
		Summary: definition.summary,
		Play: func(run *sim.Run) {
			options := definition.options(run.Seed)
			options.Parts = parts
			definition.play(world.New(run, options))
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

// baseOptions returns the options of a preset. A short snapshot interval, small log segments and
// small chunks make even short runs take snapshots and replace segments.
func baseOptions(preset world.Preset) world.Options {
	return world.Options{
		Preset:          preset,
		SnapshotEvery:   100,
		SegmentBytes:    8 << 10,
		ChunkBytes:      4 << 10,
		BalancerListLag: time.Second,
	}
}

func small(uint64) world.Options   { return baseOptions(world.Small()) }
func metro(uint64) world.Options   { return baseOptions(world.Metro()) }
func coastal(uint64) world.Options { return baseOptions(world.Coastal()) }

// zonesBySeed returns the options of the close zones (metro) for odd seeds and those of the distant
// zones (coastal) for even seeds.
func zonesBySeed(seed uint64) world.Options {
	if seed%2 == 1 {
		return metro(seed)
	}
	return coastal(seed)
}

// optionsForSeed returns the options of the run with the given seed.
type optionsForSeed func(seed uint64) world.Options

// with returns the same options as changed by change.
func (options optionsForSeed) with(change func(options *world.Options)) optionsForSeed {
	return func(seed uint64) world.Options {
		changed := options(seed)
		change(&changed)
		return changed
	}
}

// faultyLinks returns faults of links that lose, duplicate and reorder a few messages.
func faultyLinks() kernel.LinkFaults {
	return kernel.LinkFaults{Loss: 0.01, Duplication: 0.02, Jitter: 2 * time.Millisecond}
}

// withFaultyLinks returns the options with faultyLinks for messages and packets.
func withFaultyLinks(options optionsForSeed) optionsForSeed {
	return options.with(func(options *world.Options) {
		options.Faults = faultyLinks()
		options.PacketFaults = faultyLinks()
	})
}
