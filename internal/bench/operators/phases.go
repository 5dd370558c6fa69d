package operators

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/checker"
)

// leaderTimeout bounds the wait for a leader.
const leaderTimeout = 20 * time.Second

// phases runs an undisturbed phase and then injects one failure after another.
// Each step repairs its own failure; after a cut it also waits for a phase length.
func (run *run) phases(ctx context.Context) error {
	steps := []struct {
		name string
		work func(ctx context.Context) error
	}{
		{"leader killed", run.killLeader},
		{"leader frozen and woken", run.freezeLeader},
		{"two zones cut off", run.cutMinority},
		{"no quorum", run.cutQuorum},
		{"healed", run.rest},
	}
	run.options.Progress("undisturbed")
	if err := run.rest(ctx); err != nil {
		return err
	}
	for _, step := range steps {
		run.options.Progress(step.name)
		run.history.beginPhase(step.name)
		if err := step.work(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

// rest waits for the length of a phase.
func (run *run) rest(ctx context.Context) error {
	pause(ctx, run.options.Phase)
	return ctx.Err()
}

// leader waits for a leader and returns its name.
func (run *run) leader(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for ctx.Err() == nil {
		members, err := run.api.Members(ctx)
		for _, member := range members {
			if err == nil && member.Leader {
				return string(member.Name), nil
			}
		}
		pause(ctx, pollInterval)
	}
	return "", fmt.Errorf("no leader within %s", leaderTimeout)
}

// killLeader ends the leader with SIGKILL and restarts it after one phase length.
func (run *run) killLeader(ctx context.Context) error {
	leader, err := run.leader(ctx)
	if err != nil {
		return err
	}
	return inOrder(
		func() error { return run.deployment.script.Run(ctx, "kill", leader) },
		func() error { return run.rest(ctx) },
		func() error { return run.deployment.script.Run(ctx, "start", leader) },
		func() error { return run.deployment.layout.WaitReady(ctx, []string{leader}, readyTimeout) },
	)
}

// freezeLeader suspends the leader with SIGSTOP for longer than all its timeouts.
// When SIGCONT resumes it, requests sent in the meantime are already queued in
// its sockets.
func (run *run) freezeLeader(ctx context.Context) error {
	name, err := run.leader(ctx)
	if err != nil {
		return err
	}
	frozen, err := newFrozenLeader(name, run.endpointOf(name), run.access, run.registers, &run.values, run.history)
	if err != nil {
		return err
	}
	frozen.openConnections(ctx)
	if err := run.deployment.script.Run(ctx, "freeze", name); err != nil {
		return err
	}
	frozen.recordFreeze()
	pause(ctx, run.options.Freeze)
	err = frozen.probe(ctx, func() error { return run.deployment.script.Run(ctx, "thaw", name) })
	run.probes = frozen.counts
	return err
}

// endpointOf returns the endpoint of one member's administration API.
func (run *run) endpointOf(member string) string {
	index := slices.IndexFunc(run.deployment.layout.WithRole(fleet.RoleControl), func(process fleet.Process) bool { return process.Name == member })
	return run.deployment.layout.APIEndpoints()[index]
}

// cutMinority isolates the leader's zone and, if there is one, a zone without a
// member, also from each other; the other members keep a quorum.
func (run *run) cutMinority(ctx context.Context) error {
	leader, err := run.leader(ctx)
	if err != nil {
		return err
	}
	zones := []string{run.deployment.zoneOf(leader)}
	if other, exists := run.zoneWithoutMember(); exists {
		zones = append(zones, other)
	}
	run.options.Progress("cut off: " + strings.Join(zones, ", "))
	run.deployment.links.Cut(zones...)
	pause(ctx, run.options.Phase)
	run.deployment.links.Cut()
	return run.rest(ctx)
}

func (run *run) zoneWithoutMember() (string, bool) {
	for _, zone := range run.options.Fleet.Zones {
		hasMember := slices.ContainsFunc(run.deployment.layout.WithRole(fleet.RoleControl),
			func(process fleet.Process) bool { return process.Zone == zone })
		if !hasMember {
			return zone, true
		}
	}
	return "", false
}

// cutQuorum cuts off the zones of all members but the first, so that no member
// has a quorum. No change sent in the meantime may be accepted until the cut
// heals.
func (run *run) cutQuorum(ctx context.Context) error {
	var zones []string
	for _, member := range run.deployment.layout.WithRole(fleet.RoleControl)[1:] {
		zones = append(zones, member.Zone)
	}
	run.deployment.links.Cut(zones...)
	// Changes in flight at the cut may still be answered as accepted.
	pause(ctx, attemptTimeout)
	before := run.acceptedInPhase()
	pause(ctx, run.options.Phase)
	if accepted := run.acceptedInPhase() - before; accepted > 0 {
		run.history.recordViolation(checker.InvariantCommittedKept, "%d changes were accepted without a quorum", accepted)
	}
	run.deployment.links.Cut()
	return run.rest(ctx)
}

func (run *run) acceptedInPhase() int {
	accepted := 0
	run.history.updatePhase(func(counts *phaseCounts) { accepted = counts.accepted })
	return accepted
}
