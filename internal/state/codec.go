package state

import (
	"bytes"
	"compress/flate"
	_ "embed"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sync"

	"merlinpaddle/internal/gobstream"
)

// commandDictionary is the preset dictionary for the compression of commands.
//
// Every command in the log must be decodable on its own, so each is a separate gob
// stream, which begins with the descriptions of its types. In the stream of a
// claim, they take two thirds of the bytes. Commands are therefore compressed with
// DEFLATE (RFC 1951) and a preset dictionary that contains the descriptions, so
// that a few bytes refer to them.
//
// The dictionary is part of the log's format and must never change. A better
// dictionary needs a new format, and the old one is still needed to read old logs.
// The numbers that gob assigns to types can differ between processes; a command is
// then longer, because fewer bytes match the dictionary, but still decodable.
//
//go:embed command.dictionary
var commandDictionary []byte

const (
	// formatDeflated is the first byte of a command that is compressed with
	// commandDictionary. The second byte is the command's kind. A plain gob
	// stream, as in logs of earlier versions, never begins with this byte,
	// because it begins with a length of at least two.
	formatDeflated = 1
	headerBytes    = 2
	// maximumDecodedBytes is the maximum size of a command after decompression.
	maximumDecodedBytes = 256 << 20
)

// commandKinds lists the types of commands. The position of a type is its kind, the
// number that the log has for it. New kinds are appended and never renumbered.
var commandKinds = []Command{PutTemplate{}, DeleteTemplate{}, PutTenant{}, DeleteTenant{}, PutService{}, DeleteService{},
	DrainTarget{}, UndrainTarget{}, RestoreState{}, ObserveTargets{}, ReportEmpty{}, Claim{}, CompleteClaim{}}

// kindByType is the inverse of commandKinds.
var kindByType = make(map[reflect.Type]byte)

// init assigns the kinds and makes gob assign its own type numbers in a fixed
// order, so that all processes of one program encode a command to the same number
// of bytes.
func init() {
	for kind, command := range commandKinds {
		kindByType[reflect.TypeOf(command)] = byte(kind)
		gob.Register(command)
		if _, err := encodePlain(command); err != nil {
			panic(fmt.Sprintf("encode %T: %v", command, err))
		}
	}
}

// deflaterPool and inflaterPool reuse compressors and decompressors, which are
// large.
var (
	deflaterPool = sync.Pool{New: func() any {
		deflater, err := flate.NewWriterDict(io.Discard, flate.DefaultCompression, commandDictionary)
		if err != nil {
			panic(fmt.Sprintf("compressor of commands: %v", err))
		}
		return deflater
	}}
	inflaterPool = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), commandDictionary) }}
)

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	kind, known := kindByType[reflect.TypeOf(command)]
	if !known {
		return nil, fmt.Errorf("encode command: %T has no kind", command)
	}
	plain, err := encodePlain(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	var encoded bytes.Buffer
	encoded.Write([]byte{formatDeflated, kind})
	if err := deflate(&encoded, plain); err != nil {
		return nil, fmt.Errorf("compress command: %w", err)
	}
	return encoded.Bytes(), nil
}

// encodePlain returns the gob stream of a command, without a kind and compression.
func encodePlain(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(command)
	return buffer.Bytes(), err
}

func deflate(output io.Writer, plain []byte) error {
	deflater := deflaterPool.Get().(*flate.Writer)
	defer deflaterPool.Put(deflater)
	deflater.Reset(output)
	if _, err := deflater.Write(plain); err != nil {
		return err
	}
	return deflater.Close()
}

var decoders = gobstream.NewDecoders()

// DecodeCommand decodes a command from the log, in the format of EncodeCommand or
// that of earlier versions.
func DecodeCommand(encoded []byte) (Command, error) {
	if len(encoded) < headerBytes || encoded[0] != formatDeflated {
		return decodeEnvelope(encoded)
	}
	kind := int(encoded[1])
	if kind >= len(commandKinds) {
		return nil, fmt.Errorf("decode command: kind %d is not known", kind)
	}
	plain, err := inflate(encoded[headerBytes:])
	if err != nil {
		return nil, fmt.Errorf("decompress command: %w", err)
	}
	decoded := reflect.New(reflect.TypeOf(commandKinds[kind]))
	if err := decoders.Decode(plain, decoded); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	return decoded.Elem().Interface().(Command), nil
}

func inflate(deflated []byte) ([]byte, error) {
	inflater := inflaterPool.Get().(io.ReadCloser)
	defer inflaterPool.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(deflated), commandDictionary); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(inflater, maximumDecodedBytes+1))
	if err == nil && len(plain) > maximumDecodedBytes {
		return nil, fmt.Errorf("longer than %d bytes", maximumDecodedBytes)
	}
	return plain, err
}

// commandEnvelope is the format of commands in logs of earlier versions, in which
// gob encodes the concrete type of the interface value.
type commandEnvelope struct {
	Command Command
}

func decodeEnvelope(encoded []byte) (Command, error) {
	var envelope commandEnvelope
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&envelope); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if envelope.Command == nil {
		return nil, errors.New("decode command: no command inside")
	}
	return envelope.Command, nil
}
