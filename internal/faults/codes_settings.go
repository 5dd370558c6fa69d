package faults

// Codes of settings files and the command line; settingsDefinitions has their meanings.
const (
	CodeSettingsUnreadable Code = 1001
	CodeSettingsUnknownKey Code = 1002
	CodeSettingsInvalid    Code = 1003
	CodeUsage              Code = 1004
)

var settingsDefinitions = []Definition{
	{
		Code:    CodeSettingsUnreadable,
		Name:    "SettingsUnreadable",
		Meaning: "The settings file could not be read, or is not YAML.",
		Action:  "Correct the path or the line that the message names; nothing was started.",
	},
	{
		Code:    CodeSettingsUnknownKey,
		Name:    "SettingsUnknownKey",
		Meaning: "The settings have a key that no process knows, or a value of the wrong type.",
		Action:  "Correct the key or value that the message names; docs/CONFIG.md lists all keys.",
	},
	{
		Code:    CodeSettingsInvalid,
		Name:    "SettingsInvalid",
		Meaning: "A setting is missing or outside its range.",
		Action:  "Correct each field that the message names; docs/CONFIG.md gives the ranges.",
	},
	{
		Code:    CodeUsage,
		Name:    "Usage",
		Meaning: "The command line was not understood.",
		Action:  "Run the command with --help.",
	},
}
