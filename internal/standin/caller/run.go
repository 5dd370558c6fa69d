package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Random number streams: each part of the caller has its own. Feed number n, from zero, uses
// streamFeeds+n.
const (
	streamCalls = iota + 1
	streamUploads
	streamFeeds
)

// Run generates the load for options.Duration, waits for the requests in progress, and returns the
// report. When ctx ends earlier, Run abandons the requests in progress.
func Run(ctx context.Context, options Options) Report {
	started := time.Now()
	requestContext, abandon := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abandon(nil)
	stop := context.AfterFunc(ctx, func() { abandon(errStopping) })
	defer stop()
	arrivalContext, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()

	recorder := newRecorder()
	pool := newPool(options, recorder)
	sender := &sender{options: options, pool: pool, recorder: recorder, retryBudget: newRetryBudget()}
	var running sync.WaitGroup
	startFeeds(requestContext, options, pool, recorder, &running)
	startArrivals(arrivalContext, requestContext, sender, &running)
	running.Wait()
	pool.close()
	return recorder.buildReport(options, started)
}

func startFeeds(requestContext context.Context, options Options, pool *pool, recorder *recorder, running *sync.WaitGroup) {
	deadline := time.Now().Add(options.Duration)
	for number := range options.Feeds {
		created := &feed{
			options:    options,
			pool:       pool,
			recorder:   recorder,
			identifier: fmt.Sprintf("%s-f-%d", options.Name, number+1),
			random:     rand.New(rand.NewPCG(options.Seed, uint64(streamFeeds+number))),
		}
		running.Go(func() { created.run(requestContext, deadline) })
	}
}

func startArrivals(arrivalContext, requestContext context.Context, sender *sender, running *sync.WaitGroup) {
	options := sender.options
	kinds := []*arrivals{
		{stream: "c", rate: options.CallsPerSecond, build: buildCall, random: rand.New(rand.NewPCG(options.Seed, streamCalls))},
		{stream: "u", rate: options.UploadsPerSecond, build: buildUpload, random: rand.New(rand.NewPCG(options.Seed, streamUploads))},
	}
	for _, kind := range kinds {
		kind.options = options
		kind.sender = sender
		running.Go(func() { kind.run(arrivalContext, requestContext, running) })
	}
}
