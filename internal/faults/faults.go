// Package faults is the catalogue of numbered errors. Each code has a name, a
// meaning, an action for the operator or caller and, for refused requests, whether
// the request ran. docs/ERRORS.md is generated from the catalogue; a test keeps the
// two equal.
//
// Ranges: 1000 settings and command line, 2000 storage, 3000 consensus,
// 4000 administration and state, 5000 packets and routing, 6000 requests,
// 7000 transport, membership and rollout, 8000 direct services, 9000 process.
package faults

import (
	"net/http"

	"github.com/ansel1/merry/v2"
)

// Code is the number of an error; zero means that an error has none.
type Code int

// Ran states whether a refused request was run.
type Ran string

// The values of Ran.
const (
	RanNo            Ran = "no"
	RanUnknown       Ran = "unknown"
	RanNotApplicable Ran = ""
)

// Definition is one row of the catalogue.
type Definition struct {
	Code    Code
	Name    string
	Meaning string
	// Action is what the operator or caller should do.
	Action string
	// HTTPStatus is the status of an HTTP answer with this code, or zero if no such answer
	// exists.
	HTTPStatus int
	Ran        Ran
}

type codeKey struct{}

// New returns an error with a code and a formatted message.
func New(code Code, format string, arguments ...any) error {
	return merry.Wrap(merry.Errorf(format, arguments...), merry.WithValue(codeKey{}, code))
}

// CodeOf returns the code of err, or zero when it has none.
func CodeOf(err error) Code {
	code, _ := merry.Value(err, codeKey{}).(Code)
	return code
}

// Lookup returns the definition of code, and reports whether there is one.
func Lookup(code Code) (Definition, bool) {
	for _, definition := range Catalogue() {
		if definition.Code == code {
			return definition, true
		}
	}
	return Definition{}, false
}

// StatusOf returns the HTTP status for err, which is 500 if err has no code or its code
// no status.
func StatusOf(err error) int {
	definition, known := Lookup(CodeOf(err))
	if !known || definition.HTTPStatus == 0 {
		return http.StatusInternalServerError
	}
	return definition.HTTPStatus
}

// Catalogue returns all definitions, grouped by the ranges of their codes.
func Catalogue() []Definition {
	var all []Definition
	groups := [][]Definition{
		settingsDefinitions,
		storageDefinitions,
		consensusDefinitions,
		administrationDefinitions,
		directDefinitions,
		packetDefinitions,
		requestDefinitions,
		transportDefinitions,
		processDefinitions,
	}
	for _, group := range groups {
		all = append(all, group...)
	}
	return all
}
