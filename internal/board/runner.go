package board

import (
	"context"
	"sync"
	"time"
)

// Runner calls a controller from one goroutine, at regular intervals and immediately after a notice
// from any of its sources.
type Runner struct {
	controller Controller
	interval   time.Duration
	sources    []<-chan struct{}
}

// NewRunner returns a runner that calls controller at each interval and after notices from sources.
func NewRunner(controller Controller, interval time.Duration, sources ...<-chan struct{}) *Runner {
	return &Runner{controller: controller, interval: interval, sources: sources}
}

// Run calls the controller, first immediately, until ctx ends. A panic of the controller propagates
// out of Run, so that the process ends instead of continuing without the controller.
func (runner *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	notices := make(chan struct{}, 1)
	var forwarders sync.WaitGroup
	for _, source := range runner.sources {
		forwarders.Add(1)
		go func() {
			defer forwarders.Done()
			forwardNotices(ctx, source, notices)
		}()
	}
	defer forwarders.Wait()
	defer cancel()
	ticker := time.NewTicker(runner.interval)
	defer ticker.Stop()
	for {
		runner.controller.Reconcile(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-notices:
		}
	}
}

// forwardNotices merges the notices of source into notices until ctx ends.
func forwardNotices(ctx context.Context, source <-chan struct{}, notices chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-source:
		}
		select {
		case notices <- struct{}{}:
		default:
		}
	}
}
