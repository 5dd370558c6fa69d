package process

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/settings"
)

// settingsInterval is how often the settings file is looked at.
const settingsInterval = time.Second

// Reloads tells parts of the process that the settings changed. Which fields a
// part takes anew is the part's to say; others need a restart.
type Reloads struct {
	lock      sync.Mutex
	listeners []func(settings.Settings)
}

func newReloads() *Reloads { return &Reloads{} }

// OnChange calls listener with each new settings, from one goroutine.
func (reloads *Reloads) OnChange(listener func(settings.Settings)) {
	reloads.lock.Lock()
	defer reloads.lock.Unlock()
	reloads.listeners = append(reloads.listeners, listener)
}

func (reloads *Reloads) tell(changed settings.Settings) {
	reloads.lock.Lock()
	defer reloads.lock.Unlock()
	for _, listener := range reloads.listeners {
		listener(changed)
	}
}

// watchSettings reads the settings again on SIGHUP and when the file changed.
// Settings that are wrong are refused with the reason, and the former ones
// stay in force.
func watchSettings(tasks *Tasks, file settings.File, chosen settings.Settings, reloads *Reloads, logger *zap.Logger) {
	watcher := &settingsWatcher{file: file, current: chosen, reloads: reloads, logger: logger.Named("settings")}
	watcher.seen, _ = file.Fingerprint()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	tasks.Go("settings", func(ctx context.Context) error {
		defer signal.Stop(signals)
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				watcher.reload("signal")
			case <-ticker.C:
				watcher.look()
			}
		}
	})
}

type settingsWatcher struct {
	file    settings.File
	seen    settings.Fingerprint
	current settings.Settings
	reloads *Reloads
	logger  *zap.Logger
}

// look reloads the file when it is another one than before.
func (watcher *settingsWatcher) look() {
	fingerprint, err := watcher.file.Fingerprint()
	if err != nil || fingerprint == watcher.seen {
		return
	}
	watcher.reload("file changed")
}

func (watcher *settingsWatcher) reload(cause string) {
	watcher.seen, _ = watcher.file.Fingerprint()
	changed, err := watcher.file.Load()
	if err != nil {
		watcher.logger.Warn("settings refused", zap.String("cause", cause), zap.Int("code", int(faults.CodeOf(err))), zap.Error(err))
		return
	}
	same := reflect.DeepEqual(changed, watcher.current)
	watcher.logger.Info("settings reloaded", zap.String("cause", cause), zap.Bool("changed", !same))
	if same {
		return
	}
	watcher.current = changed
	watcher.reloads.tell(changed)
}
