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

// Scope identifies whose open requests a report contains.
type Scope uint8

// The scopes.
const (
	// ScopeBalancer: those of the balancer that sends the report.
	ScopeBalancer Scope = iota
	// ScopeFollowers: those of all balancers that report to the sending member. Members send
	// these reports to each other.
	ScopeFollowers
	// ScopeSystem: those of all balancers known to the sending member. Members send these
	// reports to their balancers.
	ScopeSystem
)

// Report contains open requests by target. It replaces the sender's previous report; targets that
// it does not list have no open requests.
type Report struct {
	Scope   Scope
	Entries Entries
	// Wanted reports whether the sender's own utilization calls for load sharing. It is always
	// set with ScopeSystem, because these reports are only sent while load sharing is active.
	Wanted bool
	// Serving holds service times by service: those that a balancer observed, or the medians
	// over a member's balancers. It is empty in most reports; the receiver then keeps the
	// previous ones.
	Serving []ServingTime
	// Pause is the time that balancers are to leave between two reports. Set only with
	// ScopeSystem.
	Pause time.Duration
}

func init() { protocol.RegisterAs("dl", Report{}) }

// Entry is the number of open requests at one target.
type Entry struct {
	Token directory.Token
	Open  int
}

// Entries are the open requests by target. In reports they are sorted by token in ascending
// order.
type Entries []Entry

func (entries Entries) sort() {
	slices.SortFunc(entries, func(left, right Entry) int { return cmp.Compare(left.Token, right.Token) })
}

// maxOpen is the largest count that is accepted from another node.
const maxOpen = 1 << 20

// valid removes the entries that no correct node sends. It modifies entries in place.
func (entries Entries) valid() Entries {
	return slices.DeleteFunc(entries, func(entry Entry) bool {
		return entry.Token == 0 || entry.Open <= 0 || entry.Open > maxOpen
	})
}

// subtract returns entries minus the counts in part. Both must be sorted by token. Because part
// may be more recent than entries, a count that would be negative becomes zero.
func (entries Entries) subtract(part Entries) Entries {
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

var errInvalidEntries = errors.New("load report entries are out of order, out of range or truncated")

// MarshalBinary implements encoding.BinaryMarshaler, which gob uses. Each entry is encoded as two
// unsigned varints: the difference between its token and the previous token, and the count. That
// takes about two bytes per target.
func (entries Entries) MarshalBinary() ([]byte, error) {
	content := make([]byte, 0, 2*len(entries))
	previous := directory.Token(0)
	for _, entry := range entries {
		if entry.Token < previous || entry.Open < 0 {
			return nil, errInvalidEntries
		}
		content = binary.AppendUvarint(content, uint64(entry.Token-previous))
		content = binary.AppendUvarint(content, uint64(entry.Open))
		previous = entry.Token
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
			return errInvalidEntries
		}
		open, openBytes := binary.Uvarint(content[gapBytes:])
		token += gap
		if openBytes <= 0 || open > maxOpen || gap > maxToken || token > maxToken {
			return errInvalidEntries
		}
		content = content[gapBytes+openBytes:]
		*entries = append(*entries, Entry{Token: directory.Token(token), Open: int(open)})
	}
	return nil
}

// maxToken is the largest token.
const maxToken = uint64(^directory.Token(0))
