package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
)

// TestManyTargetsThatStartTogether: what the leader is asked to commit grows with the
// batches of its members, not with their targets.
func TestManyTargetsThatStartTogether(t *testing.T) {
	const targets = 2000
	bench := newBench(t)
	ended := 0
	for id := range directory.TargetID(targets) {
		bench.registrar.Register(bench.now, ready(id+1, 1), bench.now.Add(800*time.Millisecond), func(err error) {
			require.NoError(t, err)
			ended++
		})
	}
	bench.run(300 * time.Millisecond)
	require.Equal(t, targets, ended)
	require.Len(t, bench.group.directory.Targets(), targets)
	require.LessOrEqual(t, bench.group.proposed, (targets+batchTargets-1)/batchTargets)
}

// TestSlowLeaderGetsLargerBatches: a leader that commits an entry in 120 ms is given one
// entry at a time, however fast registrations come.
func TestSlowLeaderGetsLargerBatches(t *testing.T) {
	const took = 120 * time.Millisecond
	var waiting batches
	var proposed []*batch
	taken := 0
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += time.Millisecond {
		now := start.Add(elapsed)
		waiting.add(&registration{stated: ready(1, 1), deadline: now.Add(time.Second), done: func(_ directory.Token, err error) {
			require.NoError(t, err)
			taken++
		}})
		if len(waiting.underWay) == 1 && now.Sub(waiting.begunAt) >= took {
			ended := waiting.underWay[0]
			waiting.settle(ended)
			ended.end(directory.Result{Tokens: make([]directory.Token, len(ended.registrations))}, nil)
		}
		waiting.expire(now)
		if begun := waiting.next(now); begun != nil {
			proposed = append(proposed, begun)
		}
		require.LessOrEqual(t, len(waiting.underWay), 1)
	}
	require.LessOrEqual(t, len(proposed), int(2*time.Second/took)+1)
	require.Greater(t, taken, 1700, "none waits for more than two batches")
}

// TestLostBatchHoldsUpTheNextOneForAWhile, not for as long as its callers wait.
func TestLostBatchHoldsUpTheNextOneForAWhile(t *testing.T) {
	var waiting batches
	add := func(now time.Time) *registration {
		added := &registration{stated: ready(1, 1), deadline: now.Add(800 * time.Millisecond), done: func(directory.Token, error) {}}
		waiting.add(added)
		return added
	}
	lost := add(start)
	require.NotNil(t, waiting.next(start))
	second := add(start.Add(10 * time.Millisecond))
	require.Nil(t, waiting.next(start.Add(batchPatience-time.Millisecond)))
	followed := waiting.next(start.Add(batchPatience))
	require.Equal(t, []*registration{second}, followed.registrations)
	waiting.expire(start.Add(805 * time.Millisecond))
	require.True(t, lost.ended)
	require.False(t, second.ended)
}

func TestTargetsThatLeaveGoFirst(t *testing.T) {
	var waiting batches
	add := func(id directory.TargetID, state directory.TargetState) {
		stated := ready(id, 1)
		stated.State = state
		waiting.add(&registration{stated: stated, deadline: start.Add(time.Second)})
	}
	add(1, directory.TargetReady)
	add(2, directory.TargetDraining)
	add(3, directory.TargetReady)
	add(4, directory.TargetDraining)
	var order []directory.TargetID
	for _, target := range waiting.next(start).command().RegisterAll.Targets {
		order = append(order, target.ID)
	}
	require.Equal(t, []directory.TargetID{2, 4, 1, 3}, order)
}

// TestRegistrationWhoseTimeIsOverIsNotProposed: its target called another member, and must
// not be registered by a call that it was told failed.
func TestRegistrationWhoseTimeIsOverIsNotProposed(t *testing.T) {
	bench := newBench(t)
	bench.group.silent = true
	outcomes := make(map[directory.TargetID]faults.Code)
	register := func(id directory.TargetID, within time.Duration) {
		bench.registrar.Register(bench.now, ready(id, 1), bench.now.Add(within), func(err error) { outcomes[id] = faults.CodeOf(err) })
	}
	register(1, 150*time.Millisecond)
	bench.run(25 * time.Millisecond)
	register(2, 100*time.Millisecond)
	bench.run(batchPatience)
	require.Equal(t, map[directory.TargetID]faults.Code{1: faults.ForwardTimeout, 2: faults.QuorumUnconfirmed}, outcomes)
	require.Equal(t, 1, bench.group.proposed)
	bench.group.silent = false
	register(3, time.Second)
	bench.run(time.Second)
	require.Zero(t, outcomes[3])
	require.Len(t, bench.group.directory.Targets(), 1, "the second one was never proposed")
}

// TestOutcomeThatDoesNotFitItsBatchIsUnknown: a member must not acknowledge what the leader
// did not confirm.
func TestOutcomeThatDoesNotFitItsBatchIsUnknown(t *testing.T) {
	var told error
	begun := &batch{registrations: []*registration{{done: func(_ directory.Token, err error) { told = err }}}}
	begun.end(directory.Result{Token: 5}, nil)
	require.Equal(t, faults.OutcomeUnknown, faults.CodeOf(told))
}
