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

// Controller runs one member of the control group as a board.Controller. Each
// Reconcile handles all queued messages and requests. The entries proposed in one
// Reconcile become durable with one sync (group commit), unless
// Options.MaxProposalsPerSync limits their number.
type Controller struct {
	options    Options
	files      filesystem.FileSystem
	mailbox    *protocol.Mailbox
	machine    StateMachine
	messages   *board.Queue[protocol.Envelope]
	joinQueues []*board.Queue[protocol.Envelope]
	requests   *board.Queue[request]
	changes    board.Notifier

	leaveRequests *board.Queue[protocol.Envelope]
	leaveReplies  *board.Queue[protocol.Envelope]

	// joiner is set until the member has a place in the group.
	joiner  *joiner
	storage *storage
	core    *raft.Raft
	// memberNames maps the senders of received messages to their node names,
	// including members that this member's configuration does not list yet.
	memberNames map[raft.MemberID]model.NodeName
	// appliedAt is the log time of the last applied entry.
	appliedAt int64
	// backlog has the requests that were taken from the queue and not yet passed
	// to the core.
	backlog []request
	// proposals has the pending proposals by log index, and reads the callbacks of
	// pending reads by the ID that was passed to the core.
	proposals  map[uint64]pendingProposal
	reads      map[uint64]func(outcome)
	lastReadID uint64
	transfer   *pendingTransfer
	// leave is this member's planned stop; nil unless one is in progress.
	leave *pendingLeave
	// leaving has the members that are about to stop as planned, by the time of their
	// latest LeaveRequest.
	leaving map[MemberID]time.Time
	// candidates are the members with an empty disk that requested a place, by
	// name.
	candidates map[model.NodeName]Candidate
	// initialSnapshot is the state machine's snapshot before it applied anything.
	initialSnapshot []byte
	// newContacts are the members to request a place from, set when the settings
	// changed and until the next Reconcile.
	newContacts atomic.Pointer[[]model.NodeName]
	// resumeAt is when a member that was suspended by a full disk resumes; zero
	// while it is not suspended.
	resumeAt time.Time
	// now is the time of the current Reconcile.
	now time.Time
	// nextMembershipCheck is when a member without a leader asks whether it still
	// has its place.
	nextMembershipCheck time.Time

	stopped    atomic.Bool
	done       chan struct{}
	statusLock sync.Mutex
	failure    error
	status     publishedStatus
}

// NewController restores a member from its data folder and registers the member's
// message types with the dispatcher. If it fails, the folder is unchanged, except
// that a torn tail of the log may have been removed and the log may have been reset
// to the latest snapshot (see storage.reconcileLog).
func NewController(options Options, files filesystem.FileSystem, mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher, machine StateMachine) (*Controller, error) {
	controller := &Controller{
		options:     options.withDefaults(),
		files:       files,
		mailbox:     mailbox,
		machine:     machine,
		messages:    dispatcher.Handle(raft.Message{}),
		requests:    board.NewQueue[request]("consensus requests", requestCapacity),
		memberNames: make(map[raft.MemberID]model.NodeName),
		proposals:   make(map[uint64]pendingProposal),
		reads:       make(map[uint64]func(outcome)),
		done:        make(chan struct{}),

		candidates: make(map[model.NodeName]Candidate),
		leaving:    make(map[MemberID]time.Time),

		leaveRequests: dispatcher.Handle(LeaveRequest{}),
		leaveReplies:  dispatcher.Handle(LeaveReply{}),
	}
	for _, example := range []any{FoundRequest{}, FoundReply{}, JoinRequest{}, JoinReply{}, PlaceRequest{}, PlaceReply{}} {
		controller.joinQueues = append(controller.joinQueues, dispatcher.Handle(example))
	}
	identity, found, err := checkIdentity(files, options.Self)
	if err != nil {
		return nil, err
	}
	if controller.initialSnapshot, err = machine.Snapshot(); err != nil {
		return nil, err
	}
	if !found {
		identity = Identity{Version: identityVersion, Name: options.Self}
	}
	if !identity.joined() {
		controller.joiner = newJoiner(controller.options, mailbox, identity)
		return controller, nil
	}
	return controller, controller.restore(identity)
}

// restore opens the member's durable state and starts its core.
func (controller *Controller) restore(identity Identity) error {
	opened, state, err := openStorage(controller.files, identity, controller.options.SegmentBytes)
	if err != nil {
		return err
	}
	return controller.start(opened, state)
}

// start restores the state machine from the snapshot and creates the core.
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
	controller.applyContacts()
	switch {
	case !controller.resumeAt.IsZero():
		controller.resume(now)
	case controller.core == nil:
		controller.reconcileJoining(now)
	}
	if controller.core != nil {
		controller.reconcileMember(now)
	}
	controller.publishStatus(now)
}

