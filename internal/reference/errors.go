// Package reference generates the reference pages docs/ERRORS.md and docs/CONFIG.md from the code.
// Tests check that the committed pages are up to date.
package reference

import (
	"fmt"
	"strconv"
	"strings"

	"merlinpaddle/internal/faults"
)

const errorsHeader = `# Error codes

Every error of the system has a number. This page is generated from the code by
` + "`merlinpaddle reference errors`" + `; a test keeps the two equal.

*Ran* states, for refused requests, whether the request was run: "no" means that
it was not, "unknown" means that it may have been, so the system never sends it
again.

| code | name | HTTP status | ran | meaning | what to do |
|---|---|---|---|---|---|
`

// Errors returns the reference page of error codes.
func Errors() string {
	var page strings.Builder
	page.WriteString(errorsHeader)
	for _, definition := range faults.Catalogue() {
		status := "-"
		if definition.HTTPStatus != 0 {
			status = strconv.Itoa(definition.HTTPStatus)
		}
		ran := "-"
		if definition.Ran != faults.RanNotApplicable {
			ran = string(definition.Ran)
		}
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s | %s |\n",
			definition.Code, definition.Name, status, ran, definition.Meaning, definition.Action)
	}
	return page.String()
}
