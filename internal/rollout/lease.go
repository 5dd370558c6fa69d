package rollout

import (
	"sync/atomic"
	"time"
)

// Lease is this node's lease, which the control leader grants through the relay. A valid lease shows
// that the leader confirms the node. A node without one keeps forwarding with the configuration
// that it has, but must not claim to be current. It is safe for concurrent use.
type Lease struct {
	until    atomic.Pointer[time.Time]
	released atomic.Bool
}

// NewLease returns a lease that has expired.
func NewLease() *Lease { return &Lease{} }

// Valid reports whether the lease is valid at now.
func (lease *Lease) Valid(now time.Time) bool {
	until := lease.until.Load()
	return until != nil && now.Before(*until) && !lease.released.Load()
}

// Release ends the lease permanently. A node calls it when it leaves.
func (lease *Lease) Release() {
	lease.released.Store(true)
	lease.until.Store(nil)
}

// Extend extends the lease to until, and does nothing if the lease already lasts that long. A lease
// that was released stays invalid.
func (lease *Lease) Extend(until time.Time) {
	for {
		current := lease.until.Load()
		if current != nil && !until.After(*current) {
			return
		}
		if lease.until.CompareAndSwap(current, &until) {
			return
		}
	}
}
