// Package relay implements the relay role, which connects the nodes of a zone (balancers and
// agents) to control. A relay holds the configuration and the latest deltas and sends them to its
// nodes, aggregates the nodes' heartbeats into one stream of reports to control, and forwards
// claims and replies between agents and the control leader. It keeps no durable state.
//
// Leases: the control leader answers each report with a grant, whose duration the relay counts
// from the moment at which it sent the report. The relay extends a node's lease at most to the end
// of a grant, only by a grant that was made when control already knew the node, and only if the
// node runs at least the revision that the grant confirms. A relay that is disconnected from
// control gets no grants, and its acknowledgements show its nodes that it is not current.
//
// The upstream of a relay may be another relay, which sends it the configuration and forwards its
// reports and claims. Control still tracks each relay, and grants to it, individually.
package relay
