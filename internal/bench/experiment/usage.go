package experiment

import (
	"context"

	"merlinpaddle/internal/bench/fleet"
)

// Usage is what one process has used since its start.
type Usage struct {
	// ControlBytes counts both directions of the control connections.
	ControlBytes float64
	// ProcessorSeconds is user and system time.
	ProcessorSeconds float64
	// ResidentBytes is the resident memory at present.
	ResidentBytes float64
}

// ReadUsage reads what a process of the fleet has used, from its metrics.
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
