package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// packet is one caller's packet, without bytes.
type packet struct {
	flow  checker.FlowID
	tuple model.FiveTuple
	// intended is the service that had the address when the packet was sent.
	intended model.ServiceID
	opening  bool
	sequence uint64
	// closing tells that the caller ends the flow.
	closing bool
	request *request
}

// request is one request of a caller, as carried by packets.
type request struct {
	attempt     checker.AttemptID
	key         string
	fingerprint uint64
	class       model.RequestClass
	deadline    time.Time
}

// forwarded is a packet on its way from a balancer along a chain of targets.
type forwarded struct {
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

// hint tells a balancer which target owns a flow.
type hint struct {
	tuple model.FiveTuple
	owner model.TargetID
}

// answerKind tells what an answer to a packet says.
type answerKind uint8

const (
	// answerEcho acknowledges a packet of a flow.
	answerEcho answerKind = iota + 1
	// answerReset tells that no target owns the flow.
	answerReset
	// answerResponse carries the back end's answer to a request.
	answerResponse
	// answerRefusal tells that a request was not run.
	answerRefusal
	// answerUnknown tells that a request may have run.
	answerUnknown
	// answerInProgress tells that another attempt of the request runs.
	answerInProgress
)

// answer travels from an agent to a caller.
type answer struct {
	flow     checker.FlowID
	kind     answerKind
	sequence uint64
	attempt  checker.AttemptID
	// of is the attempt whose run the answer tells of.
	of checker.AttemptID
	// whole tells that a response has its full length.
	whole      bool
	retryAfter time.Duration
	place      checker.TargetIncarnation
}
