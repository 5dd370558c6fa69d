package process

import (
	"context"
	"errors"
	"runtime/debug"
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/logring"
)

// Tasks runs the goroutines of a process. When a task fails or panics, the log ring is written and the
// process stops: a restart by its supervisor is better than running without one of its parts.
type Tasks struct {
	ctx        context.Context
	cancel     context.CancelFunc
	logger     *zap.Logger
	dumper     *logring.Dumper
	shutdowner fx.Shutdowner
	running    sync.WaitGroup
}

// NewTasks returns Tasks without tasks. When the process stops, it ends all tasks and waits for them.
func NewTasks(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, logger *zap.Logger, dumper *logring.Dumper) *Tasks {
	ctx, cancel := context.WithCancel(context.Background())
	tasks := &Tasks{ctx: ctx, cancel: cancel, logger: logger, dumper: dumper, shutdowner: shutdowner}
	lifecycle.Append(fx.StopHook(tasks.stop))
	return tasks
}

// Go runs a task in a goroutine. Its context ends when the process stops. An error other than
// context.Canceled is a failure. The name appears in logs.
func (tasks *Tasks) Go(name string, run func(ctx context.Context) error) {
	tasks.running.Add(1)
	go func() {
		defer tasks.running.Done()
		defer tasks.recoverPanic(name)
		err := run(tasks.ctx)
		if err != nil && !errors.Is(err, context.Canceled) {
			tasks.fail(name, err)
		}
	}()
}

// recoverPanic logs a panic of the task, writes the log ring and stops the process.
func (tasks *Tasks) recoverPanic(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	tasks.logger.Warn("task panicked", zap.String("task", name), zap.Any("panic", cause), zap.ByteString("stack", debug.Stack()))
	_ = tasks.dumper.Dump(logring.ReasonPanic)
	_ = tasks.shutdowner.Shutdown(fx.ExitCode(ExitFailure))
}

// fail logs the failure of a task and stops the process. The logger writes the log ring, as for every
// line at error level.
func (tasks *Tasks) fail(name string, err error) {
	tasks.logger.Error("task failed", zap.String("task", name), zap.Error(err))
	_ = tasks.shutdowner.Shutdown(fx.ExitCode(ExitFailure))
}

// stop ends the context of all tasks and waits for the tasks until ctx ends.
func (tasks *Tasks) stop(ctx context.Context) error {
	tasks.cancel()
	done := make(chan struct{})
	go func() {
		tasks.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
