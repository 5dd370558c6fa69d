package gobstream

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"sync"
)

// Encoders writes many short gob streams of the same types quickly. Each stream
// begins with the descriptions of its types, which are written once for each
// type and then repeated from memory. It may be used from many goroutines.
//
// Types whose values hold interfaces are written anew each time, because the
// descriptions depend on the value.
type Encoders struct {
	lock  sync.Mutex
	kinds map[reflect.Type]*keptEncoder
}

// NewEncoders returns an empty set of encoders.
func NewEncoders() *Encoders { return &Encoders{kinds: make(map[reflect.Type]*keptEncoder)} }

// keptEncoder is an encoder that has written the descriptions of its type.
type keptEncoder struct {
	descriptions []byte
	buffer       bytes.Buffer
	encoder      *gob.Encoder
}

// Encode returns value as a whole gob stream.
func (encoders *Encoders) Encode(value any) ([]byte, error) {
	encoders.lock.Lock()
	defer encoders.lock.Unlock()
	kind := reflect.TypeOf(value)
	kept := encoders.kinds[kind]
	if kept == nil {
		return encoders.begin(kind, value)
	}
	kept.buffer.Reset()
	if err := kept.encoder.Encode(value); err != nil {
		// The encoder's state after an error is not known.
		delete(encoders.kinds, kind)
		return nil, err
	}
	added, _, err := splitStream(kept.buffer.Bytes())
	if err != nil || len(added) > 0 || kept.buffer.Len() > maximumKeptBytes {
		delete(encoders.kinds, kind)
		return encodeAnew(value)
	}
	stream := make([]byte, 0, len(kept.descriptions)+kept.buffer.Len())
	stream = append(stream, kept.descriptions...)
	return append(stream, kept.buffer.Bytes()...), nil
}

// begin writes the first value of a type and keeps its encoder.
func (encoders *Encoders) begin(kind reflect.Type, value any) ([]byte, error) {
	kept := &keptEncoder{}
	kept.encoder = gob.NewEncoder(&kept.buffer)
	if err := kept.encoder.Encode(value); err != nil {
		return nil, err
	}
	stream := bytes.Clone(kept.buffer.Bytes())
	descriptions, _, err := splitStream(stream)
	if err != nil || len(stream) > maximumKeptBytes {
		return stream, nil
	}
	kept.descriptions = bytes.Clone(descriptions)
	encoders.kinds[kind] = kept
	return stream, nil
}

func encodeAnew(value any) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(value)
	return buffer.Bytes(), err
}
