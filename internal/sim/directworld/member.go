package directworld

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/feed"
	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/direct/registrar"
	"merlinpaddle/internal/filesystem/memory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/reconfigure"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/sim/kernel"
)

// Settings of simulated members and targets.
const (
	memberInterval    = 25 * time.Millisecond
	electionTimeout   = 400 * time.Millisecond
	heartbeatInterval = 80 * time.Millisecond
	flowLifetime      = 60 * time.Second
	renewalInterval   = 1200 * time.Millisecond
	// answerTimeout bounds the time in which a member answers a call; it is shorter than
	// callTimeout.
	answerTimeout = 850 * time.Millisecond
	probeTimeout  = 180 * time.Millisecond
	// leaveTimeout bounds the wait of a planned stop until the member may end.
	leaveTimeout = 3 * time.Second
)

// Member is a member of the control group on a simulated process and disk.
type Member struct {
	// Registrar handles the calls of targets and operators. It is nil while the process does not
	// run.
	Registrar *registrar.Registrar
	// Directory is the member's copy of the replicated state.
	Directory *directory.Directory

	world     *World
	process   *kernel.Process
	disk      *memory.Disk
	bootstrap bool
	// delisted is set when the member is no longer on the list from which targets and operators
	// choose the members that they call.
	delisted bool
	group    *replica.Controller
}

func newMember(world *World, name string, zone model.ZoneName, bootstrap bool) *Member {
	created := &Member{
		world:     world,
		disk:      memory.New(world.run.Random("disk/" + name).Uint64()),
		bootstrap: bootstrap,
	}
	created.process = world.host.Add(endpoint(name, zone), memberInterval, created.build)
	created.process.AfterRun(func(time.Time) { created.report() })
	world.skewClock(created.process)
	return created
}

// build assembles the product's controllers of a member for a new incarnation. A process whose
// replica does not start from its disk gets a program without controllers.
func (member *Member) build(mailbox *protocol.Mailbox, incarnation model.Incarnation) kernel.Program {
	world := member.world
	dispatcher := protocol.NewDispatcher(mailbox)
	member.Directory = directory.New()
	random := world.run.Random("member/" + string(member.process.Name))
	seed := random.Uint64() + uint64(incarnation)
	group, err := replica.NewController(replica.Options{
		Self:                 member.process.Name,
		Zone:                 member.process.Zone,
		Members:              member.seeds(),
		Join:                 !member.bootstrap,
		ElectionTimeout:      electionTimeout,
		FirstElectionTimeout: electionTimeout / 4,
		HeartbeatInterval:    heartbeatInterval,
		SnapshotEvery:        40,
		SegmentBytes:         16 << 10,
		Seed:                 seed,
	}, world.options.Parts.Disk(member.disk), mailbox, dispatcher, world.options.Parts.StateMachine(member.Directory))
	if err != nil {
		world.checks.memberStartFailed(member, err)
		return kernel.Program{Mailbox: mailbox}
	}
	member.group = group
	renewals := registrar.NewRenewalTable()
	proposer := registrar.NewProposer(mailbox, dispatcher, group, member.Directory, seed)
	health := registrar.NewHealthMonitor(registrar.HealthOptions{
		SilentAfter:       5 * time.Second,
		MissedAfter:       renewalInterval * 8 / 5,
		MinProbeInterval:  700 * time.Millisecond,
		RemoveFailedAfter: flowLifetime + 15*time.Second,
	}, mailbox, dispatcher, group, member.Directory, renewals, world.prober(member.process), zap.NewNop())
	publisher := feed.NewPublisher(feed.PublisherOptions{MaxFollowers: world.options.Followers, IsMember: true},
		mailbox, dispatcher, member.Directory, memberSource{member: member})
	member.Registrar = registrar.NewRegistrar(member.Directory, proposer, group, renewals, publisher.Peers, zap.NewNop())
	collectorOptions := load.CollectorOptions{
		Interval: loadReportInterval, Members: memberSource{member: member}.Members,
		Capacities: directory.NewCapacityIndex(member.Directory),
	}
	world.options.Parts.CollectorOptions(&collectorOptions)
	collector := load.NewCollector(mailbox.Self, collectorOptions, load.MailboxSender{Mailbox: mailbox}, dispatcher.Handle(load.Report{}))
	reconfigurer := reconfigure.New(world.reconfigureOptions(), group, zap.NewNop())
	return kernel.Program{
		Mailbox:     mailbox,
		Controllers: []board.Controller{dispatcher, group, proposer, health, publisher, collector, reconfigurer},
		Stop:        func() { member.Registrar = nil },
	}
}

// seeds returns the names of the initial members, as settings files list them.
func (world *World) seeds() []model.NodeName {
	var names []model.NodeName
	for _, member := range world.members[:min(world.options.Members, len(world.members))] {
		names = append(names, member.process.Name)
	}
	return names
}

