package faults

import "fmt"

// Describe returns a description of err for an operator: its code and name, the
// error message, the meaning of the code, and what to do.
func Describe(err error) string {
	definition, known := Lookup(CodeOf(err))
	if !known {
		return fmt.Sprintf("error: %v", err)
	}
	return fmt.Sprintf("error %d %s: %v\n  meaning: %s\n  what to do: %s",
		definition.Code, definition.Name, err, definition.Meaning, definition.Action)
}
