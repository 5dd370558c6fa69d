package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// start is the time at which the tests' controllers start.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time a number of milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// newTwoSlotController returns a controller with two slots and no slow start, which
// estimates a service time of 50 ms at first.
func newTwoSlotController(maximumQueue int) *Controller {
	return New(Options{Slots: 2, MaximumQueue: maximumQueue, MaximumFeeds: 2, StartedAt: start, Seed: 1})
}

// call returns a call that arrives at now and allows some time until its deadline.
func call(id int, now time.Time, allowed time.Duration) Request {
	return Request{ID: RequestID(id), Class: model.ClassCall, Weight: 2, Arrived: now, Deadline: now.Add(allowed)}
}

func upload(id int, now time.Time, allowed time.Duration) Request {
	return Request{ID: RequestID(id), Class: model.ClassUpload, Weight: 1, Arrived: now, Deadline: now.Add(allowed)}
}

func feed(id int, now time.Time) Request {
	return Request{ID: RequestID(id), Class: model.ClassFeed, Weight: 1, Arrived: now, Deadline: now.Add(time.Second)}
}

// admitted returns the decision to run a request.
func admitted(id int) Decision { return Decision{ID: RequestID(id), Verdict: VerdictRun} }

// requireRefusal requires that decisions is one refusal of a request with a code, and a
// Retry-After time of at least minimumRetryAfter. It returns the refusal.
func requireRefusal(t *testing.T, decisions []Decision, id int, code faults.Code) Decision {
	t.Helper()
	require.Len(t, decisions, 1)
	require.Equal(t, RequestID(id), decisions[0].ID)
	require.Equal(t, VerdictRefuse, decisions[0].Verdict)
	require.Equal(t, code, decisions[0].Code)
	require.GreaterOrEqual(t, decisions[0].RetryAfter, minimumRetryAfter)
	return decisions[0]
}

func TestSlotsBoundRunningCalls(t *testing.T) {
	controller := newTwoSlotController(8)
	require.Equal(t, []Decision{admitted(1)}, controller.Offer(start, call(1, start, time.Second)))
	require.Equal(t, []Decision{admitted(2)}, controller.Offer(start, call(2, start, time.Second)))
	require.Empty(t, controller.Offer(start, call(3, start, time.Second)))
	require.Equal(t, Load{Running: 2, Waiting: 1, Slots: 2, Healthy: true}, controller.Load(start))
	require.Equal(t, []Decision{admitted(3)}, controller.Finish(at(50), 1, ResultAnswered))
}

func TestQueueOrder(t *testing.T) {
	unit := time.Second * 10
	cases := []struct {
		name    string
		waiting []Request
		order   []int
	}{
		{"earlier deadline first", []Request{call(3, start, 5*unit), call(4, start, 2*unit)}, []int{4, 3}},
		{"call before upload of equal deadline", []Request{upload(3, start, 4*unit), call(4, start, 4*unit)}, []int{4, 3}},
		{"upload that has waited long goes first", []Request{upload(3, start, 3*unit), call(4, at(20_000), 5*unit)}, []int{3, 4}},
		{"equal weighted deadlines in order of arrival", []Request{call(3, start, unit), call(4, start, unit)}, []int{3, 4}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			controller := newTwoSlotController(8)
			controller.Offer(start, call(1, start, time.Minute))
			controller.Offer(start, call(2, start, time.Minute))
			for _, request := range test.waiting {
				require.Empty(t, controller.Offer(request.Arrived, request))
			}
			later := test.waiting[len(test.waiting)-1].Arrived.Add(time.Second)
			require.Equal(t, []Decision{admitted(test.order[0])}, controller.Finish(later, 1, ResultNeutral))
			require.Equal(t, []Decision{admitted(test.order[1])}, controller.Finish(later, 2, ResultNeutral))
		})
	}
}

func TestUploadsNeverHoldAllSlots(t *testing.T) {
	controller := newTwoSlotController(8)
	require.Equal(t, []Decision{admitted(1)}, controller.Offer(start, upload(1, start, time.Minute)))
	require.Empty(t, controller.Offer(start, upload(2, start, time.Minute)))
	// The call overtakes the upload, because the free slot is reserved for calls.
	require.Equal(t, []Decision{admitted(3)}, controller.Offer(start, call(3, start, time.Minute)))
	require.Empty(t, controller.Finish(at(10), 3, ResultAnswered))
	require.Equal(t, []Decision{admitted(2)}, controller.Finish(at(20), 1, ResultAnswered))
}

