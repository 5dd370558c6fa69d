// Package board provides the data structures that controllers share (a blackboard architecture):
// typed tables, split into shards that have their own locks, and message queues.
//
// Controllers read and write tables and queues, and do not call each other. In a process, a Runner
// calls each controller periodically and when its inputs change. In the simulation, one loop calls
// the same controllers with a virtual clock.
package board

import "time"

// Controller keeps a part of a process's state up to date. Reconcile reads and writes tables and
// queues and returns without blocking. It starts no goroutine, reads no clock and opens no socket. It
// is not called concurrently.
type Controller interface {
	// Name identifies the controller in logs.
	Name() string
	// Reconcile brings the controller's state up to date as of now.
	Reconcile(now time.Time)
}
