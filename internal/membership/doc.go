// Package membership records what the control leader knows about relays, balancers and agents,
// decides which targets are dead or alive, and reports how far the configuration has been rolled
// out.
//
// The package does no I/O and reads no clock: callers pass the time, and decisions are put into a
// queue.
//
// It implements two rules:
//
//   - A revision is in force when every balancer that may hold a lease runs it. Control counts a
//     lease from the time of the grant and adds a margin; the node counts it from the time of its
//     request. A lease therefore ends later for control than for the node. A new leader waits until
//     the leases granted under the previous leader have expired.
//   - A target is dead when control receives no heartbeats of its agent, or when the agent announces
//     a planned stop, and never only because the platform does not list its machine. When most
//     targets of a zone fall silent at once, or all of them together with all relays of the zone,
//     control assumes a network partition: their flows are kept until the platform does not list
//     the machines either.
package membership
