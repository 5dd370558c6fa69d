// Package process is the common base of all long-running processes: an fx application with a log
// ring, metrics, health and readiness endpoints, supervised goroutines, reloading of settings, and a
// graceful stop on SIGTERM or SIGINT.
//
// It provides settings.Settings, settings.File, *zap.Logger, *logring.Ring, *logring.Dumper,
// *prometheus.Registry, *Readiness, *Reloads and *Tasks, and requires nothing.
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

// ExitFailure is the exit code of a process that stopped because of a failure.
const ExitFailure = 1

// dumpFolder is the folder, within the data folder, to which log rings are written.
const dumpFolder = "rings"

const (
	// startTimeout bounds the time to start all parts.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the time of a planned stop. It is long because an agent waits for uploads and
	// feeds in progress to end.
	stopTimeout = 15 * time.Minute
	// logFlushTimeout bounds the time to write the last log lines, because standard output may block.
	logFlushTimeout = 200 * time.Millisecond
)

// Run runs the parts of a role with the settings in file until SIGTERM, SIGINT or a failure. It
// returns an error if the process failed.
func Run(role string, file settings.File, parts ...fx.Option) error {
	chosen, err := file.Load()
	if err != nil {
		return err
	}
	ring := logring.New(chosen.Log.RingLines)
	dumper := logring.NewDumper(filepath.Join(chosen.DataFolder, dumpFolder), chosen.Node, ring, time.Now)
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

// newLogCore returns a core that writes log lines to the ring and, if the settings say so, to
// standard output. The returned function ends the output after the remaining lines are written, or
// after logFlushTimeout.
func newLogCore(chosen settings.Log, ring *logring.Ring, dumper *logring.Dumper) (zapcore.Core, func()) {
	ringCore := logring.NewCore(zapcore.DebugLevel, ring, dumper)
	if !chosen.Output {
		return ringCore, func() {}
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
	return zapcore.NewTee(ringCore, logstream.NewCore(stream)), func() {
		cancel()
		select {
		case <-done:
		case <-time.After(logFlushTimeout):
		}
	}
}

// newFxLogger returns a logger for events of fx. It logs them at debug level, because they matter only
// when something fails.
func newFxLogger(logger *zap.Logger) fxevent.Logger {
	wiring := &fxevent.ZapLogger{Logger: logger.Named("fx")}
	wiring.UseLogLevel(zapcore.DebugLevel)
	return wiring
}

// runApplication starts the application, waits for a signal or a failure, and stops it. If the start
// or the stop fails, it writes the log ring.
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
		return faults.New(faults.CodeTaskFailed, "stopped by a fault; the log ring is in the data folder under %s", dumpFolder)
	}
	return nil
}

// rootFault returns the innermost error in err's chain that has a fault code, or err if none has one.
// fx wraps the error of a failed start in text that does not help the operator.
func rootFault(err error) error {
	for inner := err; inner != nil; inner = errors.Unwrap(inner) {
		if faults.CodeOf(inner) != 0 {
			err = inner
		}
	}
	return err
}

// dumpOnSignal writes the log ring on SIGUSR1.
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
					return fmt.Errorf("write the log ring: %w", err)
				}
			}
		}
	})
}
