// Package fabric stands in for the platform's network fabric. It owns the virtual addresses, sprays
// callers' datagrams over the live balancers, and forwards answers to callers from the virtual
// address that they used.
//
// Each virtual address is one UDP socket. A datagram that arrives there is given its original IP and
// UDP headers and sent to a balancer in Geneve. Each packet is sent to a randomly chosen balancer, so
// any packet of a flow may reach any balancer. Answers come from agents in Geneve and leave by the
// virtual address's socket.
//
// # Which balancers are live
//
// The fabric knows balancers only from the platform's list, which lags on purpose. (Until it has read
// that list, or without a platform, it uses the fixed list in the settings.) A balancer that is listed
// as leaving gets no packets. A balancer that failed gets its share until it is removed from the list,
// and these packets are lost: the fabric has no health checks and ignores ICMP errors. A fabric that
// withdraws next hops faster (with BFD, for example) detects a failed machine or link, but not a
// failed process. This is therefore the harder case for the system, and the one that the tests use.
//
// # TCP
//
// A UDP socket cannot carry TCP segments, so this stand-in owns no virtual TCP address. On a real
// target host the host's own network stack would deliver the segments: a tunnel device (Geneve, or IP
// in IP after the agent removed the Geneve header) with the virtual address on the host's loopback
// device, so that the kernel accepts the inner packet and the back end's socket answers from the
// virtual address. TCP is therefore tested at the packet level, from KindIngress to the agent's
// decision.
//
// # Delays and faults
//
// Packets between callers and zones are delayed by the one-way latency in the settings. Packets
// between balancers and agents do not pass through the stand-in and have the latency of loopback.
// Loss, duplication, reordering and zone cuts are set at the control endpoint; see ControlHandler.
//
// Module provides *Fabric and *Machines and needs settings.Settings, *process.Tasks,
// *process.Readiness, *prometheus.Registry and *zap.Logger.
package fabric
