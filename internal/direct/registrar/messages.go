// Package registrar is the control plane of direct services. It accepts targets' registrations
// and operators' declarations at any member, commits durable changes through the leader, keeps
// renewals in memory, and detects failed targets.
//
// A change is acknowledged only once a majority of members has stored it durably. A member
// without a confirmed quorum refuses calls, so that callers go to another member.
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
	// Correlation matches the reply to the request.
	Correlation uint64
	Command     []byte
}

// ReadRequest asks the leader for a revision that includes every change committed before.
type ReadRequest struct {
	Correlation uint64
}

// Reply answers a ProposeRequest or a ReadRequest.
type Reply struct {
	Correlation uint64
	// Result is the encoded result of a proposal.
	Result []byte
	// Revision is the directory's revision at the leader.
	Revision model.Revision
	// Code and Text state why the request failed; Code is zero on success.
	Code faults.Code
	Text string
}

// Renewal states that a target renewed.
type Renewal struct {
	ID directory.TargetID
	// Ago is how long before the message was sent the target renewed.
	Ago time.Duration
}

// Renewals lists targets that renewed at the sender, or whose renewals were forwarded to it.
type Renewals struct {
	Targets []Renewal
}

func init() {
	protocol.RegisterAs("dp", ProposeRequest{})
	protocol.RegisterAs("dr", ReadRequest{})
	protocol.RegisterAs("da", Reply{})
	protocol.RegisterAs("dn", Renewals{})
}
