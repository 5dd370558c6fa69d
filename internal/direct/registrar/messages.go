// Package registrar is the control side of direct services: it takes targets'
// registrations and operators' declarations at any member, commits through the
// leader what must be durable, keeps renewals in memory, and finds dead
// targets.
//
// A change is acknowledged only once a majority of members holds it durably.
// A member that knows of no confirmed quorum takes nothing, so that callers go
// on to another member.
package registrar

import (
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	// Correlation pairs the reply with the request.
	Correlation uint64
	Command     []byte
}

// ReadRequest asks the leader for the revision that holds every change that
// was committed before.
type ReadRequest struct {
	Correlation uint64
}

// Reply answers a ProposeRequest or a ReadRequest.
type Reply struct {
	Correlation uint64
	// Result is a proposal's encoded result.
	Result []byte
	// Revision is the directory's revision at the leader.
	Revision model.Revision
	// Code and Text tell why the request failed; Code is zero otherwise.
	Code faults.Code
	Text string
}

// Renewal tells that a target was heard from.
type Renewal struct {
	ID directory.TargetID
	// Ago is how long before the message the target was heard from.
	Ago time.Duration
}

// Renewals tells the leader which targets renewed at this member.
type Renewals struct {
	Targets []Renewal
}

func init() {
	protocol.RegisterAs("dp", ProposeRequest{})
	protocol.RegisterAs("dr", ReadRequest{})
	protocol.RegisterAs("da", Reply{})
	protocol.RegisterAs("dn", Renewals{})
}
