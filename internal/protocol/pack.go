package protocol

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// PackedUpdate is an Update that was encoded once for many receivers.
//
// A gob stream begins with descriptions of its types, which are larger than a
// usual update. They are the same for all updates of one process, so a
// receiver gets them once, with the first update, and later payloads leave
// them out. Payloads do not depend on each other: one that is lost or late
// does not hinder the next.
type PackedUpdate struct {
	// Types identifies the type descriptions that the payload needs.
	Types uint64
	// Descriptions is set when the receiver may not have them yet.
	Descriptions []byte
	Payload      []byte
	// Compressed tells that the payload is compressed by DEFLATE (RFC 1951).
	Compressed bool
}

const (
	// compressFrom is the size of a payload, in bytes, from which it is
	// compressed: snapshots and changes of many bucket rows are, parameters of
	// one service are not.
	compressFrom = 512
	// maximumUpdate bounds an update, in bytes, before compression.
	maximumUpdate = 1 << 30
)

// ErrUnknownTypes tells that a payload's type descriptions have not come yet.
// The receiver subscribes again, which makes the sender repeat them.
var ErrUnknownTypes = errors.New("type descriptions of the update are not known")

// UpdateEncoder encodes the updates of one process. It is used by one
// controller.
type UpdateEncoder struct {
	buffer       bytes.Buffer
	encoder      *gob.Encoder
	types        uint64
	descriptions []byte
	compressor   *flate.Writer
}

// NewUpdateEncoder returns an encoder.
func NewUpdateEncoder() *UpdateEncoder {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is one that the package has.
		panic(fmt.Sprintf("make compressor: %v", err))
	}
	encoder := &UpdateEncoder{compressor: compressor}
	encoder.encoder = gob.NewEncoder(&encoder.buffer)
	if err := encoder.encoder.Encode(Update{}); err != nil {
		// An Update has only types that the codec knows; see its test.
		panic(fmt.Sprintf("encode update: %v", err))
	}
	encoder.descriptions = bytes.Clone(encoder.buffer.Bytes())
	encoder.types = xxhash.Sum64(encoder.descriptions)
	return encoder
}

// TypesID identifies the type descriptions of the encoder's updates.
func (encoder *UpdateEncoder) TypesID() uint64 { return encoder.types }

// Encode returns the update without type descriptions.
func (encoder *UpdateEncoder) Encode(update Update) (PackedUpdate, error) {
	encoder.buffer.Reset()
	if err := encoder.encoder.Encode(update); err != nil {
		return PackedUpdate{}, fmt.Errorf("encode update: %w", err)
	}
	if encoder.buffer.Len() < compressFrom {
		return PackedUpdate{Types: encoder.types, Payload: bytes.Clone(encoder.buffer.Bytes())}, nil
	}
	compressed, err := encoder.compress()
	if err != nil {
		return PackedUpdate{}, fmt.Errorf("compress update: %w", err)
	}
	return PackedUpdate{Types: encoder.types, Payload: compressed, Compressed: true}, nil
}

// compress returns the buffer's content, compressed.
func (encoder *UpdateEncoder) compress() ([]byte, error) {
	var compressed bytes.Buffer
	encoder.compressor.Reset(&compressed)
	if _, err := encoder.compressor.Write(encoder.buffer.Bytes()); err != nil {
		return nil, err
	}
	if err := encoder.compressor.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// WithDescriptions returns packed with its type descriptions.
func (encoder *UpdateEncoder) WithDescriptions(packed PackedUpdate) PackedUpdate {
	packed.Descriptions = encoder.descriptions
	return packed
}

// maximumUpdateTypes bounds the sets of descriptions that a receiver keeps.
const maximumUpdateTypes = 16

// UpdateDecoder decodes updates of any number of processes. It is used by one
// controller.
type UpdateDecoder struct {
	streams map[uint64]*updateStream
	latest  uint64
	// expander is made with the first compressed update.
	expander io.Reader
}

type updateStream struct {
	buffer  bytes.Buffer
	decoder *gob.Decoder
}

// NewUpdateDecoder returns a decoder that knows no type descriptions.
func NewUpdateDecoder() *UpdateDecoder {
	return &UpdateDecoder{streams: make(map[uint64]*updateStream)}
}

// TypesID identifies the type descriptions that the latest update needed, or is
// zero when the decoder does not have them.
func (decoder *UpdateDecoder) TypesID() uint64 {
	if _, known := decoder.streams[decoder.latest]; !known {
		return 0
	}
	return decoder.latest
}

// Decode returns the update, or ErrUnknownTypes.
func (decoder *UpdateDecoder) Decode(packed PackedUpdate) (Update, error) {
	decoder.latest = packed.Types
	stream, known := decoder.streams[packed.Types]
	if !known {
		described, err := decoder.describe(packed)
		if err != nil {
			return Update{}, err
		}
		stream = described
	}
	stream.buffer.Reset()
	if err := decoder.expand(&stream.buffer, packed); err != nil {
		return Update{}, err
	}
	var update Update
	if err := stream.decoder.Decode(&update); err != nil {
		delete(decoder.streams, packed.Types)
		return Update{}, fmt.Errorf("decode update: %w", err)
	}
	return update, nil
}

// expand writes the payload to buffer as it was before compression.
func (decoder *UpdateDecoder) expand(buffer *bytes.Buffer, packed PackedUpdate) error {
	payload := bytes.NewReader(packed.Payload)
	if !packed.Compressed {
		_, err := buffer.ReadFrom(payload)
		return err
	}
	if resetter, canReset := decoder.expander.(flate.Resetter); !canReset {
		decoder.expander = flate.NewReader(payload)
	} else if err := resetter.Reset(payload, nil); err != nil {
		return fmt.Errorf("expand update: %w", err)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(decoder.expander, maximumUpdate)); err != nil {
		return fmt.Errorf("expand update: %w", err)
	}
	return nil
}

func (decoder *UpdateDecoder) describe(packed PackedUpdate) (*updateStream, error) {
	if len(packed.Descriptions) == 0 || xxhash.Sum64(packed.Descriptions) != packed.Types {
		return nil, ErrUnknownTypes
	}
	stream := &updateStream{}
	stream.buffer.Write(packed.Descriptions)
	stream.decoder = gob.NewDecoder(&stream.buffer)
	var empty Update
	if err := stream.decoder.Decode(&empty); err != nil {
		return nil, fmt.Errorf("decode type descriptions: %w", err)
	}
	if len(decoder.streams) >= maximumUpdateTypes {
		clear(decoder.streams)
	}
	decoder.streams[packed.Types] = stream
	return stream, nil
}

func init() { RegisterAs("p", PackedUpdate{}) }
