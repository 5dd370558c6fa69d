package load

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
)

// entriesInOrder returns sorted entries built from the gaps between their tokens and their counts.
func entriesInOrder(gaps, counts []uint8) Entries {
	var entries Entries
	token := directory.Token(0)
	for index := range min(len(gaps), len(counts)) {
		token += directory.Token(gaps[index]) + 1
		entries = append(entries, Entry{Token: token, Open: int(counts[index]) + 1})
	}
	return entries
}

// openOf returns the open requests that the entries list for a target.
func openOf(entries Entries, token directory.Token) int {
	for _, entry := range entries {
		if entry.Token == token {
			return entry.Open
		}
	}
	return 0
}

func TestEntriesProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	small := gen.SliceOf(gen.UInt8Range(0, 5))
	properties.Property("entries are unchanged by encoding and decoding", prop.ForAll(func(gaps, counts []uint8) bool {
		sent := Report{Scope: ScopeSystem, Entries: entriesInOrder(gaps, counts)}
		var buffer bytes.Buffer
		var got Report
		if gob.NewEncoder(&buffer).Encode(sent) != nil || gob.NewDecoder(&buffer).Decode(&got) != nil {
			return false
		}
		return len(got.Entries) == len(sent.Entries) && got.Entries.equal(sent.Entries)
	}, small, small))
	properties.Property("subtract returns the difference, never below zero", prop.ForAll(
		func(gaps, counts, partGaps, partCounts []uint8) bool {
			all, part := entriesInOrder(gaps, counts), entriesInOrder(partGaps, partCounts)
			rest := all.subtract(part)
			for _, entry := range all {
				if openOf(rest, entry.Token) != max(entry.Open-openOf(part, entry.Token), 0) {
					return false
				}
			}
			for _, entry := range rest {
				if openOf(all, entry.Token) == 0 || entry.Open <= 0 {
					return false
				}
			}
			return true
		}, small, small, small, small))
	properties.TestingRun(t)
}

func TestEncodingTakesTwoBytesPerTarget(t *testing.T) {
	var entries Entries
	for token := directory.Token(1); token <= 600; token++ {
		entries = append(entries, Entry{Token: token, Open: 9})
	}
	content, err := entries.MarshalBinary()
	require.NoError(t, err)
	require.Len(t, content, 2*len(entries))
}

func TestInvalidEntriesAreRejected(t *testing.T) {
	_, err := Entries{{Token: 3, Open: 1}, {Token: 2, Open: 1}}.MarshalBinary()
	require.Error(t, err, "out of order")
	_, err = Entries{{Token: 3, Open: -1}}.MarshalBinary()
	require.Error(t, err, "a count below zero")
	for name, content := range map[string][]byte{
		"a token without a count": {1},
		"a truncated number":      {0x80},
		"a token out of bounds":   {0xff, 0xff, 0xff, 0xff, 0x1f, 1},
		"a sum out of bounds":     {0xff, 0xff, 0xff, 0xff, 0x0f, 1, 1, 1},
		"a count out of bounds":   {1, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"a number that overflows": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var entries Entries
			require.Error(t, entries.UnmarshalBinary(content))
		})
	}
}

func (entries Entries) equal(other Entries) bool {
	for index := range entries {
		if entries[index] != other[index] {
			return false
		}
	}
	return true
}
