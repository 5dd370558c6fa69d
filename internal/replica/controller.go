package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/raft"
)

// Controller is one member of the control group as a board.Controller. Each
// Reconcile takes in all waiting messages and requests and makes what follows
// durable with one sync: the group commit.
type Controller struct {
	options  Options
	files    filesystem.FileSystem
	mailbox  *protocol.Mailbox
	machine  StateMachine
	messages *board.Queue[protocol.Envelope]
	joining  []*board.Queue[protocol.Envelope]
	requests *board.Queue[request]
	changes  board.Notifier

	// joiner is set until the member has its place in a group.
	joiner  *joiner
	storage *storage
	core    *raft.Raft
	// names has the node names of members, also of those that this member's
	// configuration does not list yet.
	names     map[raft.MemberID]model.NodeName
	appliedAt int64
	backlog   []request
	proposals map[uint64]pendingProposal
	reads     map[uint64]func(outcome)
	lastRead  uint64
	transfer  *pendingTransfer
	// candidates are the empty disks that asked for a place, by name.
	candidates map[model.NodeName]Candidate
	// empty is the state machine's snapshot before it applied anything.
	empty []byte
	// contacts are the members to ask for a place, when the settings changed.
	contacts atomic.Pointer[[]model.NodeName]
	// resumeAt is when a member whose disk was full tries again; zero while it
	// runs.
	resumeAt time.Time
	// now is the time of the present Reconcile.
	now time.Time
	// nextPlaceCheck is when a member without a leader asks whether it still
	// has its place.
	nextPlaceCheck time.Time

	stopped    atomic.Bool
	done       chan struct{}
	statusLock sync.Mutex
	failure    error
	status     publishedStatus
}

// NewController restores a member from its data folder. It changes nothing
// when it fails. The dispatcher gets the routes of the member's messages.
func NewController(options Options, files filesystem.FileSystem, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, machine StateMachine) (*Controller, error) {
	controller := &Controller{
		options:   options.withDefaults(),
		files:     files,
		mailbox:   mailbox,
		machine:   machine,
		messages:  dispatcher.Handle(raft.Message{}),
		requests:  board.NewQueue[request]("consensus requests", requestCapacity),
		names:     make(map[raft.MemberID]model.NodeName),
		proposals: make(map[uint64]pendingProposal),
		reads:     make(map[uint64]func(outcome)),
		done:      make(chan struct{}),

		candidates: make(map[model.NodeName]Candidate),
	}
	for _, example := range []any{FoundRequest{}, FoundReply{}, JoinRequest{}, JoinReply{}, PlaceRequest{}, PlaceReply{}} {
		controller.joining = append(controller.joining, dispatcher.Handle(example))
	}
	identity, found, err := checkIdentity(files, options.Self)
	if err != nil {
		return nil, err
	}
	if controller.empty, err = machine.Snapshot(); err != nil {
		return nil, err
	}
	if !found {
		identity = Identity{Version: identityVersion, Name: options.Self}
	}
	if !identity.formed() {
		controller.joiner = newJoiner(controller.options, mailbox, identity)
		return controller, nil
	}
	return controller, controller.restore(identity)
}

// restore reads the member's durable state and starts its core.
func (controller *Controller) restore(identity Identity) error {
	opened, state, err := openStorage(controller.files, identity, controller.options.SegmentBytes)
	if err != nil {
		return err
	}
	return controller.start(opened, state)
}

func (controller *Controller) start(opened *storage, state raft.State) error {
	if state.Snapshot.Index > 0 {
		if err := controller.machine.Restore(state.Snapshot.Data); err != nil {
			return faults.New(faults.StorageSnapshotDamaged, "the snapshot at %d cannot be restored: %v", state.Snapshot.Index, err)
		}
	}
	controller.appliedAt = state.Snapshot.At
	controller.storage = opened
	controller.core = raft.New(raft.Options{
		ID:                opened.identity.Member,
		Group:             opened.identity.Group,
		ElectionTimeout:   controller.options.ElectionTimeout,
		HeartbeatInterval: controller.options.HeartbeatInterval,

		FirstElectionTimeout: controller.options.FirstElectionTimeout,
		ChunkBytes:           controller.options.ChunkBytes,
		Seed:                 controller.options.Seed,
	}, state)
	controller.joiner = nil
	return nil
}

// Name implements board.Controller.
func (controller *Controller) Name() string { return "consensus" }

// Reconcile implements board.Controller.
func (controller *Controller) Reconcile(now time.Time) {
	if controller.stopped.Load() {
		controller.refuseRequests()
		return
	}
	controller.now = now
	controller.takeContacts()
	switch {
	case !controller.resumeAt.IsZero():
		controller.resume(now)
	case controller.core == nil:
		controller.join(now)
	}
	if controller.core != nil {
		controller.advance(now)
	}
	controller.publishStatus(now)
}

// advance is one step of a formed member. Messages come before the timer, so
// a member that was paused first takes in what waited for it.
func (controller *Controller) advance(now time.Time) {
	controller.takeMessages(now)
	controller.core.Tick(now)
	controller.answerJoiners(now)
	if controller.core == nil {
		return
	}
	controller.checkPlace(now)
	controller.takeRequests(now)
	controller.work()
	for len(controller.backlog) > 0 && controller.running() {
		controller.takeRequests(now)
		controller.work()
	}
	if !controller.running() {
		return
	}
	controller.takeSnapshot()
	if controller.running() {
		controller.expire(now)
	}
}

// running tells whether the member has a core and may use it.
func (controller *Controller) running() bool {
	return !controller.stopped.Load() && controller.core != nil
}

