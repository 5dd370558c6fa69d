// Package balancer implements the balancer role: it receives packets that the
// fabric sprays over all balancers, looks up the service and the target, and
// forwards the packet in Geneve to the target's agent.
//
// A balancer holds no state that a flow depends on. It hashes a flow to a bucket
// of its service and forwards the packet along the bucket's chain of targets; the
// flow cache only saves hops between agents. So any balancer, including one that
// has just joined, reaches the target that owns a flow.
//
// # The chain and the position
//
// The chain in a forwarded packet is always the complete row of the bucket in the
// configuration that the packet names, in the order of routing.Chain, because
// agents compare it with their own row. The flow cache and the phases of the
// targets choose only the position at which the packet enters the chain. An
// opening packet of a flow that is not cached enters at the head even while the
// head drains. Only the head decides which target opens a flow of its bucket;
// while it drains it opens none itself and assigns them to the alternate. If the
// packet entered at the alternate, it would first be sent back to the head.
//
// # Control plane and packet path
//
// The index controller builds an Index from each configuration and publishes it
// with one atomic store. Packet workers load the pointer once for each batch of
// packets, take one shard lock of the flow cache for each packet, and do not
// allocate.
//
// A balancer that loses contact with the control plane keeps forwarding by its
// last configuration. On a planned stop it keeps forwarding for the configured
// grace period and still follows configuration changes, so that the fabric has
// time to take it off its machine list, which lags.
//
// # Limits
//
// Opening packets of TCP and QUIC are rate-limited for each source address and
// for each service, see Limits. Plain UDP has no distinguishable opening packet,
// so only the agents limit its new flows.
//
// # Overload
//
// Workers never block on a send. Datagrams that the receive buffer lost or that
// found the send buffer full are counted. A hint about an opening packet is
// cached only in a free entry, so that a flood of new flows evicts no entry that
// is in use.
//
// docs/design/packet-path.md has the verdicts, the bounds and the figures.
//
// Module needs *rollout.Store, settings.Settings, *process.Tasks,
// *process.Readiness, *prometheus.Registry and *zap.Logger, and provides
// *Balancer.
package balancer
