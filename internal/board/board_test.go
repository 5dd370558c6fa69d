package board

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func TestTableBehavesLikeMap(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("puts and deletes have the same effect as on a map", prop.ForAll(
		func(keys []uint32) bool {
			table := NewTable[uint32, int]("numbers", HashNumber[uint32])
			model := make(map[uint32]int)
			for index, key := range keys {
				key %= 8
				if index%3 == 0 {
					table.Delete(key)
					delete(model, key)
					continue
				}
				table.Put(key, index)
				model[key] = index
			}
			return sameContent(table, model)
		},
		gen.SliceOf(gen.UInt32()),
	))
	properties.TestingRun(t)
}

func sameContent(table *Table[uint32, int], model map[uint32]int) bool {
	rows := 0
	equal := true
	table.Range(func(key uint32, row Row[int]) bool {
		rows++
		expected, exists := model[key]
		equal = equal && exists && expected == row.Value
		return true
	})
	return equal && rows == len(model) && table.Length() == len(model)
}

func TestWriteRaisesRevisionAndNotifies(t *testing.T) {
	table := NewTable[string, int]("words", HashString[string])
	watch := table.Watch()
	first := table.Put("a", 1)
	second := table.Put("b", 2)
	require.Greater(t, second, first)
	require.Equal(t, second, table.Revision())
	require.Len(t, watch, 1, "two notices must be merged")
}

func TestConcurrentUpdatesOfOneRowAreAtomic(t *testing.T) {
	table := NewTable[uint32, int]("counters", HashNumber[uint32])
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 500 {
				table.Update(1, func(value int, _ bool) (int, bool) { return value + 1, true })
			}
		})
	}
	writers.Wait()
	value, exists := table.Get(1)
	require.True(t, exists)
	require.Equal(t, 4000, value)
}

func TestFullQueueDropsValues(t *testing.T) {
	queue := NewQueue[int]("numbers", 2)
	require.True(t, queue.Put(1))
	require.True(t, queue.Put(2))
	require.False(t, queue.Put(3))
	require.Equal(t, uint64(1), queue.Dropped())
	require.Equal(t, []int{1, 2}, queue.Drain())
	require.True(t, queue.Put(4))
}

type countingController struct{ calls atomic.Int64 }

func (controller *countingController) Name() string        { return "counting" }
func (controller *countingController) Reconcile(time.Time) { controller.calls.Add(1) }

func TestRunnerReconcilesOnTimerAndNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var notifier Notifier
		controller := &countingController{}
		runner := NewRunner(controller, time.Minute, notifier.Watch())
		ctx, cancel := context.WithCancel(t.Context())
		go runner.Run(ctx)
		synctest.Wait()
		require.Equal(t, int64(1), controller.calls.Load(), "immediately at the start")
		notifier.Notify()
		synctest.Wait()
		require.Equal(t, int64(2), controller.calls.Load(), "immediately after a notice")
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, int64(3), controller.calls.Load(), "again after the interval")
		cancel()
		synctest.Wait()
	})
}

// panickingController panics in its second call of Reconcile.
type panickingController struct{ calls int }

func (*panickingController) Name() string { return "failing" }

func (controller *panickingController) Reconcile(time.Time) {
	controller.calls++
	if controller.calls == 2 {
		panic("broken")
	}
}

// TestControllerPanicPropagatesFromRun guards against a runner that, after a panic of its controller,
// waits forever for its other goroutines. The process would then continue without the controller.
func TestControllerPanicPropagatesFromRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notifier := &Notifier{}
		runner := NewRunner(&panickingController{}, time.Second, notifier.Watch())
		require.PanicsWithValue(t, "broken", func() { runner.Run(t.Context()) })
	})
}
