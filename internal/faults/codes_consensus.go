package faults

import "net/http"

// Codes of consensus.
const (
	// NotLeader: this member is not the leader; nothing was proposed.
	NotLeader Code = 3001
	// ProposalOutcomeUnknown: the proposal may or may not be committed.
	ProposalOutcomeUnknown Code = 3002
	// ProposalReplaced: another leader's entry replaced the proposal in the log.
	ProposalReplaced Code = 3003
	// LeadershipUnconfirmed: a read could not be confirmed by a quorum.
	LeadershipUnconfirmed Code = 3004
	// LearnerBehind: the learner has not caught up.
	LearnerBehind Code = 3005
	// MembershipChangePending: the previous membership change is not committed.
	MembershipChangePending Code = 3006
	// UnknownMember: there is no such member.
	UnknownMember Code = 3007
	// LastVoter: the last voter cannot be removed.
	LastVoter Code = 3008
	// MemberStopped: this member has stopped and accepts no requests.
	MemberStopped Code = 3009
	// DiskNotMember: this member's disk is empty and the group has no place for it.
	DiskNotMember Code = 3010
	// NoSuccessor: no voter can take over leadership.
	NoSuccessor Code = 3011
	// ProposalsFull: too many proposals are waiting to be committed.
	ProposalsFull Code = 3012
	// CommandTooLarge: a command exceeds the size limit.
	CommandTooLarge Code = 3013
)

var consensusDefinitions = []Definition{
	{Code: NotLeader, Name: "NotLeader", Meaning: "This member does not lead the control group; nothing was proposed.", Action: "Send the request to the leader, or again after an election.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: ProposalOutcomeUnknown, Name: "ProposalOutcomeUnknown", Meaning: "The change was proposed, and whether it is committed is not known here.", Action: "Send the same request with the same Idempotency-Key again; it is applied at most once.", HTTPStatus: http.StatusGatewayTimeout, Ran: RanUnknown},
	{Code: ProposalReplaced, Name: "ProposalReplaced", Meaning: "Another leader's entry took the proposal's place in the log; the change was not and will not be applied.", Action: "Send the request again.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: LeadershipUnconfirmed, Name: "LeadershipUnconfirmed", Meaning: "No quorum confirmed this leader, so a read could be out of date.", Action: "Read again, at another member if this one stays cut off.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: LearnerBehind, Name: "LearnerBehind", Meaning: "The learner has not caught up with the log and cannot become a voter yet.", Action: "Wait until it has caught up and promote it again.", HTTPStatus: http.StatusConflict, Ran: RanNo},
	{Code: MembershipChangePending, Name: "MembershipChangePending", Meaning: "The previous membership change is not committed yet.", Action: "Wait and send the change again.", HTTPStatus: http.StatusConflict, Ran: RanNo},
	{Code: UnknownMember, Name: "UnknownMember", Meaning: "The control group has no such member.", Action: "List the members and correct the ID.", HTTPStatus: http.StatusNotFound, Ran: RanNo},
	{Code: LastVoter, Name: "LastVoter", Meaning: "The last voter cannot be removed.", Action: "Add and promote another member first.", HTTPStatus: http.StatusConflict, Ran: RanNo},
	{Code: MemberStopped, Name: "MemberStopped", Meaning: "This member has stopped and takes no requests.", Action: "Use another member; look at this one's ring file for the cause.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: DiskNotMember, Name: "DiskNotMember", Meaning: "This member's disk is empty and the group has no free place for it. It must not vote under its former ID.", Action: "Remove the former member and add a learner with this node's name; the process then joins by itself.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: NoSuccessor, Name: "NoSuccessor", Meaning: "No other voter answers, so leadership cannot be handed over.", Action: "Check the other members.", HTTPStatus: http.StatusConflict, Ran: RanNo},
	{Code: ProposalsFull, Name: "ProposalsFull", Meaning: "Too many changes wait to be committed; this one was not proposed.", Action: "Send the request again later.", HTTPStatus: http.StatusTooManyRequests, Ran: RanNo},
	{Code: CommandTooLarge, Name: "CommandTooLarge", Meaning: "The change is larger than the log takes; it was not proposed.", Action: "Split the change.", HTTPStatus: http.StatusRequestEntityTooLarge, Ran: RanNo},
}
