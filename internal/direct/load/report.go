package load

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/protocol"
)

// Scope tells whose open requests a report has.
type Scope uint8

// The scopes.
const (
	// ScopeBalancer: those of the balancer that sends the report.
	ScopeBalancer Scope = iota
	// ScopeFollowers: those of the balancers that report to the member which
	// sends the report to other members.
	ScopeFollowers
	// ScopeSystem: those of all balancers that are known to the member which
	// sends the report to its balancers.
	ScopeSystem
)

// Report tells another node of open requests. It replaces the sender's report
// before it; targets that it does not name have none.
type Report struct {
	Scope   Scope
	Entries Entries
	// Wanted tells that the sender itself finds that the load should be shared.
	Wanted bool
	// Serving has the serving times of services, as the balancer saw them or as the
	// member's balancers did in the median; none in most reports, which changes nothing.
	Serving []ServingTime
	// Pause is how long balancers are to wait between two reports; set with
	// ScopeSystem.
	Pause time.Duration
}

func init() { protocol.RegisterAs("dl", Report{}) }

// Entry has the open requests at one target.
type Entry struct {
	Token directory.Token
	Open  int
}

// Entries are the open requests at targets. In reports they are in the ascending
// order of their tokens.
type Entries []Entry

func (entries Entries) sort() {
	slices.SortFunc(entries, func(left, right Entry) int { return cmp.Compare(left.Token, right.Token) })
}

// maximumOpen is the largest count that is believed.
const maximumOpen = 1 << 20

// sound returns the entries that another node can mean.
func (entries Entries) sound() Entries {
	return slices.DeleteFunc(entries, func(entry Entry) bool {
		return entry.Token == 0 || entry.Open <= 0 || entry.Open > maximumOpen
	})
}

// without returns the entries less those of a part of them. Both are in the order
// of their tokens. The part may be newer, so that no count falls below zero.
func (entries Entries) without(part Entries) Entries {
	rest := make(Entries, 0, len(entries))
	for _, entry := range entries {
		for len(part) > 0 && part[0].Token < entry.Token {
			part = part[1:]
		}
		if len(part) > 0 && part[0].Token == entry.Token {
			entry.Open -= part[0].Open
		}
		if entry.Open > 0 {
			rest = append(rest, entry)
		}
	}
	return rest
}

var errEntries = errors.New("the entries cannot be read")

// MarshalBinary implements encoding.BinaryMarshaler, which gob uses: for each
// entry the distance of its token from the one before, and the count, as
// variable-length numbers. It takes about two bytes a target.
func (entries Entries) MarshalBinary() ([]byte, error) {
	content := make([]byte, 0, 2*len(entries))
	before := directory.Token(0)
	for _, entry := range entries {
		if entry.Token < before || entry.Open < 0 {
			return nil, errEntries
		}
		content = binary.AppendUvarint(content, uint64(entry.Token-before))
		content = binary.AppendUvarint(content, uint64(entry.Open))
		before = entry.Token
	}
	return content, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (entries *Entries) UnmarshalBinary(content []byte) error {
	*entries = nil
	token := uint64(0)
	for len(content) > 0 {
		gap, gapBytes := binary.Uvarint(content)
		if gapBytes <= 0 {
			return errEntries
		}
		open, openBytes := binary.Uvarint(content[gapBytes:])
		token += gap
		if openBytes <= 0 || open > maximumOpen || gap > maximumToken || token > maximumToken {
			return errEntries
		}
		content = content[gapBytes+openBytes:]
		*entries = append(*entries, Entry{Token: directory.Token(token), Open: int(open)})
	}
	return nil
}

// maximumToken is the largest token.
const maximumToken = uint64(^directory.Token(0))
