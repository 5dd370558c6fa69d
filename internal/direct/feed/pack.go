package feed

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"merlinpaddle/internal/direct/directory"
)

const (
	// minPackedEntries is the number of entries from which changes are packed. The full tables of
	// large systems, which many balancers request at once after a start, are packed; typical
	// changes are not.
	minPackedEntries = 256
	// maxUnpackedBytes bounds the size of changes after decompression, in bytes.
	maxUnpackedBytes = 256 << 20
)

// pack returns changes encoded by gob and compressed by DEFLATE (RFC 1951).
func pack(changes directory.Changes) ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack changes: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(changes); err != nil {
		return nil, fmt.Errorf("pack changes: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack changes: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack is the inverse of pack.
func unpack(packed []byte) (directory.Changes, error) {
	var changes directory.Changes
	decompressor := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	if err := gob.NewDecoder(decompressor).Decode(&changes); err != nil {
		return directory.Changes{}, fmt.Errorf("unpack changes: %w", err)
	}
	return changes, nil
}
