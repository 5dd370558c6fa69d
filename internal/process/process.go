// Package process is the base of every long-running process: an fx
// application with the log ring, metrics, health and readiness, supervised
// goroutines, and a clean stop on SIGTERM or SIGINT.
//
// It provides settings.Settings, *zap.Logger, *logring.Ring, *logring.Dumper,
// *prometheus.Registry, *Readiness and *Tasks, and needs nothing.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/logring"
	"merlinpaddle/internal/logstream"
	"merlinpaddle/internal/settings"
)

// ExitFailure is the exit code of a process that stopped because of a fault.
const ExitFailure = 1

// ringFolder is the part of the data folder that holds written rings.
const ringFolder = "rings"

const (
	// startTimeout bounds the start of all parts.
	startTimeout = 30 * time.Second
	// stopTimeout bounds a planned stop. It is long because an agent lets
	// uploads and feeds run to their end.
	stopTimeout = 15 * time.Minute
	// lastLinesTimeout bounds the wait for a standard output that blocks.
	lastLinesTimeout = 200 * time.Millisecond
)

// Run runs the parts of one role with the settings of file until SIGTERM,
// SIGINT or a fault, and returns the fault if there was one.
func Run(role string, file settings.File, parts ...fx.Option) error {
	chosen, err := file.Load()
	if err != nil {
		return err
	}
	ring := logring.New(chosen.Log.RingLines)
	dumper := logring.NewDumper(filepath.Join(chosen.DataFolder, ringFolder), chosen.Node, ring, time.Now)
	core, closeLog := newLogCore(chosen.Log, ring, dumper)
	defer closeLog()
	logger := zap.New(core).
		Named(role).With(zap.String("node", chosen.Node), zap.String("zone", chosen.Zone))
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return newFxLogger(logger) }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(chosen, file, ring, dumper, logger),
		fx.Provide(NewTasks, NewReadiness, newRegistry, newReloads),
		fx.Invoke(serveStatus, dumpOnSignal, watchSettings),
		fx.Options(parts...),
	)
	logger.Info("process starts", zap.String("settings", file.Path))
	err = runApplication(app, dumper, logger)
	logger.Info("process ends", zap.Error(err))
	return err
}

// newLogCore returns where log lines go, and what writes the last ones.
func newLogCore(chosen settings.Log, ring *logring.Ring, dumper *logring.Dumper) (zapcore.Core, func()) {
	kept := logring.NewCore(zapcore.DebugLevel, ring, dumper)
	if !chosen.Output {
		return kept, func() {}
	}
	level, err := zapcore.ParseLevel(chosen.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	stream := logstream.NewStream(logstream.Options{
		Level:          level,
		LinesPerSecond: chosen.LinesPerSecond,
		QueueLines:     chosen.QueueLines,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		stream.Run(ctx, os.Stdout)
	}()
	return zapcore.NewTee(kept, logstream.NewCore(stream)), func() {
		cancel()
		select {
		case <-done:
		case <-time.After(lastLinesTimeout):
		}
	}
}

// newFxLogger returns a logger for the application's wiring, which matters
// only when something fails.
func newFxLogger(logger *zap.Logger) fxevent.Logger {
	wiring := &fxevent.ZapLogger{Logger: logger.Named("fx")}
	wiring.UseLogLevel(zapcore.DebugLevel)
	return wiring
}

func runApplication(app *fx.App, dumper *logring.Dumper, logger *zap.Logger) error {
	startContext, cancelStart := context.WithTimeout(context.Background(), startTimeout)
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		_ = dumper.Dump(logring.ReasonStart)
		return rootFault(err)
	}
	stopSignal := <-app.Wait()
	logger.Info("process stops", zap.String("signal", fmt.Sprint(stopSignal.Signal)), zap.Int("code", stopSignal.ExitCode))
	stopContext, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stopContext); err != nil {
		_ = dumper.Dump(logring.ReasonStop)
		return err
	}
	if stopSignal.ExitCode != 0 {
		return faults.New(faults.CodeTaskFailed, "stopped by a fault; the log ring is in the data folder under %s", ringFolder)
	}
	return nil
}

// rootFault unwraps fx's account of a failed start to the first error with a
// code, which is what the operator needs to read.
func rootFault(err error) error {
	for inner := err; inner != nil; inner = errors.Unwrap(inner) {
		if faults.CodeOf(inner) != 0 {
			err = inner
		}
	}
	return err
}

// dumpOnSignal writes the ring when the operator sends SIGUSR1.
func dumpOnSignal(tasks *Tasks, dumper *logring.Dumper) {
	tasks.Go("ring signal", func(ctx context.Context) error {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGUSR1)
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				if err := dumper.Dump(logring.ReasonSignal); err != nil {
					return fmt.Errorf("write the ring: %w", err)
				}
			}
		}
	})
}
