package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// packet is a caller's packet, as fields instead of bytes.
type packet struct {
	flow  checker.FlowID
	tuple model.FiveTuple
	// intended is the service that had the address when the packet was sent.
	intended model.ServiceID
	opening  bool
	sequence uint64
	// closing is true if the caller ends the flow.
	closing bool
	request *requestPayload
}

// requestPayload is a caller's request, as carried by a packet.
type requestPayload struct {
	attempt     checker.AttemptID
	key         string
	fingerprint uint64
	class       model.RequestClass
	deadline    time.Time
}

// forwardedPacket is a packet on its way from a balancer along a chain of targets. Its fields from
// service to passerLoad are inputs of steering and are described at steering.Input.
type forwardedPacket struct {
	packet     packet
	service    model.ServiceID
	revision   model.Revision
	opening    bool
	chain      []model.TargetID
	position   int
	stage      model.Stage
	passes     uint8
	passerLoad uint16
	balancer   model.NodeName
}

// hint is an agent's message to a balancer about which target owns a flow.
type hint struct {
	tuple model.FiveTuple
	owner model.TargetID
}

// answerKind is the kind of an answer to a packet.
type answerKind uint8

const (
	// answerEcho acknowledges a packet of a flow.
	answerEcho answerKind = iota + 1
	// answerReset means that no target owns the flow.
	answerReset
	// answerResponse carries the back end's answer to a request.
	answerResponse
	// answerRefusal means that a request was not run.
	answerRefusal
	// answerUnknown means that a request may have run.
	answerUnknown
	// answerInProgress means that another attempt of the request is running.
	answerInProgress
)

// answer is an agent's message to a caller.
type answer struct {
	flow     checker.FlowID
	kind     answerKind
	sequence uint64
	attempt  checker.AttemptID
	// executedAttempt is the attempt whose run produced the response. It differs from attempt if the
	// recorded outcome of another attempt is sent.
	executedAttempt checker.AttemptID
	// complete is true if a response has its full length.
	complete          bool
	retryAfter        time.Duration
	targetIncarnation checker.TargetIncarnation
}
