package logring

import (
	"go.uber.org/zap/zapcore"
)

// Core is a zap core that appends entries as JSON lines to a ring. Entries at error level or above
// also make the dumper write the ring to a file.
type Core struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	ring    *Ring
	dumper  *Dumper
}

// NewCore returns a core that keeps entries that level enables.
func NewCore(level zapcore.LevelEnabler, ring *Ring, dumper *Dumper) *Core {
	configuration := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		StacktraceKey:  "stack",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	return &Core{
		LevelEnabler: level,
		encoder:      zapcore.NewJSONEncoder(configuration),
		ring:         ring,
		dumper:       dumper,
	}
}

// With implements zapcore.Core.
func (core *Core) With(fields []zapcore.Field) zapcore.Core {
	encoder := core.encoder.Clone()
	for _, field := range fields {
		field.AddTo(encoder)
	}
	return &Core{LevelEnabler: core.LevelEnabler, encoder: encoder, ring: core.ring, dumper: core.dumper}
}

// Check implements zapcore.Core.
func (core *Core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if core.Enabled(entry.Level) {
		return checked.AddCore(entry, core)
	}
	return checked
}

// Write implements zapcore.Core.
func (core *Core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	buffer, err := core.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	core.ring.Append(buffer.Bytes())
	buffer.Free()
	if entry.Level >= zapcore.ErrorLevel {
		return core.dumper.Dump(ReasonError)
	}
	return nil
}

// Sync implements zapcore.Core. It does nothing; only the dumper writes the ring to a file.
func (core *Core) Sync() error { return nil }
