package gobstream

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// part and example are values with nested types and every kind of field that
// the log's commands use.
type part struct {
	Name   string
	Weight int
}

type example struct {
	Correlation uint64
	Parts       []part
	Body        []byte
}

func sound() example {
	return example{Correlation: 4711, Parts: []part{{"tipline", 90}, {"ledger", 10}}, Body: []byte(`{"seats":2}`)}
}

func encode(t testing.TB, value any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buffer).Encode(value))
	return buffer.Bytes()
}

// TestDecodersSurviveDamage reads a sound value after a damaged one with the
// same type descriptions, from several goroutines.
func TestDecodersSurviveDamage(t *testing.T) {
	decoders := NewDecoders()
	plain := encode(t, sound())
	descriptions, value, err := splitStream(plain)
	require.NoError(t, err)
	require.Equal(t, plain, append(bytes.Clone(descriptions), value...))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for offset := range value {
				damaged := bytes.Clone(plain)
				damaged[len(descriptions)+offset] ^= 0x55
				_ = decoders.Decode(damaged, reflect.ValueOf(&example{}))
				decoded := &example{}
				assert.NoError(t, decoders.Decode(plain, reflect.ValueOf(decoded)))
				assert.Equal(t, sound(), *decoded)
			}
		})
	}
	readers.Wait()
}

func TestDecodersOfLargeValuesAreNotKept(t *testing.T) {
	kept := func(size int) bool {
		decoders := NewDecoders()
		require.NoError(t, decoders.Decode(encode(t, example{Body: make([]byte, size)}), reflect.ValueOf(&example{})))
		return len(decoders.streams) > 0
	}
	require.True(t, kept(10))
	require.False(t, kept(maximumKeptBytes+1))
}

func TestCutStreamsAreRefused(t *testing.T) {
	plain := encode(t, sound())
	for length := range plain {
		require.Error(t, NewDecoders().Decode(plain[:length], reflect.ValueOf(&example{})), "cut at %d", length)
	}
}

// holder has a field whose type depends on its value.
type holder struct {
	Any any
}

func TestEncodersWriteWhatANewEncoderWrites(t *testing.T) {
	gob.Register(part{})
	encoders := NewEncoders()
	values := []any{
		sound(), example{}, sound(), part{"a", 1}, example{Body: make([]byte, 2*maximumKeptBytes)}, sound(),
		holder{}, holder{Any: part{"b", 2}}, holder{Any: 7}, holder{Any: part{"c", 3}},
	}
	for round := range 3 {
		for place, value := range values {
			stream, err := encoders.Encode(value)
			require.NoError(t, err)
			require.Equal(t, encode(t, value), stream, "round %d, value %d", round, place)
		}
	}
	_, err := encoders.Encode(func() {})
	require.Error(t, err)
	_, err = encoders.Encode(holder{Any: func() {}})
	require.Error(t, err)
	stream, err := encoders.Encode(holder{Any: part{"b", 2}})
	require.NoError(t, err)
	require.Equal(t, encode(t, holder{Any: part{"b", 2}}), stream, "an error leaves nothing behind")
}

// BenchmarkEncode compares a kept encoder with a new one for each stream.
func BenchmarkEncode(b *testing.B) {
	b.Run("kept", func(b *testing.B) {
		encoders := NewEncoders()
		for b.Loop() {
			_, err := encoders.Encode(sound())
			require.NoError(b, err)
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			_, err := encodeAnew(sound())
			require.NoError(b, err)
		}
	})
}

// BenchmarkDecode compares a kept decoder with a new one for each stream.
func BenchmarkDecode(b *testing.B) {
	plain := encode(b, sound())
	b.Run("kept", func(b *testing.B) {
		decoders := NewDecoders()
		for b.Loop() {
			require.NoError(b, decoders.Decode(plain, reflect.ValueOf(&example{})))
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			require.NoError(b, gob.NewDecoder(bytes.NewReader(plain)).Decode(&example{}))
		}
	})
}
