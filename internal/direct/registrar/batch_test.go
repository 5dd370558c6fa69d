package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// TestTargetsThatStartTogetherAreBatched checks that the number of proposals grows with the number of
// batches, not of targets.
func TestTargetsThatStartTogetherAreBatched(t *testing.T) {
	const targets = 2000
	harness := newHarness(t)
	completed := 0
	for id := range directory.TargetID(targets) {
		harness.registrar.Register(harness.now, readyTarget(id+1, 1), harness.now.Add(800*time.Millisecond), func(err error) {
			require.NoError(t, err)
			completed++
		})
	}
	harness.run(300 * time.Millisecond)
	require.Equal(t, targets, completed)
	require.Len(t, harness.group.directory.Targets(), targets)
	require.LessOrEqual(t, harness.group.proposals, (targets+maxBatchTargets-1)/maxBatchTargets)
}

// TestSlowLeaderGetsLargerBatches: a leader that takes 120 ms to commit an entry gets one entry
// at a time, whatever the rate of registrations.
func TestSlowLeaderGetsLargerBatches(t *testing.T) {
	const commitTime = 120 * time.Millisecond
	var queue batchQueue
	var proposed []*batch
	acknowledged := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += time.Millisecond {
		now := startTime.Add(elapsed)
		queue.add(&registration{target: readyTarget(1, 1), deadline: now.Add(time.Second), done: func(_ directory.Token, err error) {
			require.NoError(t, err)
			acknowledged++
		}})
		if len(queue.inFlight) == 1 && now.Sub(queue.latestBegunAt) >= commitTime {
			finished := queue.inFlight[0]
			queue.remove(finished)
			finished.complete(directory.Result{Tokens: make([]directory.Token, len(finished.registrations))}, nil)
		}
		queue.expire(now)
		if next := queue.next(now); next != nil {
			proposed = append(proposed, next)
		}
		require.LessOrEqual(t, len(queue.inFlight), 1)
	}
	require.LessOrEqual(t, len(proposed), int(2*time.Second/commitTime)+1)
	require.Greater(t, acknowledged, 1700, "no registration waits for more than two batches")
}

// TestLostBatchDelaysTheNextByTheStallTimeout: a batch whose result never arrives must not hold
// back the next one until the deadlines of its own callers.
func TestLostBatchDelaysTheNextByTheStallTimeout(t *testing.T) {
	var queue batchQueue
	add := func(now time.Time) *registration {
		added := &registration{target: readyTarget(1, 1), deadline: now.Add(800 * time.Millisecond), done: func(directory.Token, error) {}}
		queue.add(added)
		return added
	}
	lost := add(startTime)
	require.NotNil(t, queue.next(startTime))
	second := add(startTime.Add(10 * time.Millisecond))
	require.Nil(t, queue.next(startTime.Add(batchStallTimeout-time.Millisecond)))
	next := queue.next(startTime.Add(batchStallTimeout))
	require.Equal(t, []*registration{second}, next.registrations)
	queue.expire(startTime.Add(805 * time.Millisecond))
	require.True(t, lost.completed)
	require.False(t, second.completed)
}

func TestDrainingTargetsAreProposedFirst(t *testing.T) {
	var queue batchQueue
	add := func(id directory.TargetID, state directory.TargetState) {
		target := readyTarget(id, 1)
		target.State = state
		queue.add(&registration{target: target, deadline: startTime.Add(time.Second)})
	}
	add(1, directory.TargetReady)
	add(2, directory.TargetDraining)
	add(3, directory.TargetReady)
	add(4, directory.TargetDraining)
	var order []directory.TargetID
	for _, target := range queue.next(startTime).command().RegisterAll.Targets {
		order = append(order, target.ID)
	}
	require.Equal(t, []directory.TargetID{2, 4, 1, 3}, order)
}

// TestExpiredRegistrationIsNotProposed: after a call failed, its target calls another member, so
// the failed call must not register the target later.
func TestExpiredRegistrationIsNotProposed(t *testing.T) {
	harness := newHarness(t)
	harness.group.unresponsive = true
	outcomes := make(map[directory.TargetID]faults.Code)
	register := func(id directory.TargetID, within time.Duration) {
		harness.registrar.Register(harness.now, readyTarget(id, 1), harness.now.Add(within), func(err error) { outcomes[id] = faults.CodeOf(err) })
	}
	register(1, 150*time.Millisecond)
	harness.run(25 * time.Millisecond)
	register(2, 100*time.Millisecond)
	harness.run(batchStallTimeout)
	require.Equal(t, map[directory.TargetID]faults.Code{1: faults.ForwardTimeout, 2: faults.QuorumUnconfirmed}, outcomes)
	require.Equal(t, 1, harness.group.proposals)
	harness.group.unresponsive = false
	register(3, time.Second)
	harness.run(time.Second)
	require.Zero(t, outcomes[3])
	require.Len(t, harness.group.directory.Targets(), 1, "the second registration must not be proposed")
}

// TestResultWithWrongTokenCountIsUnknown: a member must not acknowledge registrations that the
// leader did not confirm.
func TestResultWithWrongTokenCountIsUnknown(t *testing.T) {
	var outcome error
	proposed := &batch{registrations: []*registration{{done: func(_ directory.Token, err error) { outcome = err }}}}
	proposed.complete(directory.Result{Token: 5}, nil)
	require.Equal(t, faults.ProposalOutcomeUnknown, faults.CodeOf(outcome))
}
