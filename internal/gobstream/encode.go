package gobstream

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"sync"
)

// Encoders encodes values as gob streams with cached encoders. Each stream begins with the
// descriptions of its types, which are encoded once for each type of value and then copied. It is
// safe for concurrent use.
//
// A value that holds an interface may need descriptions that the cached encoder has not written yet.
// That encoder is then removed and the value is written by a new one. Conversely, a stream repeats
// all descriptions of the first value, even those of types that only an interface in it needed.
type Encoders struct {
	lock   sync.Mutex
	byType map[reflect.Type]*cachedEncoder
}

// NewEncoders returns Encoders with an empty cache.
func NewEncoders() *Encoders { return &Encoders{byType: make(map[reflect.Type]*cachedEncoder)} }

// cachedEncoder is an encoder that has written the descriptions of its first value's types.
type cachedEncoder struct {
	// descriptions are the messages that begin each stream.
	descriptions []byte
	// buffer receives the output of encoder.
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

// Encode returns value as a complete gob stream.
func (encoders *Encoders) Encode(value any) ([]byte, error) {
	encoders.lock.Lock()
	defer encoders.lock.Unlock()
	valueType := reflect.TypeOf(value)
	cached := encoders.byType[valueType]
	if cached == nil {
		return encoders.encodeFirst(valueType, value)
	}
	cached.buffer.Reset()
	if err := cached.encoder.Encode(value); err != nil {
		// The state of an encoder after an error is undefined.
		delete(encoders.byType, valueType)
		return nil, err
	}
	added, _, err := splitStream(cached.buffer.Bytes())
	if err != nil || len(added) > 0 || cached.buffer.Len() > maxCachedBytes {
		delete(encoders.byType, valueType)
		return encodeUncached(value)
	}
	stream := make([]byte, 0, len(cached.descriptions)+cached.buffer.Len())
	stream = append(stream, cached.descriptions...)
	return append(stream, cached.buffer.Bytes()...), nil
}

// encodeFirst encodes the first value of a type and caches the encoder unless the stream is larger
// than maxCachedBytes.
func (encoders *Encoders) encodeFirst(valueType reflect.Type, value any) ([]byte, error) {
	cached := &cachedEncoder{}
	cached.encoder = gob.NewEncoder(&cached.buffer)
	if err := cached.encoder.Encode(value); err != nil {
		return nil, err
	}
	stream := bytes.Clone(cached.buffer.Bytes())
	descriptions, _, err := splitStream(stream)
	if err != nil || len(stream) > maxCachedBytes {
		return stream, nil
	}
	cached.descriptions = bytes.Clone(descriptions)
	encoders.byType[valueType] = cached
	return stream, nil
}

// encodeUncached encodes value with a new encoder that is not cached.
func encodeUncached(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}
