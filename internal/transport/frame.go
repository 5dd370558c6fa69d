package transport

import (
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// frame is one value of the stream. A frame without any field set is a
// keepalive.
type frame struct {
	// Hello introduces the sender; it is the first frame of each direction.
	Hello *hello
	// Refusal is the last frame before the sender closes the connection.
	Refusal *refusal
	// Envelope is one message.
	Envelope *protocol.Envelope
}

// hello tells who opened or accepted the connection. On TLS connections it
// must equal the certificate.
type hello struct {
	Name model.NodeName
	Role model.Role
}

// refusal tells a peer why it may not connect.
type refusal struct {
	Code faults.Code
	Text string
}

// servedRoles lists, for each role, the roles that may connect to it.
var servedRoles = map[model.Role][]model.Role{
	model.RoleControl: {model.RoleControl, model.RoleRelay, model.RoleBalancer},
	model.RoleRelay:   {model.RoleBalancer, model.RoleAgent, model.RoleRelay},
	// Balancers of direct services pass their feed on.
	model.RoleBalancer: {model.RoleBalancer},
}

// serves tells whether a process of role server accepts one of role client.
func serves(server, client model.Role) bool {
	for _, role := range servedRoles[server] {
		if role == client {
			return true
		}
	}
	return false
}

// maySend tells whether a process of the role may send the message. Only
// relays report, and only they and control pass messages on: a node that could
// would speak for others.
func maySend(role model.Role, message any) bool {
	switch message.(type) {
	case protocol.Report:
		return role == model.RoleRelay
	case protocol.Passed:
		return role == model.RoleRelay || role == model.RoleControl
	default:
		return true
	}
}
