package caller

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// lifetimeParetoShape is the shape parameter of the Pareto distribution of connection lifetimes:
// most are short and a few are very long.
const lifetimeParetoShape = 1.5

// pool keeps the connections that calls and uploads share. Each slot holds one connection, which is
// replaced when it has ended, is going away or is past its lifetime.
type pool struct {
	options         Options
	recorder        *recorder
	connectionSlots []connectionSlot
	monitors        sync.WaitGroup
}

// connectionSlot holds one connection of the pool. Its lock also serializes opening a new one.
type connectionSlot struct {
	lock    sync.Mutex
	current *flow
	expires time.Time
}

func newPool(options Options, recorder *recorder) *pool {
	return &pool{options: options, recorder: recorder, connectionSlots: make([]connectionSlot, options.Connections)}
}

// acquire returns the connection of the slot at index and increments its count of requests in
// progress; every acquire needs a later release. It opens a new connection when the current one is
// not usable.
func (pool *pool) acquire(ctx context.Context, index int) (*flow, error) {
	slot := &pool.connectionSlots[index]
	slot.lock.Lock()
	defer slot.lock.Unlock()
	if slot.current != nil && pool.usable(slot) {
		slot.current.inProgress.Add(1)
		return slot.current, nil
	}
	pool.retire(slot.current)
	slot.current = nil
	opened, err := pool.open(ctx)
	if err != nil {
		return nil, err
	}
	slot.current = opened
	slot.expires = pool.expiry()
	opened.inProgress.Add(1)
	return opened, nil
}

func (pool *pool) usable(slot *connectionSlot) bool {
	expired := !slot.expires.IsZero() && time.Now().After(slot.expires)
	return slot.current.alive() && !slot.current.goingAway.Load() && !expired
}

// open opens a connection and starts a goroutine that records how it ends.
func (pool *pool) open(ctx context.Context) (*flow, error) {
	opened, err := openFlow(ctx, pool.options.Source, pool.options.Address)
	if err != nil {
		pool.recorder.recordFlowFailed(err)
		return nil, err
	}
	pool.recorder.recordFlowOpened()
	pool.monitors.Add(1)
	go func() {
		defer pool.monitors.Done()
		end, cause := opened.waitForEnd()
		opened.release()
		pool.recorder.recordFlowEnded(opened, end, cause)
	}()
	return opened, nil
}

// retire marks a connection to be closed once its requests have ended, or closes it at once when it
// has none.
func (pool *pool) retire(old *flow) {
	if old == nil || !old.alive() {
		return
	}
	old.retired.Store(true)
	if old.inProgress.Load() == 0 {
		old.close()
	}
}

// release decrements the connection's count of requests in progress, and closes the connection if it
// was retired and this was its last request.
func (pool *pool) release(used *flow) {
	if used.inProgress.Add(-1) == 0 && used.retired.Load() {
		used.close()
	}
}

// expiry returns when a new connection expires, with a Pareto-distributed lifetime whose mean is
// Options.ConnectionLifetime. The zero time means never.
func (pool *pool) expiry() time.Time {
	mean := pool.options.ConnectionLifetime
	if mean == 0 {
		return time.Time{}
	}
	shortest := float64(mean) * (lifetimeParetoShape - 1) / lifetimeParetoShape
	drawn := shortest / math.Pow(1-rand.Float64(), 1/lifetimeParetoShape)
	return time.Now().Add(time.Duration(drawn))
}

// close closes all connections and waits until their ends have been recorded.
func (pool *pool) close() {
	for index := range pool.connectionSlots {
		slot := &pool.connectionSlots[index]
		slot.lock.Lock()
		if slot.current != nil {
			slot.current.close()
		}
		slot.lock.Unlock()
	}
	pool.monitors.Wait()
}
