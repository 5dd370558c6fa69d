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

// settingsPollInterval is the interval at which the settings file is checked for changes.
const settingsPollInterval = time.Second

// Reloads notifies parts of the process of changed settings. Each part decides which settings it
// applies immediately; changes of other settings need a restart.
type Reloads struct {
	lock      sync.Mutex
	listeners []func(settings.Settings)
}

func newReloads() *Reloads { return &Reloads{} }

// OnChange registers listener, which is called with the new settings after each change. Listeners are
// called one after the other from one goroutine.
func (reloads *Reloads) OnChange(listener func(settings.Settings)) {
	reloads.lock.Lock()
	defer reloads.lock.Unlock()
	reloads.listeners = append(reloads.listeners, listener)
}

func (reloads *Reloads) notify(changed settings.Settings) {
	reloads.lock.Lock()
	defer reloads.lock.Unlock()
	for _, listener := range reloads.listeners {
		listener(changed)
	}
}

// watchSettings reloads the settings on SIGHUP and when the file changes. If the new settings are
// invalid, it logs the reason and keeps the previous ones.
func watchSettings(tasks *Tasks, file settings.File, chosen settings.Settings, reloads *Reloads, logger *zap.Logger) {
	watcher := &settingsWatcher{file: file, current: chosen, reloads: reloads, logger: logger.Named("settings")}
	watcher.lastFingerprint, _ = file.Fingerprint()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	tasks.Go("settings", func(ctx context.Context) error {
		defer signal.Stop(signals)
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				watcher.reload("signal")
			case <-ticker.C:
				watcher.reloadIfChanged()
			}
		}
	})
}

// settingsWatcher reloads the settings file.
type settingsWatcher struct {
	file            settings.File
	lastFingerprint settings.Fingerprint
	current         settings.Settings
	reloads         *Reloads
	logger          *zap.Logger
}

// reloadIfChanged reloads the settings if the file has another fingerprint than at the last reload.
func (watcher *settingsWatcher) reloadIfChanged() {
	fingerprint, err := watcher.file.Fingerprint()
	if err != nil || fingerprint == watcher.lastFingerprint {
		return
	}
	watcher.reload("file changed")
}

// reload reads the file and notifies the listeners if the settings changed. Cause is logged.
func (watcher *settingsWatcher) reload(cause string) {
	watcher.lastFingerprint, _ = watcher.file.Fingerprint()
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
	watcher.reloads.notify(changed)
}