func (controller *Controller) takeMessages(now time.Time) {
	for _, received := range protocol.Receive[raft.Message](controller.messages) {
		message := received.Message
		if message.Group == controller.storage.identity.Group {
			controller.names[message.From] = received.From
		}
		controller.core.Step(now, message)
	}
}

// work does what the core wants until it wants nothing more.
func (controller *Controller) work() {
	for controller.running() {
		if err := controller.core.Err(); err != nil {
			controller.fail(faults.New(faults.StorageLostEntries, "%v; replace this member: remove it from the group, empty the folder and add it again", err))
			return
		}
		ready := controller.core.Ready()
		if ready.Empty() {
			return
		}
		if err := controller.handleReady(ready); err != nil {
			controller.fail(err)
			return
		}
		controller.core.Advance(ready)
	}
}

// handleReady keeps the order that the core demands: durable first, then sent,
// then applied.
func (controller *Controller) handleReady(ready raft.Ready) error {
	if ready.MustSync() {
		if err := controller.storage.persist(ready); err != nil {
			return err
		}
	}
	for _, message := range ready.Messages {
		controller.send(message)
	}
	if ready.Snapshot != nil {
		if err := controller.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range ready.Committed {
		controller.apply(entry)
	}
	for _, state := range ready.ReadStates {
		controller.answerRead(state)
	}
	return nil
}

func (controller *Controller) send(message raft.Message) {
	if name := controller.nameOf(message.To); name != "" {
		controller.mailbox.Send(name, message)
	}
}

func (controller *Controller) nameOf(id raft.MemberID) model.NodeName {
	if member, present := controller.core.Configuration().Find(id); present {
		return member.Name
	}
	return controller.names[id]
}

func (controller *Controller) leaderName() model.NodeName {
	if controller.core == nil {
		return ""
	}
	return controller.nameOf(controller.core.Leader())
}

// install replaces the state by a received snapshot. Proposals that it covers
// were decided without this member seeing how.
func (controller *Controller) install(snapshot raft.Snapshot) error {
	if err := controller.machine.Restore(snapshot.Data); err != nil {
		return faults.New(faults.StorageSnapshotDamaged, "the received snapshot at %d cannot be restored: %v", snapshot.Index, err)
	}
	controller.appliedAt = snapshot.At
	for _, index := range controller.proposalIndexes() {
		if index <= snapshot.Index {
			controller.settleProposal(index, outcome{err: unknownOutcome("a snapshot replaced the log")})
		}
	}
	return nil
}

func (controller *Controller) apply(entry raft.Entry) {
	var result []byte
	if entry.Kind == raft.EntryCommand {
		result = controller.machine.Apply(model.Revision(entry.Index), time.Unix(0, entry.At), entry.Data)
	}
	controller.appliedAt = entry.At
	proposal, pending := controller.proposals[entry.Index]
	switch {
	case !pending:
	case proposal.term == entry.Term:
		controller.settleProposal(entry.Index, outcome{result: result, member: proposal.member})
	default:
		controller.settleProposal(entry.Index, outcome{err: replaced()})
	}
	controller.changes.Notify()
}

// takeSnapshot saves the state once enough entries were applied.
func (controller *Controller) takeSnapshot() {
	if controller.core.AppliedSinceSnapshot() < uint64(controller.options.SnapshotEvery) {
		return
	}
	data, err := controller.machine.Snapshot()
	if err != nil {
		controller.fail(err)
		return
	}
	taken := raft.Snapshot{SnapshotMeta: controller.core.AppliedSnapshotMeta(controller.appliedAt), Data: data}
	keepAfter, err := controller.storage.saveSnapshot(taken)
	if err != nil {
		controller.fail(err)
		return
	}
	controller.core.Compact(taken, keepAfter)
}

// fail stops the member for good: it sends, promises and applies nothing more.
// A full disk only suspends it.
func (controller *Controller) fail(err error) {
	if faults.CodeOf(err) == faults.StorageFull {
		controller.suspend()
		return
	}
	controller.statusLock.Lock()
	if controller.failure == nil {
		controller.failure = err
	}
	controller.statusLock.Unlock()
	controller.stop()
}

// Stop ends the member. Outcomes that are still open become unknown.
func (controller *Controller) Stop() { controller.stop() }

func (controller *Controller) stop() {
	if controller.stopped.Swap(true) {
		return
	}
	for _, index := range controller.proposalIndexes() {
		controller.settleProposal(index, outcome{err: unknownOutcome("this member stopped")})
	}
	for _, id := range sortedKeys(controller.reads) {
		controller.answerRead(raft.ReadState{ID: id, Failed: true})
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: controller.stoppedFault()})
		controller.transfer = nil
	}
	controller.refuseRequests()
	if controller.storage != nil {
		_ = controller.storage.log.Close()
	}
	close(controller.done)
}

// Done is closed once the member has stopped.
func (controller *Controller) Done() <-chan struct{} { return controller.done }

// Err returns why the member stopped, or nil.
func (controller *Controller) Err() error {
	controller.statusLock.Lock()
	defer controller.statusLock.Unlock()
	return controller.failure
}

func (controller *Controller) stoppedFault() error {
	if err := controller.Err(); err != nil {
		return faults.New(faults.MemberStopped, "this member has stopped: %v", err)
	}
	return faults.New(faults.MemberStopped, "this member has stopped")
}

// Watch registers a channel that gets a notice after entries were applied.
func (controller *Controller) Watch() <-chan struct{} { return controller.changes.Watch() }

// Sources returns the channels whose notices call for a Reconcile.
func (controller *Controller) Sources() []<-chan struct{} {
	sources := []<-chan struct{}{controller.messages.Watch(), controller.requests.Watch()}
	for _, queue := range controller.joining {
		sources = append(sources, queue.Watch())
	}
	return sources
}
