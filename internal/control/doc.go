// Package control runs a member of the control group. It connects the replicated state with the
// administration API, the distribution of the configuration to relays, the membership of nodes, and
// the claims of agents.
//
// Every member distributes the configuration that it has applied. Only the leader grants leases,
// decides which targets are dead or alive, and proposes claims; the other members answer claims as
// unavailable.
package control
