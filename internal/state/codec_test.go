package state

import (
	"bytes"
	"encoding/gob"
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/protocol"
)

// writeDictionary writes the dictionary for a new format:
//
//	go test ./internal/state -run TestDictionaryCompressesClaims -write-dictionary
var writeDictionary = flag.Bool("write-dictionary", false, "write command.dictionary")

func exampleClaim() Claim {
	return Claim{Request: protocol.ClaimRequest{
		Correlation: 4711, Fingerprint: 0xfedcba9876543210, Agent: "bookings-1", Incarnation: 1764659000000000000,
		Key: protocol.ClaimKey{Tenant: "teranga", Service: "bookings", Key: "0d7c3e5a-6a3c-4c1b-9b1e-2f5a8c7d9e0f"},
	}}
}

func exampleOutcome() CompleteClaim {
	claim := exampleClaim().Request
	return CompleteClaim{Outcome: protocol.ClaimOutcome{
		Correlation: claim.Correlation, Key: claim.Key, Agent: claim.Agent, Incarnation: claim.Incarnation,
		Status: 200, ContentType: "application/json", Body: []byte(`{"booking":"b-20931","seats":2}`),
	}}
}

// TestDictionaryCompressesClaims checks that the dictionary contains the type
// descriptions of claims and outcomes: compressed, they must be less than half as long.
func TestDictionaryCompressesClaims(t *testing.T) {
	// The most frequent commands come last, where references from the compressed data
	// are shortest.
	examples := []Command{PutTenant{}, DrainTarget{}, PutService{}, ReportEmpty{}, ObserveTargets{}, CompleteClaim{}, Claim{}}
	if *writeDictionary {
		var dictionary bytes.Buffer
		for _, example := range examples {
			plain, err := encodePlain(example)
			require.NoError(t, err)
			dictionary.Write(plain)
		}
		require.NoError(t, os.WriteFile("command.dictionary", dictionary.Bytes(), 0o644))
		return
	}
	for _, command := range []Command{exampleClaim(), exampleOutcome()} {
		plain, err := encodePlain(command)
		require.NoError(t, err)
		encoded, err := EncodeCommand(command)
		require.NoError(t, err)
		require.Less(t, len(encoded), len(plain)/2, "%T", command)
	}
}

// encodeEnvelope encodes a command in the format of earlier versions.
func encodeEnvelope(t testing.TB, command Command) []byte {
	t.Helper()
	var buffer bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buffer).Encode(commandEnvelope{Command: command}))
	return buffer.Bytes()
}

func encode(t testing.TB, command Command) []byte {
	t.Helper()
	encoded, err := EncodeCommand(command)
	require.NoError(t, err)
	return encoded
}

// TestCommandsAreReadInBothFormats decodes commands whose fields are alternately set
// and unset. Decoders are reused, so a field of one command must not remain in the next.
func TestCommandsAreReadInBothFormats(t *testing.T) {
	commands := []Command{exampleClaim(), exampleOutcome(), CompleteClaim{Outcome: protocol.ClaimOutcome{NotRun: true}}, exampleOutcome(),
		PutTenant{}, PutTenant{Name: "riga"}, PutTenant{}, RestoreState{Snapshot: bytes.Repeat([]byte("x"), 1<<20)}}
	for _, command := range append(commands, commandKinds...) {
		for name, encoded := range map[string][]byte{"deflated": encode(t, command), "earlier": encodeEnvelope(t, command)} {
			decoded, err := DecodeCommand(encoded)
			require.NoError(t, err, name)
			require.Equal(t, command, decoded, name)
		}
		require.NotEqual(t, byte(formatDeflated), encodeEnvelope(t, command)[0])
	}
}

// TestCommandKindsKeepTheirNumbers guards the format of the log: old logs become
// unreadable if the number of a command kind changes.
func TestCommandKindsKeepTheirNumbers(t *testing.T) {
	for kind, name := range []string{"PutTemplate", "DeleteTemplate", "PutTenant", "DeleteTenant", "PutService", "DeleteService",
		"DrainTarget", "UndrainTarget", "RestoreState", "ObserveTargets", "ReportEmpty", "Claim", "CompleteClaim"} {
		require.Equal(t, name, reflect.TypeOf(commandKinds[kind]).Name())
	}
}

// TestDictionaryIsUnchanged guards the dictionary, which is part of the log's format:
// with another one, existing logs cannot be decompressed.
func TestDictionaryIsUnchanged(t *testing.T) {
	require.Equal(t, uint64(0x1c8cbe858cf9b3e2), xxhash.Sum64(commandDictionary))
}

func TestDamagedCommandsAreRefused(t *testing.T) {
	encoded := encode(t, exampleClaim())
	for name, damaged := range map[string][]byte{
		"empty":        {},
		"format only":  {formatDeflated},
		"no content":   {formatDeflated, 11},
		"unknown kind": {formatDeflated, 200, 1},
		"cut":          encoded[:len(encoded)/2],
		"not deflate":  {formatDeflated, 11, 0xff, 0xff, 0xff},
		"no stream":    []byte("a change"),
	} {
		_, err := DecodeCommand(damaged)
		require.Error(t, err, name)
	}
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range []Command{exampleClaim(), exampleOutcome()} {
		f.Add(encode(f, command))
		f.Add(encodeEnvelope(f, command))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		require.Equal(t, err == nil, command != nil)
	})
}

// BenchmarkCommandCodec measures encoding and decoding of claims and outcomes in the
// current format and in that of earlier versions.
func BenchmarkCommandCodec(b *testing.B) {
	variants := map[string]func(testing.TB, Command) []byte{"earlier": encodeEnvelope, "deflated": encode}
	for variant, encode := range variants {
		for name, command := range map[string]Command{"claim": exampleClaim(), "outcome": exampleOutcome()} {
			b.Run(variant+"/"+name+"/encode", func(b *testing.B) {
				size := 0
				for b.Loop() {
					size = len(encode(b, command))
				}
				b.ReportMetric(float64(size), "bytes")
			})
			b.Run(variant+"/"+name+"/decode", func(b *testing.B) {
				encoded := encode(b, command)
				for b.Loop() {
					_, err := DecodeCommand(encoded)
					require.NoError(b, err)
				}
			})
		}
	}
}
