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

// Every command in the log must be readable by itself, so each is a gob stream
// of its own, which begins with descriptions of its types. They are two thirds
// of a claim. A command is therefore compressed (RFC 1951) with a preset
// dictionary that has these descriptions, so that a few bytes stand for them.
//
// The dictionary belongs to the log's format: it must never change. A better
// one gets a format of its own, and the old one stays for old logs. That the
// numbers of types differ between processes makes a command longer and no
// less readable.
//
//go:embed command.dictionary
var commandDictionary []byte

const (
	// formatDeflated is the first byte of a command that is compressed with
	// commandDictionary; the second is its kind. A plain gob stream, as in
	// logs of earlier versions, never begins with it, because it begins with a
	// length of two or more.
	formatDeflated = 1
	headerBytes    = 2
	// maximumDecodedBytes bounds a command after decompression.
	maximumDecodedBytes = 256 << 20
)

// commandKinds numbers the types of commands in the log by their position.
// Kinds are added at the end and never renumbered.
var commandKinds = []Command{PutTemplate{}, DeleteTemplate{}, PutTenant{}, DeleteTenant{}, PutService{}, DeleteService{},
	DrainTarget{}, UndrainTarget{}, RestoreState{}, ObserveTargets{}, ReportEmpty{}, Claim{}, CompleteClaim{}}

var kindOf = make(map[reflect.Type]byte)

// init numbers the types of commands, also in gob, before anything else runs,
// so that all runs of one program encode a command in equally many bytes.
func init() {
	for kind, command := range commandKinds {
		kindOf[reflect.TypeOf(command)] = byte(kind)
		gob.Register(command)
		if _, err := encodePlain(command); err != nil {
			panic(fmt.Sprintf("encode %T: %v", command, err))
		}
	}
}

// deflaters and inflaters keep compressors, which are large, for reuse.
var (
	deflaters = sync.Pool{New: func() any {
		deflater, err := flate.NewWriterDict(io.Discard, flate.DefaultCompression, commandDictionary)
		if err != nil {
			panic(fmt.Sprintf("compressor of commands: %v", err))
		}
		return deflater
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), commandDictionary) }}
)

// EncodeCommand returns command as bytes for the log.
func EncodeCommand(command Command) ([]byte, error) {
	kind, known := kindOf[reflect.TypeOf(command)]
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

// encodePlain returns the gob stream of a command without its kind.
func encodePlain(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(command)
	return buffer.Bytes(), err
}

func deflate(output io.Writer, plain []byte) error {
	deflater := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(deflater)
	deflater.Reset(output)
	if _, err := deflater.Write(plain); err != nil {
		return err
	}
	return deflater.Close()
}

var decoders = gobstream.NewDecoders()

// DecodeCommand reads a command of the log, as EncodeCommand wrote it or as
// earlier versions did.
func DecodeCommand(encoded []byte) (Command, error) {
	if len(encoded) < headerBytes || encoded[0] != formatDeflated {
		return decodeInterface(encoded)
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
	inflater := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(inflater)
	if err := inflater.(flate.Resetter).Reset(bytes.NewReader(deflated), commandDictionary); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(inflater, maximumDecodedBytes+1))
	if err == nil && len(plain) > maximumDecodedBytes {
		return nil, fmt.Errorf("longer than %d bytes", maximumDecodedBytes)
	}
	return plain, err
}

// commandEnvelope is the form of commands in logs of earlier versions: gob
// carries the concrete type of the interface.
type commandEnvelope struct {
	Command Command
}

func decodeInterface(encoded []byte) (Command, error) {
	var envelope commandEnvelope
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&envelope); err != nil {
		return nil, fmt.Errorf("decode command: %w", err)
	}
	if envelope.Command == nil {
		return nil, errors.New("decode command: no command inside")
	}
	return envelope.Command, nil
}
