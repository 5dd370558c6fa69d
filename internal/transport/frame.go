package transport

import (
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// frame is one value of the gob stream of a connection. A frame without fields is a keepalive.
type frame struct {
	// Hello identifies the sender. It is the first frame in each direction.
	Hello *hello
	// Refusal is the last frame before the sender closes the connection.
	Refusal *refusal
	// Envelope is one message.
	Envelope *protocol.Envelope
}

// hello identifies a process that opened or accepted a connection. On a TLS connection it must match
// the process's certificate.
type hello struct {
	Name model.NodeName
	Role model.Role
}

// refusal tells a peer why its connection is refused.
type refusal struct {
	Code faults.Code
	Text string
}

// acceptedRoles has, for each role, the roles from which it accepts connections.
var acceptedRoles = map[model.Role][]model.Role{
	model.RoleControl: {model.RoleControl, model.RoleRelay, model.RoleBalancer},
	model.RoleRelay:   {model.RoleBalancer, model.RoleAgent, model.RoleRelay},
	// Balancers of direct services forward their feed to other balancers.
	model.RoleBalancer: {model.RoleBalancer},
}

// accepts reports whether a process of role server accepts connections from processes of role
// client.
func accepts(server, client model.Role) bool {
	for _, role := range acceptedRoles[server] {
		if role == client {
			return true
		}
	}
	return false
}

// maySend reports whether a process of the role may send the message. Only relays may send reports,
// and only relays and control may forward messages. Otherwise a node could send messages in the name
// of other nodes.
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
