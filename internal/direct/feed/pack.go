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
	// packFrom is the number of entries from which changes are packed: whole
	// tables of large systems are, which many balancers ask for at once after a
	// start; the usual changes are not.
	packFrom = 256
	// maximumUnpacked bounds packed changes, in bytes, once they are unpacked.
	maximumUnpacked = 256 << 20
)

// pack returns changes as bytes, compressed by DEFLATE (RFC 1951). They are
// packed once for all balancers that need the same ones.
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
	expander := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maximumUnpacked)
	if err := gob.NewDecoder(expander).Decode(&changes); err != nil {
		return directory.Changes{}, fmt.Errorf("unpack changes: %w", err)
	}
	return changes, nil
}