// reconcileMember is one Reconcile of a member that has a place in the group.
// Messages are handled before the timers run, so that a member that was paused
// handles the messages queued meanwhile before it would start an election.
func (controller *Controller) reconcileMember(now time.Time) {
	controller.handleMessages(now)
	controller.core.Tick(now)
	controller.handleMembershipMessages(now)
	if controller.core == nil {
		return
	}
	controller.handleLeaveMessages(now)
	controller.checkMembership(now)
	controller.handleRequests(now)
	controller.continueLeave(now)
	controller.processReady()
	for len(controller.backlog) > 0 && controller.running() {
		controller.handleRequests(now)
		controller.processReady()
	}
	if !controller.running() {
		return
	}
	controller.saveSnapshotIfDue()
	if controller.running() {
		controller.expirePending(now)
	}
}

// running reports whether the member has a core and has not stopped.
func (controller *Controller) running() bool {
	return !controller.stopped.Load() && controller.core != nil
}

func (controller *Controller) handleMessages(now time.Time) {
	for _, received := range protocol.Receive[raft.Message](controller.messages) {
		message := received.Message
		if message.Group == controller.storage.identity.Group {
			controller.memberNames[message.From] = received.From
		}
		controller.core.Step(now, message)
	}
}

// processReady processes the core's work until there is none left.
func (controller *Controller) processReady() {
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

// handleReady does the work in the order that raft.Ready requires: persist, send,
// then apply.
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
		if err := controller.installSnapshot(*ready.Snapshot); err != nil {
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
	return controller.memberNames[id]
}

func (controller *Controller) leaderName() model.NodeName {
	if controller.core == nil {
		return ""
	}
	return controller.nameOf(controller.core.Leader())
}

// installSnapshot replaces the state with a received snapshot. The outcome of
// pending proposals that the snapshot covers is unknown to this member.
func (controller *Controller) installSnapshot(snapshot raft.Snapshot) error {
	if err := controller.machine.Restore(snapshot.Data); err != nil {
		return faults.New(faults.StorageSnapshotDamaged, "the received snapshot at %d cannot be restored: %v", snapshot.Index, err)
	}
	controller.appliedAt = snapshot.At
	for _, index := range controller.proposalIndexes() {
		if index <= snapshot.Index {
			controller.completeProposal(index, outcome{err: unknownOutcomeError("a snapshot replaced the log")})
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
		controller.completeProposal(entry.Index, outcome{result: result, member: proposal.member})
	default:
		controller.completeProposal(entry.Index, outcome{err: replacedError()})
	}
	controller.changes.Notify()
}

// saveSnapshotIfDue saves a snapshot once SnapshotEvery entries were applied since
// the last one.
func (controller *Controller) saveSnapshotIfDue() {
	if controller.core.AppliedSinceSnapshot() < uint64(controller.options.SnapshotEvery) {
		return
	}
	data, err := controller.machine.Snapshot()
	if err != nil {
		controller.fail(err)
		return
	}
	latest := raft.Snapshot{SnapshotMeta: controller.core.AppliedSnapshotMeta(controller.appliedAt), Data: data}
	keepAfter, err := controller.storage.saveSnapshot(latest)
	if err != nil {
		controller.fail(err)
		return
	}
	controller.core.Compact(latest, keepAfter)
}

// fail stops the member permanently: it sends, acknowledges and applies nothing
// more. A full disk only suspends it.
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

// Stop stops the member. Pending proposals are answered with an unknown outcome.
func (controller *Controller) Stop() { controller.stop() }

func (controller *Controller) stop() {
	if controller.stopped.Swap(true) {
		return
	}
	for _, index := range controller.proposalIndexes() {
		controller.completeProposal(index, outcome{err: unknownOutcomeError("this member stopped")})
	}
	for _, id := range sortedKeys(controller.reads) {
		controller.answerRead(raft.ReadState{ID: id, Failed: true})
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: controller.stoppedFault()})
		controller.transfer = nil
	}
	controller.finishLeave(outcome{err: controller.stoppedFault()})
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

// Watch registers and returns a channel that is notified after entries were applied.
func (controller *Controller) Watch() <-chan struct{} { return controller.changes.Watch() }

// Sources returns the channels whose notifications require a Reconcile.
func (controller *Controller) Sources() []<-chan struct{} {
	sources := []<-chan struct{}{controller.messages.Watch(), controller.requests.Watch(), controller.leaveRequests.Watch(), controller.leaveReplies.Watch()}
	for _, queue := range controller.joinQueues {
		sources = append(sources, queue.Watch())
	}
	return sources
}
