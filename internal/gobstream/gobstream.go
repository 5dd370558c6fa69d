// Package gobstream reads and writes many short gob streams of the same types
// quickly.
//
// Each stream is readable by itself, because it begins with descriptions of
// its types. Reading and writing these costs far more than a value, so a decoder
// that has read them is kept for the streams that begin with the same ones, and
// an encoder for the values of the same type.
package gobstream

import (
	"bytes"
	"encoding/gob"
	"errors"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maximumStreams bounds the kept decoders: one for each type of value and each
// numbering of types that the streams have.
const maximumStreams = 256

// maximumKeptBytes is the largest value after which a decoder is kept, because
// it keeps buffers of that size: a restored backup comes once.
const maximumKeptBytes = 1 << 20

// Decoders keeps decoders. It may be used from many goroutines.
type Decoders struct {
	lock    sync.Mutex
	streams map[uint64]*keptDecoder
}

// NewDecoders returns an empty set of decoders.
func NewDecoders() *Decoders { return &Decoders{streams: make(map[uint64]*keptDecoder)} }

// keptDecoder is a decoder that has read descriptions.
type keptDecoder struct {
	descriptions []byte
	buffer       bytes.Buffer
	decoder      *gob.Decoder
}

// Decode reads the one value of a whole gob stream into pointer, which points
// to a new value of its type.
func (decoders *Decoders) Decode(plain []byte, pointer reflect.Value) error {
	descriptions, value, err := splitStream(plain)
	if err != nil {
		return err
	}
	decoders.lock.Lock()
	defer decoders.lock.Unlock()
	key := xxhash.Sum64(descriptions)
	stream := decoders.streams[key]
	if stream == nil || !bytes.Equal(stream.descriptions, descriptions) {
		stream = newKeptDecoder(descriptions)
		if len(decoders.streams) >= maximumStreams {
			clear(decoders.streams)
		}
		decoders.streams[key] = stream
	}
	stream.buffer.Write(value)
	err = stream.decoder.DecodeValue(pointer)
	// The decoder's state after an error is not known.
	if err != nil || len(value) > maximumKeptBytes {
		delete(decoders.streams, key)
	}
	return err
}

func newKeptDecoder(descriptions []byte) *keptDecoder {
	stream := &keptDecoder{descriptions: bytes.Clone(descriptions)}
	stream.decoder = gob.NewDecoder(&stream.buffer)
	stream.buffer.Write(descriptions)
	return stream
}

var errStreamCut = errors.New("the gob stream is cut")

// splitStream divides a gob stream that holds one value into the messages with
// type descriptions and the message with the value, which is the last.
func splitStream(stream []byte) (descriptions, value []byte, err error) {
	start := 0
	for {
		length, prefix, err := messageLength(stream[start:])
		if err != nil {
			return nil, nil, err
		}
		end := start + prefix + length
		if end == len(stream) {
			return stream[:start], stream[start:], nil
		}
		start = end
	}
}

// gobLengthBytes is the largest number of bytes of a length in gob.
const gobLengthBytes = 8

// messageLength reads the length that a gob message begins with: one byte
// below 128, or the negated count of the bytes that follow, the highest first.
func messageLength(message []byte) (length, prefix int, err error) {
	if len(message) == 0 {
		return 0, 0, errStreamCut
	}
	first := message[0]
	if first < 128 {
		length, prefix = int(first), 1
	} else {
		count := -int(int8(first))
		if count > gobLengthBytes || len(message) <= count {
			return 0, 0, errStreamCut
		}
		for _, digit := range message[1 : 1+count] {
			length = length<<8 | int(digit)
		}
		prefix = 1 + count
	}
	if length <= 0 || length > len(message)-prefix {
		return 0, 0, errStreamCut
	}
	return length, prefix, nil
}