// seeds returns the members that the settings file of the member lists: the initial ones, or some that
// run if the member joins a running group.
func (member *Member) seeds() []model.NodeName {
	var running []model.NodeName
	for _, other := range member.world.members {
		if other != member && other.process.Running() && len(running) < member.world.options.Members {
			running = append(running, other.process.Name)
		}
	}
	if member.bootstrap || len(running) == 0 {
		return member.world.seeds()
	}
	return running
}

// memberSource is the feed.Source of a member's publisher.
type memberSource struct {
	member *Member
}

// Confirmed implements feed.Source.
func (source memberSource) Confirmed(now time.Time) (time.Duration, bool) {
	return 0, registrar.QuorumConfirmed(source.member.group, now)
}

// Depth implements feed.Source.
func (source memberSource) Depth() uint8 { return 0 }

// Members implements feed.Source.
func (source memberSource) Members() []model.NodeName {
	var names []model.NodeName
	for _, member := range source.member.group.StatusAt(source.member.process.LocalNow()).Members {
		names = append(names, member.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// prober returns a prober whose probes use the packet network and time out after probeTimeout.
// process is woken when a probe ends.
func (world *World) prober(process *kernel.Process) *probe.Prober {
	return probe.NewWithStarter(func(address netip.AddrPort, done func(probe.Outcome)) {
		answered := false
		answer := func(outcome probe.Outcome) {
			if !answered {
				answered = true
				done(outcome)
				process.Wake()
			}
		}
		world.after(probeTimeout, func() { answer(probe.Silent) })
		world.probe(process.Endpoint, address, answer)
	})
}

// report passes the member's leadership to the checks. A member whose replica failed is killed.
func (member *Member) report() {
	if member.group == nil || !member.process.Running() {
		return
	}
	if err := member.group.Err(); err != nil {
		member.world.run.Trace.Add(string(member.process.Name), "failed", err.Error())
		member.process.Kill()
		return
	}
	status := member.group.StatusAt(member.process.LocalNow())
	if status.Leading {
		member.world.checks.recordLeader(status.Term, string(member.process.Name))
	}
}

// Kill ends the process at once. Its disk keeps all writes, synced or not.
func (member *Member) Kill() {
	member.world.recordDisturbance("kill", string(member.process.Name))
	member.process.Kill()
	if member.world.options.EndsAreNoticed {
		member.world.noticeEnd(member)
	}
}

// maxReconnectDelay is the maximum time after the end of a process until another one tries to connect
// to it again and is refused.
const maxReconnectDelay = 40 * time.Millisecond

// noticeEnd makes the other members learn that the machine of an ended member refuses connections.
func (world *World) noticeEnd(ended *Member) {
	for _, other := range world.members {
		if other == ended {
			continue
		}
		world.after(world.random.Between(10*time.Millisecond, maxReconnectDelay), func() {
			if other.process.Active() && !ended.process.Running() {
				world.options.Parts.NoticeEnd(other.group, ended.process.Name)
				other.process.Wake()
			}
		})
	}
}

// reconfigureOptions returns the options of a member's membership controller.
func (world *World) reconfigureOptions() reconfigure.Options {
	options := reconfigure.DefaultOptions(world.options.ToleratedLosses, electionTimeout)
	world.options.Parts.ReconfigureOptions(&options)
	return options
}

// listed returns the members that targets and operators call.
func (world *World) listed() []*Member {
	var listed []*Member
	for _, member := range world.members {
		if !member.delisted {
			listed = append(listed, member)
		}
	}
	return listed
}

// listedMember returns the listed member that has a number, counted round and round.
func (world *World) listedMember(number int) *Member {
	listed := world.listed()
	return listed[number%len(listed)]
}

// Stop ends the process as planned: once the group has released it, or after leaveTimeout.
func (member *Member) Stop() {
	member.world.recordDisturbance("stop", string(member.process.Name))
	incarnation := member.process.Incarnation()
	end := func() {
		if member.process.Running() && member.process.Incarnation() == incarnation {
			member.Kill()
		}
	}
	member.group.Leave(func(error) { member.world.after(0, end) })
	member.process.Wake()
	member.world.after(leaveTimeout, end)
}

// PowerOff ends the process at once. Writes that were not synced may be kept, lost or torn.
func (member *Member) PowerOff() {
	member.Kill()
	member.disk.Crash()
}

// Wipe empties the member's disk, so that it joins the group again at its next start. The process
// must not run.
func (member *Member) Wipe() {
	member.disk.Wipe()
	member.bootstrap = false
}

// Start starts the process again.
func (member *Member) Start() {
	member.world.recordDisturbance("start", string(member.process.Name))
	member.world.skewClock(member.process)
	member.process.Start()
}

// leader returns the first active member that leads with a confirmed quorum, or nil.
func (world *World) leader() *Member {
	for _, member := range world.members {
		if member.process.Active() && member.group != nil && member.group.StatusAt(member.process.LocalNow()).Leading {
			return member
		}
	}
	return nil
}

// AddMember adds and starts a member with an empty disk. The name is its address.
func (world *World) AddMember(name string, zone model.ZoneName) *Member {
	added := newMember(world, name, zone, false)
	world.members = append(world.members, added)
	added.Start()
	return added
}
