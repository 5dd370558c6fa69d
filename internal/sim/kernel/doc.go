// Package kernel is the base of the deterministic simulation: a virtual clock
// with an event heap, seeded random streams, a network with injected faults,
// processes that run controllers, and a trace with a digest.
//
// Each run uses one goroutine. Nothing reads the real clock or a global random
// source, and nothing depends on map iteration order, so a seed gives the same
// trace digest on any machine and with any number of parallel runs.
package kernel
