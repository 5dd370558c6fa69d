package faults

// Codes of links between processes, keys, membership and rollout; transportDefinitions has their
// meanings.
const (
	CodeKeysUnreadable   Code = 7001
	CodeKeysInvalid      Code = 7002
	CodeRoleRefused      Code = 7003
	CodeSenderRefused    Code = 7004
	CodeKeysExist        Code = 7005
	CodeLinkBroken       Code = 7006
	CodeHelloRefused     Code = 7007
	CodeRelaysMissing    Code = 7008
	CodeMembersMissing   Code = 7009
	CodeProcessNameWrong Code = 7010
)

var transportDefinitions = []Definition{
	{
		Code:    CodeKeysUnreadable,
		Name:    "KeysUnreadable",
		Meaning: "A certificate, key or authority file could not be read or parsed.",
		Action:  "Correct the path in the setting keys, or make the files again with merlinpaddle keys init.",
	},
	{
		Code:    CodeKeysInvalid,
		Name:    "KeysInvalid",
		Meaning: "A certificate does not belong to this process: another name, another role, another authority, or out of date.",
		Action:  "Give the process the files that keys init made for its name and role; check the machine's date.",
	},
	{
		Code:    CodeRoleRefused,
		Name:    "RoleRefused",
		Meaning: "A process tried to connect to a process that does not serve its role.",
		Action:  "Correct the peer's address in the settings of the process that connects.",
	},
	{
		Code:    CodeSenderRefused,
		Name:    "SenderRefused",
		Meaning: "A message named another sender than the certificate of its connection; the connection was closed.",
		Action:  "Look for a process with a copied settings file, or for an intruder.",
	},
	{
		Code:    CodeKeysExist,
		Name:    "KeysExist",
		Meaning: "keys init found files where it would write; nothing was overwritten.",
		Action:  "Choose another folder, or remove the old files if they are not in use.",
	},
	{
		Code:    CodeLinkBroken,
		Name:    "LinkBroken",
		Meaning: "A connection between two processes failed; it is made again with growing delays.",
		Action:  "None if it heals; otherwise check that the peer runs and that its address is right.",
	},
	{
		Code:    CodeHelloRefused,
		Name:    "HelloRefused",
		Meaning: "The first message of a connection was not a valid introduction of a process.",
		Action:  "Check that the address is a control address of the same version of merlinpaddle.",
	},
	{
		Code:    CodeRelaysMissing,
		Name:    "RelaysMissing",
		Meaning: "The settings of a balancer or agent name no relay.",
		Action:  "List the relays in order of preference, those of the own zone first.",
	},
	{
		Code:    CodeMembersMissing,
		Name:    "MembersMissing",
		Meaning: "The settings of a relay or control member name no control members, or not this member itself.",
		Action:  "List the control members under control.members or relay.control.",
	},
	{
		Code:    CodeProcessNameWrong,
		Name:    "ProcessNameWrong",
		Meaning: "keys init was given a process that is not of the form role=name or role=name@address.",
		Action:  "Use one of the roles control, relay, balancer, agent and a name as in the process's settings.",
	},
}
