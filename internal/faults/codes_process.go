package faults

// Codes of running a process; processDefinitions has their meanings.
const (
	CodeAddressInUse Code = 9001
	CodeTaskFailed   Code = 9002
)

var processDefinitions = []Definition{
	{
		Code:    CodeAddressInUse,
		Name:    "AddressInUse",
		Meaning: "A listen address could not be taken, most often because another process has it.",
		Action:  "End the other process or change the address in the settings; nothing was changed on disk.",
	},
	{
		Code:    CodeTaskFailed,
		Name:    "TaskFailed",
		Meaning: "A part of the process failed, so the whole process stopped.",
		Action:  "Read the newest ring file under the data folder's rings; restart the process.",
	},
}
