package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	callPath   = "/call/view"
	oncePath   = "/once/submit"
	uploadPath = "/upload/bundle"
	// callBodyBytes is the size of a call's body.
	callBodyBytes = 256
)

// arrivals is a Poisson process that creates jobs of one kind at a fixed mean rate, whether or not
// earlier ones have been answered (open loop).
type arrivals struct {
	options Options
	sender  *sender
	random  *rand.Rand
	// stream is the part of request identifiers that distinguishes the arrival processes of one
	// caller.
	stream string
	// rate is the mean number of jobs per second; no jobs are created at zero.
	rate  float64
	build func(arrivals *arrivals, identifier string) job
}

// run creates jobs until ctx ends and sends each in its own goroutine. Requests in progress are
// bounded by requestContext instead, so they may outlast ctx.
func (arrivals *arrivals) run(ctx, requestContext context.Context, running *sync.WaitGroup) {
	if arrivals.rate <= 0 {
		return
	}
	next := time.Now()
	for number := 1; ; number++ {
		gap := arrivals.random.ExpFloat64() / arrivals.rate
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		created := arrivals.build(arrivals, fmt.Sprintf("%s-%s-%d", arrivals.options.Name, arrivals.stream, number))
		running.Add(1)
		go func() {
			defer running.Done()
			arrivals.sender.send(requestContext, created)
		}()
	}
}

// sleepUntil waits until moment and reports whether it was reached before ctx ended.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// buildCall creates a call. It makes the fraction Options.AtMostOnceFraction of them at-most-once
// calls with an idempotency key.
func buildCall(arrivals *arrivals, identifier string) job {
	created := arrivals.newJob(ClassCall, identifier, callPath, callBodyBytes)
	if arrivals.random.Float64() < arrivals.options.AtMostOnceFraction {
		created.class = ClassOnce
		created.path = oncePath
		created.key = "key-" + identifier
	}
	return created
}

// buildUpload creates an upload whose size is uniform between 0.5 and 1.5 times the mean.
func buildUpload(arrivals *arrivals, identifier string) job {
	size := arrivals.options.UploadBytes/2 + arrivals.random.IntN(arrivals.options.UploadBytes+1)
	return arrivals.newJob(ClassUpload, identifier, uploadPath, size)
}

// newJob creates a job with a random body of size bytes on a random connection of the pool.
func (arrivals *arrivals) newJob(class Class, identifier, path string, size int) job {
	body := make([]byte, size)
	for index := range body {
		body[index] = byte(arrivals.random.Uint32())
	}
	return job{
		class:      class,
		identifier: identifier,
		path:       path,
		body:       body,
		slotIndex:  arrivals.random.IntN(arrivals.options.Connections),
		seed:       arrivals.random.Uint64(),
	}
}
