// Package gobstream reads and writes many short gob streams of the same types quickly.
//
// Each stream holds one value and is readable by itself, because it begins with descriptions of its
// types. Reading and writing these costs far more than the value does. Therefore a decoder that has
// read descriptions is cached for the streams that begin with the same ones, and an encoder for the
// values of the same type.
package gobstream

import (
	"bytes"
	"encoding/gob"
	"errors"
	"reflect"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxDecoders limits the cached decoders. There is one for each type of value and each numbering of
// types that streams use, which can differ between sending processes. A new decoder that would exceed
// the limit replaces all others.
const maxDecoders = 256

// maxCachedBytes is the size of the largest value after which a decoder or encoder stays cached,
// because it retains buffers of that size. Larger values, such as a restored backup, hardly recur.
const maxCachedBytes = 1 << 20

// Decoders decodes gob streams with cached decoders. It is safe for concurrent use.
type Decoders struct {
	lock sync.Mutex
	// byHash holds the cached decoders by the xxHash of their descriptions.
	byHash map[uint64]*cachedDecoder
}

// NewDecoders returns Decoders with an empty cache.
func NewDecoders() *Decoders { return &Decoders{byHash: make(map[uint64]*cachedDecoder)} }

// cachedDecoder is a decoder that has read type descriptions, or reads them before its first value.
type cachedDecoder struct {
	descriptions []byte
	buffer       bytes.Buffer
	decoder      *gob.Decoder
}

// Decode decodes a complete gob stream of one value into pointer, which points to a zero value of
// its type.
func (decoders *Decoders) Decode(stream []byte, pointer reflect.Value) error {
	descriptions, value, err := splitStream(stream)
	if err != nil {
		return err
	}
	decoders.lock.Lock()
	defer decoders.lock.Unlock()
	key := xxhash.Sum64(descriptions)
	cached := decoders.byHash[key]
	if cached == nil || !bytes.Equal(cached.descriptions, descriptions) {
		cached = newCachedDecoder(descriptions)
		if len(decoders.byHash) >= maxDecoders {
			clear(decoders.byHash)
		}
		decoders.byHash[key] = cached
	}
	cached.buffer.Write(value)
	err = cached.decoder.DecodeValue(pointer)
	// The state of a decoder after an error is undefined.
	if err != nil || len(value) > maxCachedBytes {
		delete(decoders.byHash, key)
	}
	return err
}

// newCachedDecoder returns a decoder of streams that begin with descriptions.
func newCachedDecoder(descriptions []byte) *cachedDecoder {
	cached := &cachedDecoder{descriptions: bytes.Clone(descriptions)}
	cached.decoder = gob.NewDecoder(&cached.buffer)
	cached.buffer.Write(descriptions)
	return cached
}

var errTruncated = errors.New("the gob stream is cut")

// splitStream splits a gob stream of one value into the messages with type descriptions and the last
// message, which holds the value.
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

// gobLengthBytes is the largest number of bytes that gob uses for a length of 128 or more, after the
// byte that counts them.
const gobLengthBytes = 8

// messageLength decodes the length prefix of a gob message: a single byte below 128, or a byte with
// the negated number of bytes that follow with the length in big-endian order. It returns the length
// of the message after the prefix, and that of the prefix. It fails unless message has that many
// bytes.
func messageLength(message []byte) (length, prefix int, err error) {
	if len(message) == 0 {
		return 0, 0, errTruncated
	}
	first := message[0]
	if first < 128 {
		length, prefix = int(first), 1
	} else {
		count := -int(int8(first))
		if count > gobLengthBytes || len(message) <= count {
			return 0, 0, errTruncated
		}
		for _, digit := range message[1 : 1+count] {
			length = length<<8 | int(digit)
		}
		prefix = 1 + count
	}
	if length <= 0 || length > len(message)-prefix {
		return 0, 0, errTruncated
	}
	return length, prefix, nil
}
