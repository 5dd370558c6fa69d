// Package compare runs several routing algorithms with the same flows and the same changes, in
// virtual time, and measures broken flows, imbalance, state and control traffic.
//
// The algorithms are plain consistent hashing, a flow table at each balancer, a two-hop chain,
// connection-ID routing, and the full chain of the product, which runs the packages routing, flow
// and steering themselves. Three baselines for the imbalance place each flow with full knowledge,
// without lag and without faults.
//
// The model is simplified. Sending and forwarding a packet take no time, so races between copies of
// a packet do not occur; the simulator merlinsim covers these. The fabric loses no packets. A back
// end is a first-come-first-served queue with a limited number of slots.
package compare
