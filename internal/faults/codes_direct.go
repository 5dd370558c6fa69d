package faults

import "net/http"

// Codes of direct services: declared configuration, target registration and
// the packets that balancers send to targets without an agent.
const (
	// ConfigurationInvalid: a declared configuration breaks a rule.
	ConfigurationInvalid Code = 8001
	// RegistrationInvalid: a target's registration breaks a rule.
	RegistrationInvalid Code = 8002
	// QuorumUnconfirmed: this member has not heard from a leader with a quorum recently.
	QuorumUnconfirmed Code = 8003
	// ForwardTimeout: the leader did not answer a forwarded request in time.
	ForwardTimeout Code = 8004
	// SegmentMalformed: a caller's packet cannot be read.
	SegmentMalformed Code = 8005
	// LogUnreadable: a log file cannot be read.
	LogUnreadable Code = 8006
	// ZoneOrderInvalid: an order to evacuate a zone, or to end its evacuation, names no valid zone.
	ZoneOrderInvalid Code = 8007
	// ZoneOrdersFull: the largest number of zones is already evacuated.
	ZoneOrdersFull Code = 8008
)

var directDefinitions = []Definition{
	{Code: ConfigurationInvalid, Name: "ConfigurationInvalid", Meaning: "A declared configuration breaks a rule; nothing of it was taken.", Action: "Correct the named field and send the whole configuration again.", HTTPStatus: http.StatusUnprocessableEntity, Ran: RanNo},
	{Code: RegistrationInvalid, Name: "RegistrationInvalid", Meaning: "A target's registration lacks a field or contradicts an earlier one.", Action: "Correct the named field.", HTTPStatus: http.StatusUnprocessableEntity, Ran: RanNo},
	{Code: QuorumUnconfirmed, Name: "QuorumUnconfirmed", Meaning: "This member has not heard from a leader with a quorum lately, so it takes and answers nothing.", Action: "Use another member; look for a cut or a loss of members.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
	{Code: ForwardTimeout, Name: "ForwardTimeout", Meaning: "The leader did not answer in time; whether the change is committed is not known here.", Action: "Send the same request again; it is applied at most once.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanUnknown},
	{Code: SegmentMalformed, Name: "SegmentMalformed", Meaning: "A caller's packet is cut short or its lengths disagree.", Action: "None; it was dropped and counted."},
	{Code: LogUnreadable, Name: "LogUnreadable", Meaning: "A log file cannot be read.", Action: "Name files that hold the structured lines of the processes."},
	{Code: ZoneOrderInvalid, Name: "ZoneOrderInvalid", Meaning: "An order to empty a zone, or to take it back, names no zone or one whose name is too long.", Action: "Name the zone as targets state it.", HTTPStatus: http.StatusUnprocessableEntity, Ran: RanNo},
	{Code: ZoneOrdersFull, Name: "ZoneOrdersFull", Meaning: "As many zones are evacuated as may be at a time; nothing was changed.", Action: "List the evacuated zones and end those that are not meant.", HTTPStatus: http.StatusServiceUnavailable, Ran: RanNo},
}
