package world

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/relay"
	"merlinpaddle/internal/sim/kernel"
)

const (
	// relayInterval is the time between two periodic runs of a relay's controllers.
	relayInterval  = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
)

// messageEnvelope is a message between processes.
type messageEnvelope = protocol.Envelope

// relayNode simulates one relay: the product's controller on a simulated process.
type relayNode struct {
	world      *World
	process    *kernel.Process
	controller *relay.Controller
}

func newRelayNode(world *World, name model.NodeName, zone model.ZoneName) *relayNode {
	created := &relayNode{world: world}
	created.process = world.host.Add(kernel.Endpoint{Name: name, Zone: zone}, relayInterval, created.build)
	return created
}

// build starts a new incarnation with empty state.
func (node *relayNode) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	dispatcher := protocol.NewDispatcher(mailbox)
	node.controller = relay.NewController(relay.Options{
		Self:           node.process.Name,
		Zone:           node.process.Zone,
		Incarnation:    incarnation,
		Control:        node.world.memberNames(),
		ReportInterval: reportInterval,
	}, mailbox, dispatcher)
	return kernel.Program{Mailbox: mailbox, Controllers: []board.Controller{dispatcher, node.controller}}
}
