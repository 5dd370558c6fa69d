// Package logstream writes structured log lines to standard output without blocking the process.
//
// Lines wait in a bounded queue. A line that the full queue has no room for is lost and counted. A
// line that exceeds the budget per second of its kind (its logger and message) is left out, and the
// next line of the kind states in the field left_out how many were left out before it.
package logstream

import (
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// Options are the limits of a Stream.
type Options struct {
	// Level is the lowest level that is written.
	Level zapcore.Level
	// LinesPerSecond is the largest number of lines of one kind per second.
	LinesPerSecond int
	// QueueLines is the largest number of lines that wait for the output.
	QueueLines int
}

// maximumKinds is the largest number of kinds of lines with a budget of their own; further kinds share
// one budget.
const maximumKinds = 256

// budget counts the lines of one kind in one second.
type budget struct {
	second  int64
	written int
	leftOut uint64
}

// Stream holds the queue of lines and the budgets, which all its cores share. It is safe for concurrent
// use.
type Stream struct {
	options Options
	lines   chan []byte

	lock    sync.Mutex
	budgets map[string]*budget
	// lost counts the lines that found the queue full.
	lost uint64
}

// NewStream returns a stream that queues lines until Run writes them.
func NewStream(options Options) *Stream {
	return &Stream{
		options: options,
		lines:   make(chan []byte, options.QueueLines),
		budgets: make(map[string]*budget),
	}
}

// Run writes lines to output until ctx ends, and then those that are still queued.
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

// drain writes the queued lines.
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

// Lost returns the number of lines that were lost because the queue was full.
func (stream *Stream) Lost() uint64 {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	return stream.lost
}

// spendBudget uses up one line of the kind's budget. It returns the number of lines of the kind
// that were left out before this one, and reports whether the budget has room for this one.
func (stream *Stream) spendBudget(kind string, now time.Time) (leftOut uint64, granted bool) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	kindBudget := stream.budgets[kind]
	if kindBudget == nil {
		if len(stream.budgets) >= maximumKinds {
			kind = ""
		}
		if kindBudget = stream.budgets[kind]; kindBudget == nil {
			kindBudget = &budget{}
			stream.budgets[kind] = kindBudget
		}
	}
	if second := now.Unix(); kindBudget.second != second {
		kindBudget.second = second
		kindBudget.written = 0
	}
	if kindBudget.written >= stream.options.LinesPerSecond {
		kindBudget.leftOut++
		return 0, false
	}
	kindBudget.written++
	leftOut = kindBudget.leftOut
	kindBudget.leftOut = 0
	return leftOut, true
}

// enqueue queues a line, or counts it as lost if the queue is full.
func (stream *Stream) enqueue(line []byte) {
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
	for _, field := range withErrorTexts(fields) {
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

// Write implements zapcore.Core. It never blocks on the output.
func (core *Core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	leftOut, granted := core.stream.spendBudget(entry.LoggerName+"\x00"+entry.Message, entry.Time)
	if !granted {
		return nil
	}
	if leftOut > 0 {
		fields = append(fields[:len(fields):len(fields)], zapcore.Field{
			Key: "left_out", Type: zapcore.Uint64Type, Integer: int64(leftOut),
		})
	}
	buffer, err := core.encoder.EncodeEntry(entry, withErrorTexts(fields))
	if err != nil {
		return err
	}
	core.stream.enqueue(append([]byte(nil), buffer.Bytes()...))
	buffer.Free()
	return nil
}

// withErrorTexts returns the fields with errors replaced by their texts, because zap would add the
// stack traces that some errors carry.
func withErrorTexts(fields []zapcore.Field) []zapcore.Field {
	for index, field := range fields {
		failure, isError := field.Interface.(error)
		if field.Type != zapcore.ErrorType || !isError {
			continue
		}
		copied := append([]zapcore.Field(nil), fields...)
		copied[index] = zapcore.Field{Key: field.Key, Type: zapcore.StringType, String: failure.Error()}
		return withErrorTexts(copied)
	}
	return fields
}

// Sync implements zapcore.Core. It does nothing; Run writes the queued lines.
func (core *Core) Sync() error { return nil }
