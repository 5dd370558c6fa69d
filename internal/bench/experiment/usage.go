package experiment

import (
	"context"

	"merlinpaddle/internal/bench/fleet"
)

// Usage is the resource usage of one process since its start.
type Usage struct {
	// ControlBytes is the traffic of control connections in both directions.
	ControlBytes float64
	// ProcessorSeconds is the sum of user and system time.
	ProcessorSeconds float64
	// ResidentBytes is the current resident memory.
	ResidentBytes float64
}

// ReadUsage reads the resource usage of a process of the fleet from its metrics.
func ReadUsage(ctx context.Context, process fleet.Process) (Usage, error) {
	read, err := scrape(ctx, process)
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		ControlBytes:     read.controlBytes,
		ProcessorSeconds: read.processorSeconds,
		ResidentBytes:    read.residentMemory,
	}, nil
}