func TestSingleSlotAlsoServesUploads(t *testing.T) {
	controller := New(Options{Slots: 1, MaximumQueue: 1, MaximumFeeds: 1, StartedAt: start, Seed: 1})
	require.Equal(t, []Decision{admitted(1)}, controller.Offer(start, upload(1, start, time.Minute)))
}

func TestFeedsHoldNoSlotAndAreBounded(t *testing.T) {
	controller := newTwoSlotController(8)
	require.Equal(t, []Decision{admitted(1)}, controller.Offer(start, feed(1, start)))
	require.Equal(t, []Decision{admitted(2)}, controller.Offer(start, feed(2, start)))
	requireRefusal(t, controller.Offer(start, feed(3, start)), 3, faults.RequestTooManyFeeds)
	require.Equal(t, []Decision{admitted(4)}, controller.Offer(start, call(4, start, time.Second)))
	require.Equal(t, Load{Running: 1, Feeds: 2, Slots: 2, Healthy: true}, controller.Load(start))
	controller.Finish(start, 1, ResultAnswered)
	require.Equal(t, []Decision{admitted(5)}, controller.Offer(start, feed(5, start)))
}

func TestRefusals(t *testing.T) {
	t.Run("queue full", func(t *testing.T) {
		controller := newTwoSlotController(1)
		for id := 1; id <= 3; id++ {
			controller.Offer(start, call(id, start, time.Minute))
		}
		requireRefusal(t, controller.Offer(start, call(4, start, 2*time.Minute)), 4, faults.RequestQueueFull)
	})
	t.Run("call displaces a queued upload", func(t *testing.T) {
		controller := newTwoSlotController(1)
		controller.Offer(start, call(1, start, time.Minute))
		controller.Offer(start, call(2, start, time.Minute))
		require.Empty(t, controller.Offer(start, upload(3, start, time.Minute)))
		requireRefusal(t, controller.Offer(start, call(4, start, time.Minute)), 3, faults.RequestDisplaced)
	})
	t.Run("expected wait exceeds the deadline", func(t *testing.T) {
		controller := newTwoSlotController(64)
		for id := 1; id <= 12; id++ {
			controller.Offer(start, call(id, start, 600*time.Millisecond))
		}
		// Two run and ten wait: 12 times 50 ms over two slots is 300 ms.
		unmeetable := upload(13, start, 320*time.Millisecond)
		requireRefusal(t, controller.Offer(start, unmeetable), 13, faults.RequestDeadlineTooShort)
	})
	t.Run("later requests delay a queued one beyond its deadline", func(t *testing.T) {
		controller := newTwoSlotController(64)
		controller.Offer(start, call(1, start, time.Minute))
		controller.Offer(start, call(2, start, time.Minute))
		require.Empty(t, controller.Offer(start, upload(3, start, 260*time.Millisecond)))
		var refused []Decision
		for id := 4; id <= 12 && len(refused) == 0; id++ {
			refused = controller.Offer(start, call(id, start, 250*time.Millisecond))
		}
		requireRefusal(t, refused, 3, faults.RequestDeadlineTooShort)
	})
	t.Run("deadline passed in the queue", func(t *testing.T) {
		controller := newTwoSlotController(64)
		controller.Offer(start, call(1, start, time.Minute))
		controller.Offer(start, call(2, start, time.Minute))
		require.Empty(t, controller.Offer(start, call(3, start, 200*time.Millisecond)))
		next, pending := controller.NextChange(start)
		require.True(t, pending)
		require.Equal(t, at(200), next)
		require.Empty(t, controller.Reconcile(at(199)))
		requireRefusal(t, controller.Reconcile(next), 3, faults.RequestDeadlinePassed)
	})
}

func TestForecastEqualsOffer(t *testing.T) {
	controller := newTwoSlotController(1)
	for id := 1; id <= 3; id++ {
		_, refused := controller.Forecast(start, call(id, start, time.Minute))
		require.False(t, refused)
		controller.Offer(start, call(id, start, time.Minute))
	}
	decision, refused := controller.Forecast(start, call(4, start, 2*time.Minute))
	require.True(t, refused)
	require.Equal(t, faults.RequestQueueFull, decision.Code)
	require.Equal(t, 1, controller.Load(start).Waiting)
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	controller := newTwoSlotController(8)
	controller.Offer(start, call(1, start, time.Minute))
	controller.Offer(start, call(2, start, time.Minute))
	controller.Offer(start, call(3, start, time.Minute))
	require.Empty(t, controller.Cancel(start, 3))
	require.Empty(t, controller.Finish(start, 1, ResultAnswered))
	require.Equal(t, Load{Running: 1, Slots: 2, Healthy: true}, controller.Load(start))
}

