// Package logstream writes structured log lines to standard output without
// ever holding up the process.
//
// Lines wait in a bounded queue; when it is full, or when one kind of line
// (its logger and message) exceeds its budget for a second, the line is left
// out and counted. The next line of that kind says how many were left out.
package logstream

import (
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Options are the bounds of a stream.
type Options struct {
	// Level is the lowest level that is written.
	Level zapcore.Level
	// LinesPerSecond is the budget of each kind of line.
	LinesPerSecond int
	// QueueLines is the number of lines that may wait for the output.
	QueueLines int
}

// maximumKinds bounds the kinds of lines that have a budget of their own;
// further kinds share one.
const maximumKinds = 256

// budget counts the lines of one kind in one second.
type budget struct {
	second  int64
	written int
	leftOut uint64
}

// Stream is the shared part of all cores: budgets and the queue.
type Stream struct {
	options Options
	lines   chan []byte

	lock    sync.Mutex
	budgets map[string]*budget
	// lost counts lines that the full queue refused.
	lost uint64
}

// NewStream returns a stream that holds its lines until Run writes them.
func NewStream(options Options) *Stream {
	return &Stream{
		options: options,
		lines:   make(chan []byte, options.QueueLines),
		budgets: make(map[string]*budget),
	}
}

// Run writes lines to output until ctx ends and the queue is empty.
func (stream *Stream) Run(ctx context.Context, output io.Writer) {
	for {
		select {
		case line := <-stream.lines:
			_, _ = output.Write(line)
		case <-ctx.Done():
			stream.drain(output)
			return
		}
	}
}

func (stream *Stream) drain(output io.Writer) {
	for {
		select {
		case line := <-stream.lines:
			_, _ = output.Write(line)
		default:
			return
		}
	}
}

// Lost returns how many lines the full queue refused.
func (stream *Stream) Lost() uint64 {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	return stream.lost
}

// take uses one line of the kind's budget. It returns how many lines of the
// kind were left out before this one, and false when this one is left out.
func (stream *Stream) take(kind string, now time.Time) (leftOut uint64, granted bool) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	known := stream.budgets[kind]
	if known == nil {
		if len(stream.budgets) >= maximumKinds {
			kind = ""
		}
		if known = stream.budgets[kind]; known == nil {
			known = &budget{}
			stream.budgets[kind] = known
		}
	}
	if second := now.Unix(); known.second != second {
		known.second = second
		known.written = 0
	}
	if known.written >= stream.options.LinesPerSecond {
		known.leftOut++
		return 0, false
	}
	known.written++
	leftOut = known.leftOut
	known.leftOut = 0
	return leftOut, true
}

func (stream *Stream) put(line []byte) {
	select {
	case stream.lines <- line:
	default:
		stream.lock.Lock()
		stream.lost++
		stream.lock.Unlock()
	}
}

// Core is a zap core that writes to a stream.
type Core struct {
	stream  *Stream
	encoder zapcore.Encoder
}

var _ zapcore.Core = (*Core)(nil)

// NewCore returns a core for stream.
func NewCore(stream *Stream) *Core {
	return &Core{stream: stream, encoder: zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	})}
}

// Enabled implements zapcore.Core.
func (core *Core) Enabled(level zapcore.Level) bool { return core.stream.options.Level.Enabled(level) }

// With implements zapcore.Core.
func (core *Core) With(fields []zapcore.Field) zapcore.Core {
	encoder := core.encoder.Clone()
	for _, field := range plain(fields) {
		field.AddTo(encoder)
	}
	return &Core{stream: core.stream, encoder: encoder}
}

// Check implements zapcore.Core.
func (core *Core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if core.Enabled(entry.Level) {
		return checked.AddCore(entry, core)
	}
	return checked
}

// Write implements zapcore.Core. It never waits for the output.
func (core *Core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	leftOut, granted := core.stream.take(entry.LoggerName+"\x00"+entry.Message, entry.Time)
	if !granted {
		return nil
	}
	if leftOut > 0 {
		fields = append(fields[:len(fields):len(fields)], zapcore.Field{
			Key: "left_out", Type: zapcore.Uint64Type, Integer: int64(leftOut),
		})
	}
	buffer, err := core.encoder.EncodeEntry(entry, plain(fields))
	if err != nil {
		return err
	}
	core.stream.put(append([]byte(nil), buffer.Bytes()...))
	buffer.Free()
	return nil
}

// plain returns fields with the texts of errors, without the stacks that some
// errors carry.
func plain(fields []zapcore.Field) []zapcore.Field {
	for index, field := range fields {
		failure, isError := field.Interface.(error)
		if field.Type != zapcore.ErrorType || !isError {
			continue
		}
		copied := append([]zapcore.Field(nil), fields...)
		copied[index] = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: failure.Error()}
		return plain(copied)
	}
	return fields
}

// Sync implements zapcore.Core. Lines are written as they come.
func (core *Core) Sync() error { return nil }
