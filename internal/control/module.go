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
	// runInterval is how often the controllers run without a notice.
	runInterval = 50 * time.Millisecond
	// transferTimeout bounds the hand-over of leadership at a planned stop.
	transferTimeout = 5 * time.Second
	// readinessPart is consensus's part of the process's readiness.
	readinessPart = "consensus"
)

// Module runs the control role. It provides model.Role, the replicated state
// (*state.Machine, replica.Group), *Member and adminapi.RolloutReader,
// includes transport.Module and adminapi.Module, and needs what the process
// base provides.
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

// rolloutReader reads the rollout status by the process's clock.
type rolloutReader struct {
	member *Member
}

// Rollout implements adminapi.RolloutReader.
func (reader rolloutReader) Rollout() model.RolloutStatus { return reader.member.RolloutAt(time.Now()) }

func registerMetrics(registry *prometheus.Registry, node *replica.Node, member *Member) {
	registry.MustRegister(newGroupMetrics(memberStatus{node, member}, time.Now))
}

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
	return NewMember(Parts{
		Mailbox:    mailbox,
		Dispatcher: dispatcher,
		Group:      group,
		Machine:    machine,
		DeadAfter:  chosen.Control.DeadAfter,
		Machines:   machines,
	})
}

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
				runner := board.NewRunner(controller, runInterval, sources[controller]...)
				tasks.Go(controller.Name(), func(ctx context.Context) error {
					runner.Run(ctx)
					return nil
				})
			}
		},
		func(ctx context.Context) { node.HandOver(ctx, transferTimeout, logger) },
	))
}

// watchReadiness shows the member as ready while it knows a leader, and says
// once that the group has no place for it.
func watchReadiness(ctx context.Context, node *replica.Node, readiness *process.Readiness) error {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	said := false
	for {
		status := node.Status()
		readiness.Set(readinessPart, status.Leader != "")
		if status.Refused && !said {
			said = true
			fmt.Fprintln(os.Stderr, faults.Describe(faults.New(faults.DiskNotMember, "the data folder is empty and the group has members already")))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
