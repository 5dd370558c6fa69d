package sim

import (
	"fmt"
	"strings"
)

// describedEvents is the maximum number of events in a description.
const describedEvents = 25

// Describe returns a report of a failed run for a person: the violated invariants with their times,
// the last events before the first violation, and the command that replays the run.
func (result Result) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "FAILED scenario %s, seed %d, digest %016x\n", result.Scenario, result.Seed, result.Digest)
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "  violated %s at virtual time %s: %s\n", violation.Invariant, violation.At, violation.Detail)
	}
	events := result.Latest[max(0, len(result.Latest)-describedEvents):]
	if len(events) > 0 {
		fmt.Fprintf(&text, "  the last %d events before the first violation:\n", len(events))
	}
	for _, event := range events {
		fmt.Fprintf(&text, "    %s\n", event)
	}
	if result.PanicStack != "" {
		fmt.Fprintf(&text, "%s\n", result.PanicStack)
	}
	fmt.Fprintf(&text, "  replay with all events: %s\n", result.ReplayCommand())
	return text.String()
}

// ReplayCommand returns the command that repeats the run and prints every event.
func (result Result) ReplayCommand() string {
	return fmt.Sprintf("merlinsim run --scenario %s --seeds %d --trace", result.Scenario, result.Seed)
}
