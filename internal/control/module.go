package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/state"
	"merlinpaddle/internal/transport"
)

const (
	// reconcileInterval is how often the controllers run when nothing notifies them, and how often
	// the readiness is updated.
	reconcileInterval = 50 * time.Millisecond
	// transferTimeout limits the transfer of leadership at a planned stop.
	transferTimeout = 5 * time.Second
	// readinessPart is the name of the readiness condition that consensus sets.
	readinessPart = "consensus"
)

// Module returns the fx module that runs the control role. It provides model.Role, the replicated
// state (*state.Machine, replica.Group), *Member and adminapi.RolloutReader, includes
// transport.Module and adminapi.Module, and requires what package process provides to every role.
func Module() fx.Option {
	return fx.Module("control",
		fx.Supply(model.RoleControl),
		transport.Module(),
		fx.Provide(
			state.NewMachine,
			process.ProvideDataFolder,
			provideReplica,
			replica.NewNode,
			func(node *replica.Node) replica.Group { return node },
			providePlatformList,
			provideMember,
			func(member *Member) adminapi.RolloutReader { return rolloutReader{member: member} },
		),
		fx.Invoke(run, registerMetrics),
		adminapi.Module(),
	)
}

// rolloutReader returns the rollout status at the current time of the process's clock.
type rolloutReader struct {
	member *Member
}

// Rollout implements adminapi.RolloutReader.
func (reader rolloutReader) Rollout() model.RolloutStatus { return reader.member.RolloutAt(time.Now()) }

func registerMetrics(registry *prometheus.Registry, node *replica.Node, member *Member) {
	registry.MustRegister(newGroupMetrics(memberStatus{node, member}, time.Now))
}

// provideReplica returns the member's consensus controller and connects to the other members. It
// fails when the member is neither listed in control.members nor allowed to join.
func provideReplica(chosen settings.Settings, files filesystem.FileSystem, links *transport.Links,
	mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, machine *state.Machine) (*replica.Controller, error) {
	options := replica.Options{
		Self:              model.NodeName(chosen.Node),
		Join:              chosen.Control.Join,
		ElectionTimeout:   chosen.Control.ElectionTimeout,
		HeartbeatInterval: chosen.Control.HeartbeatInterval,
		SnapshotEvery:     chosen.Control.SnapshotEvery,
		Seed:              rand.Uint64(),
	}
	listed := false
	for _, member := range chosen.Control.Members {
		options.Members = append(options.Members, model.NodeName(member.Name))
		if member.Name == chosen.Node {
			listed = true
			continue
		}
		links.Dial(member)
	}
	if !listed && !chosen.Control.Join {
		return nil, faults.New(faults.CodeMembersMissing, "control.members: %q is not listed", chosen.Node)
	}
	return replica.NewController(options, files, mailbox, dispatcher, machine)
}

// providePlatformList returns the platform's list of machines, or nil when none is configured.
func providePlatformList(chosen settings.Settings, tasks *process.Tasks, lifecycle fx.Lifecycle, logger *zap.Logger) MachineList {
	if chosen.Control.Platform == "" {
		return nil
	}
	list := newPlatformList(chosen.Control.Platform, logger.Named("platform"))
	lifecycle.Append(fx.StartHook(func() { tasks.Go("platform list", list.run) }))
	return list
}

func provideMember(chosen settings.Settings, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher,
	group *replica.Controller, machine *state.Machine, machines MachineList) *Member {
	return NewMember(Dependencies{
		Mailbox:    mailbox,
		Dispatcher: dispatcher,
		Group:      group,
		Machine:    machine,
		DeadAfter:  chosen.Control.DeadAfter,
		Machines:   machines,
	})
}

// run starts consensus, the readiness check and the controllers with the process, and transfers
// leadership when it stops.
func run(lifecycle fx.Lifecycle, node *replica.Node, member *Member, machine *state.Machine, tasks *process.Tasks,
	readiness *process.Readiness, logger *zap.Logger) {
	sources := map[board.Controller][]<-chan struct{}{
		member.Distributor: {machine.Watch(), node.Watch()},
		member.Claims:      member.Claims.Sources(),
		member.Proposer:    {member.Proposer.proposals.Watch()},
	}
	for _, queue := range member.Distributor.Queues() {
		sources[member.Distributor] = append(sources[member.Distributor], queue.Watch())
	}
	lifecycle.Append(fx.StartStopHook(
		func() {
			tasks.Go("consensus", node.Run)
			tasks.Go("readiness", func(ctx context.Context) error { return watchReadiness(ctx, node, readiness) })
			for _, controller := range member.Controllers() {
				runner := board.NewRunner(controller, reconcileInterval, sources[controller]...)
				tasks.Go(controller.Name(), func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) { node.HandOverLeadership(ctx, transferTimeout, logger) },
	))
}

// watchReadiness sets the member ready while it knows a leader. It prints once that the group
// already exists and has no place for this member's empty disk.
func watchReadiness(ctx context.Context, node *replica.Node, readiness *process.Readiness) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	refusalReported := false
	for {
		status := node.Status()
		readiness.Set(readinessPart, status.Leader != "")
		if status.Refused && !refusalReported {
			refusalReported = true
			fmt.Fprintln(os.Stderr, faults.Describe(faults.New(faults.DiskNotMember, "the data folder is empty, and the group already has members")))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
