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

// part and example have nested types and the kinds of fields that encoded commands use.
type part struct {
	Name   string
	Weight int
}

type example struct {
	Correlation uint64
	Parts       []part
	Body        []byte
}

func exampleValue() example {
	return example{Correlation: 4711, Parts: []part{{"tipline", 90}, {"ledger", 10}}, Body: []byte(`{"seats":2}`)}
}

// encode returns the stream that a new encoder writes.
func encode(t testing.TB, value any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	require.NoError(t, gob.NewEncoder(&buffer).Encode(value))
	return buffer.Bytes()
}

// TestDecodeAfterDamagedValue decodes an intact value after a damaged one with the same type
// descriptions, in several goroutines. The damaged value must not leave a broken decoder in the
// cache.
func TestDecodeAfterDamagedValue(t *testing.T) {
	decoders := NewDecoders()
	stream := encode(t, exampleValue())
	descriptions, value, err := splitStream(stream)
	require.NoError(t, err)
	require.Equal(t, stream, append(bytes.Clone(descriptions), value...))
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for offset := range value {
				damaged := bytes.Clone(stream)
				damaged[len(descriptions)+offset] ^= 0x55
				_ = decoders.Decode(damaged, reflect.ValueOf(&example{}))
				decoded := &example{}
				assert.NoError(t, decoders.Decode(stream, reflect.ValueOf(decoded)))
				assert.Equal(t, exampleValue(), *decoded)
			}
		})
	}
	readers.Wait()
}

func TestDecodersOfLargeValuesAreNotCached(t *testing.T) {
	isCached := func(size int) bool {
		decoders := NewDecoders()
		require.NoError(t, decoders.Decode(encode(t, example{Body: make([]byte, size)}), reflect.ValueOf(&example{})))
		return len(decoders.byHash) > 0
	}
	require.True(t, isCached(10))
	require.False(t, isCached(maxCachedBytes+1))
}

func TestTruncatedStreamsAreRefused(t *testing.T) {
	stream := encode(t, exampleValue())
	for length := range stream {
		require.Error(t, NewDecoders().Decode(stream[:length], reflect.ValueOf(&example{})), "cut at %d", length)
	}
}

// holder has an interface field, so the type descriptions of its stream depend on its value.
type holder struct {
	Any any
}

// TestCachedEncodersMatchNewEncoders encodes values of several types in turn, among them large ones,
// interfaces and values that cannot be encoded. Each stream must equal that of a new encoder.
func TestCachedEncodersMatchNewEncoders(t *testing.T) {
	gob.Register(part{})
	encoders := NewEncoders()
	values := []any{
		exampleValue(), example{}, exampleValue(), part{"a", 1}, example{Body: make([]byte, 2*maxCachedBytes)}, exampleValue(),
		holder{}, holder{Any: part{"b", 2}}, holder{Any: 7}, holder{Any: part{"c", 3}},
	}
	for round := range 3 {
		for position, value := range values {
			stream, err := encoders.Encode(value)
			require.NoError(t, err)
			require.Equal(t, encode(t, value), stream, "round %d, value %d", round, position)
		}
	}
	_, err := encoders.Encode(func() {})
	require.Error(t, err)
	_, err = encoders.Encode(holder{Any: func() {}})
	require.Error(t, err)
	stream, err := encoders.Encode(holder{Any: part{"b", 2}})
	require.NoError(t, err)
	require.Equal(t, encode(t, holder{Any: part{"b", 2}}), stream, "an earlier error must not change the stream")
}

// BenchmarkEncode compares a cached encoder with a new one for each stream.
func BenchmarkEncode(b *testing.B) {
	b.Run("cached", func(b *testing.B) {
		encoders := NewEncoders()
		for b.Loop() {
			_, err := encoders.Encode(exampleValue())
			require.NoError(b, err)
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			_, err := encodeUncached(exampleValue())
			require.NoError(b, err)
		}
	})
}

// BenchmarkDecode compares a cached decoder with a new one for each stream.
func BenchmarkDecode(b *testing.B) {
	stream := encode(b, exampleValue())
	b.Run("cached", func(b *testing.B) {
		decoders := NewDecoders()
		for b.Loop() {
			require.NoError(b, decoders.Decode(stream, reflect.ValueOf(&example{})))
		}
	})
	b.Run("new", func(b *testing.B) {
		for b.Loop() {
			require.NoError(b, gob.NewDecoder(bytes.NewReader(stream)).Decode(&example{}))
		}
	})
}