// An estimated service time beyond the allowed time must not refuse requests while a slot
// is idle. Nothing would correct the estimate if no request ran.
func TestHighEstimateStillAdmitsToIdleSlot(t *testing.T) {
	controller := newTwoSlotController(8)
	controller.Offer(start, call(1, start, time.Minute))
	controller.Finish(at(30_000), 1, ResultAnswered)
	now := at(30_000)
	require.Equal(t, []Decision{admitted(2)}, controller.Offer(now, call(2, now, time.Second)))
}

func TestColdStartRamp(t *testing.T) {
	controller := New(Options{Slots: 3, MaximumQueue: 8, MaximumFeeds: 1, ColdStart: 10 * time.Second, StartedAt: start, Seed: 1})
	for _, step := range []struct{ milliseconds, slots int }{{0, 1}, {4999, 1}, {5000, 2}, {9999, 2}, {10_000, 3}} {
		load := controller.Load(at(step.milliseconds))
		require.Equal(t, step.slots, load.Slots, "after %d ms", step.milliseconds)
		require.Equal(t, step.milliseconds < 10_000, load.Cold)
	}
}

func TestRampStartsQueuedRequests(t *testing.T) {
	controller := New(Options{Slots: 2, MaximumQueue: 8, MaximumFeeds: 1, ColdStart: 4 * time.Second, StartedAt: start, Seed: 1})
	require.Equal(t, []Decision{admitted(1)}, controller.Offer(start, call(1, start, time.Minute)))
	require.Empty(t, controller.Offer(start, call(2, start, time.Minute)))
	next, pending := controller.NextChange(start)
	require.True(t, pending)
	require.Equal(t, at(4000), next)
	require.Equal(t, []Decision{admitted(2)}, controller.Reconcile(next))
}

func TestShedLowersSlotsForAWhile(t *testing.T) {
	controller := newTwoSlotController(8)
	controller.Offer(start, call(1, start, time.Minute))
	controller.Offer(start, call(2, start, time.Minute))
	controller.Finish(start, 1, ResultShed)
	require.Equal(t, 1, controller.Load(start).Slots)
	require.Empty(t, controller.Offer(start, call(3, start, time.Minute)))
	require.Equal(t, []Decision{admitted(3)}, controller.Reconcile(start.Add(shedHoldTime)))
	require.True(t, controller.Load(start).Healthy)
}

// failRequests runs count requests that fail at now, and returns the decisions of the last
// failure.
func failRequests(controller *Controller, now time.Time, firstID, count int) []Decision {
	var decisions []Decision
	for id := firstID; id < firstID+count; id++ {
		controller.Offer(now, call(id, now, time.Minute))
		decisions = controller.Finish(now, RequestID(id), ResultFailed)
	}
	return decisions
}

func TestBreakerOpensAndProbes(t *testing.T) {
	controller := newTwoSlotController(8)
	failRequests(controller, start, 1, breakerFailureThreshold)
	require.False(t, controller.Load(start).Healthy)
	refused := requireRefusal(t, controller.Offer(start, call(10, start, time.Minute)), 10, faults.BackendUnhealthy)
	require.GreaterOrEqual(t, refused.RetryAfter, breakerInitialBackoff)

	probeAt := start.Add(breakerInitialBackoff)
	require.Equal(t, []Decision{admitted(11)}, controller.Offer(probeAt, call(11, probeAt, time.Minute)))
	require.Empty(t, controller.Offer(probeAt, call(12, probeAt, time.Minute)), "one probe at a time")
	// The failed probe opens the breaker again, which refuses the queued request.
	requireRefusal(t, controller.Finish(probeAt, 11, ResultFailed), 12, faults.BackendUnhealthy)

	again := probeAt.Add(2 * breakerInitialBackoff)
	require.Equal(t, []Decision{admitted(13)}, controller.Offer(again, call(13, again, time.Minute)))
	controller.Finish(again, 13, ResultAnswered)
	require.Equal(t, []Decision{admitted(14)}, controller.Offer(again, call(14, again, time.Minute)))
	controller.Finish(again, 14, ResultAnswered)
	require.True(t, controller.Load(again).Healthy)
}

