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

// PackedUpdate is an Update that is encoded once and sent to many receivers.
//
// A gob stream begins with descriptions of its types, which are larger than a typical update. They
// are the same for all updates of one process. A receiver gets them once, with its first update, and
// later payloads omit them. Payloads are independent of each other: one that is lost or arrives out
// of order does not prevent the decoding of others.
type PackedUpdate struct {
	// Types is the checksum of the type descriptions that are needed to decode the payload.
	Types uint64
	// Descriptions has the type descriptions. It is set if the receiver may not have them yet.
	Descriptions []byte
	Payload      []byte
	// Compressed means that the payload is compressed by DEFLATE (RFC 1951).
	Compressed bool
}

const (
	// compressionThreshold is the size in bytes from which a payload is compressed. Snapshots and
	// changes of many bucket rows reach it; changes of the parameters of one service do not.
	compressionThreshold = 512
	// maxUpdateBytes bounds the size of an update after decompression, in bytes.
	maxUpdateBytes = 1 << 30
)

// ErrUnknownTypes means that the decoder does not have the type descriptions of a payload. The
// receiver subscribes again, which makes the sender send them again.
var ErrUnknownTypes = errors.New("type descriptions of the update are not known")

// UpdateEncoder encodes the updates of one process. It is not safe for concurrent use.
type UpdateEncoder struct {
	buffer       bytes.Buffer
	encoder      *gob.Encoder
	typesID      uint64
	descriptions []byte
	compressor   *flate.Writer
}

// NewUpdateEncoder returns an encoder that has recorded the type descriptions of Update.
func NewUpdateEncoder() *UpdateEncoder {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// BestSpeed is a valid level.
		panic(fmt.Sprintf("create compressor: %v", err))
	}
	encoder := &UpdateEncoder{compressor: compressor}
	encoder.encoder = gob.NewEncoder(&encoder.buffer)
	if err := encoder.encoder.Encode(Update{}); err != nil {
		// Update has only types that gob can encode; TestPackedUpdateRoundTrip checks this.
		panic(fmt.Sprintf("encode update: %v", err))
	}
	encoder.descriptions = bytes.Clone(encoder.buffer.Bytes())
	encoder.typesID = xxhash.Sum64(encoder.descriptions)
	return encoder
}

// TypesID returns the checksum of the type descriptions of the encoder's updates.
func (encoder *UpdateEncoder) TypesID() uint64 { return encoder.typesID }

// Encode returns the encoded update without type descriptions.
func (encoder *UpdateEncoder) Encode(update Update) (PackedUpdate, error) {
	encoder.buffer.Reset()
	if err := encoder.encoder.Encode(update); err != nil {
		return PackedUpdate{}, fmt.Errorf("encode update: %w", err)
	}
	if encoder.buffer.Len() < compressionThreshold {
		return PackedUpdate{Types: encoder.typesID, Payload: bytes.Clone(encoder.buffer.Bytes())}, nil
	}
	compressed, err := encoder.compress()
	if err != nil {
		return PackedUpdate{}, fmt.Errorf("compress update: %w", err)
	}
	return PackedUpdate{Types: encoder.typesID, Payload: compressed, Compressed: true}, nil
}

// compress returns the compressed content of the buffer.
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

// WithDescriptions returns packed with the encoder's type descriptions added.
func (encoder *UpdateEncoder) WithDescriptions(packed PackedUpdate) PackedUpdate {
	packed.Descriptions = encoder.descriptions
	return packed
}

// maxTypeSets bounds the sets of type descriptions that a decoder keeps.
const maxTypeSets = 16

// UpdateDecoder decodes updates of any number of processes. It is not safe for concurrent use.
type UpdateDecoder struct {
	// streams has one gob stream for each set of type descriptions, by their checksum.
	streams map[uint64]*updateStream
	// latestTypesID is the checksum of the type descriptions that the latest update needed.
	latestTypesID uint64
	// decompressor is created with the first compressed update.
	decompressor io.Reader
}

// updateStream decodes payloads that have the same type descriptions.
type updateStream struct {
	buffer  bytes.Buffer
	decoder *gob.Decoder
}

// NewUpdateDecoder returns a decoder without type descriptions.
func NewUpdateDecoder() *UpdateDecoder {
	return &UpdateDecoder{streams: make(map[uint64]*updateStream)}
}

// TypesID returns the checksum of the type descriptions that the latest update needed, or zero if
// the decoder does not have them.
func (decoder *UpdateDecoder) TypesID() uint64 {
	if _, known := decoder.streams[decoder.latestTypesID]; !known {
		return 0
	}
	return decoder.latestTypesID
}

// Decode returns the decoded update. It returns ErrUnknownTypes if packed has no type descriptions
// that match its checksum and the decoder has not received them before. If gob fails to decode the
// payload, the decoder discards the type descriptions, and later payloads need them again.
func (decoder *UpdateDecoder) Decode(packed PackedUpdate) (Update, error) {
	decoder.latestTypesID = packed.Types
	stream, known := decoder.streams[packed.Types]
	if !known {
		added, err := decoder.addStream(packed)
		if err != nil {
			return Update{}, err
		}
		stream = added
	}
	stream.buffer.Reset()
	if err := decoder.decompress(&stream.buffer, packed); err != nil {
		return Update{}, err
	}
	var update Update
	if err := stream.decoder.Decode(&update); err != nil {
		delete(decoder.streams, packed.Types)
		return Update{}, fmt.Errorf("decode update: %w", err)
	}
	return update, nil
}

// decompress writes the payload to buffer, decompressed if necessary.
func (decoder *UpdateDecoder) decompress(buffer *bytes.Buffer, packed PackedUpdate) error {
	payload := bytes.NewReader(packed.Payload)
	if !packed.Compressed {
		_, err := buffer.ReadFrom(payload)
		return err
	}
	if resetter, canReset := decoder.decompressor.(flate.Resetter); !canReset {
		decoder.decompressor = flate.NewReader(payload)
	} else if err := resetter.Reset(payload, nil); err != nil {
		return fmt.Errorf("decompress update: %w", err)
	}
	if _, err := buffer.ReadFrom(io.LimitReader(decoder.decompressor, maxUpdateBytes)); err != nil {
		return fmt.Errorf("decompress update: %w", err)
	}
	return nil
}

// addStream adds a stream for the type descriptions of packed. When maxTypeSets is reached, it first
// removes all streams.
func (decoder *UpdateDecoder) addStream(packed PackedUpdate) (*updateStream, error) {
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
	if len(decoder.streams) >= maxTypeSets {
		clear(decoder.streams)
	}
	decoder.streams[packed.Types] = stream
	return stream, nil
}

func init() { RegisterAs("p", PackedUpdate{}) }
