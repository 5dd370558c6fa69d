package mutant

import (
	"fmt"

	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/scenario"
	"merlinpaddle/internal/sim/world"
)

// Scenario is a scenario that can be played with replaced parts.
type Scenario struct {
	Name string
	Play func(run *sim.Run, parts world.Parts)
}

// namedScenario returns the scenario of package scenario with the given name. Play panics if there
// is none.
func namedScenario(name string) Scenario {
	return Scenario{Name: name, Play: func(run *sim.Run, parts world.Parts) {
		found, known := scenario.FindWith(name, parts)
		if !known {
			panic(fmt.Sprintf("no scenario %q", name))
		}
		found.Play(run)
	}}
}