func TestCancelledProbeAllowsAnother(t *testing.T) {
	controller := newTwoSlotController(8)
	failRequests(controller, start, 1, breakerFailureThreshold)
	probeAt := start.Add(breakerInitialBackoff)
	require.Equal(t, []Decision{admitted(11)}, controller.Offer(probeAt, call(11, probeAt, time.Minute)))
	controller.Finish(probeAt, 11, ResultNeutral)
	require.Equal(t, []Decision{admitted(12)}, controller.Offer(probeAt, call(12, probeAt, time.Minute)))
}

func TestOpeningBreakerRefusesQueuedRequests(t *testing.T) {
	controller := newTwoSlotController(8)
	failRequests(controller, start, 1, breakerFailureThreshold-1)
	controller.Offer(start, call(10, start, time.Minute))
	controller.Offer(start, call(11, start, time.Minute))
	require.Empty(t, controller.Offer(start, call(12, start, time.Minute)))
	requireRefusal(t, controller.Finish(start, 10, ResultFailed), 12, faults.BackendUnhealthy)
}

// A closed controller, of a target that has drained for a while, refuses queued and new
// requests. Running requests continue.
func TestClosedControllerStartsNothing(t *testing.T) {
	controller := newTwoSlotController(8)
	controller.Offer(start, call(1, start, time.Minute))
	controller.Offer(start, call(2, start, time.Minute))
	require.Empty(t, controller.Offer(start, call(3, start, time.Minute)))
	requireRefusal(t, controller.SetClosed(start, true), 3, faults.RequestDraining)
	require.Empty(t, controller.SetClosed(start, true), "closing a closed controller decides nothing")
	requireRefusal(t, controller.Offer(start, call(4, start, time.Minute)), 4, faults.RequestDraining)
	requireRefusal(t, controller.Offer(start, feed(5, start)), 5, faults.RequestDraining)
	forecast, refused := controller.Forecast(start, call(6, start, time.Minute))
	require.True(t, refused)
	requireRefusal(t, []Decision{forecast}, 6, faults.RequestDraining)
	require.Empty(t, controller.Finish(start, 1, ResultAnswered))
	require.Equal(t, 1, controller.Load(start).Running)
	require.Empty(t, controller.SetClosed(start, false))
	require.Equal(t, []Decision{admitted(7)}, controller.Offer(start, call(7, start, time.Minute)))
}

// Callers that are refused at the same time must not all retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	controller := newTwoSlotController(0)
	controller.Offer(start, call(1, start, time.Minute))
	controller.Offer(start, call(2, start, time.Minute))
	seen := make(map[time.Duration]int)
	for id := 3; id < 103; id++ {
		refused := requireRefusal(t, controller.Offer(start, call(id, start, time.Minute)), id, faults.RequestQueueFull)
		seen[refused.RetryAfter.Truncate(10*time.Millisecond)]++
	}
	require.Greater(t, len(seen), 15)
}

func TestRetryAfterGrowsWithWork(t *testing.T) {
	controller := newTwoSlotController(200)
	for id := 1; id <= 202; id++ {
		controller.Offer(start, call(id, start, time.Hour))
	}
	refused := requireRefusal(t, controller.Offer(start, call(300, start, 2*time.Hour)), 300, faults.RequestQueueFull)
	// 202 requests of 50 ms over two slots are 5.05 s.
	require.GreaterOrEqual(t, refused.RetryAfter, 5*time.Second)
	require.Less(t, refused.RetryAfter, 11*time.Second)
}

func TestResize(t *testing.T) {
	controller := newTwoSlotController(8)
	for id := 1; id <= 3; id++ {
		controller.Offer(start, call(id, start, time.Minute))
	}
	controller.Resize(3, 8, 2)
	require.Equal(t, []Decision{admitted(3)}, controller.Reconcile(start))
	controller.Resize(1, 8, 2)
	require.Empty(t, controller.Offer(start, call(4, start, time.Minute)))
	require.Empty(t, controller.Finish(start, 1, ResultAnswered))
	require.Empty(t, controller.Finish(start, 2, ResultAnswered))
	require.Equal(t, []Decision{admitted(4)}, controller.Finish(start, 3, ResultAnswered))
}
