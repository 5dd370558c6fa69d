package operators

import (
	"sync"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// changeBase identifies the changes of an object that have the same base
// revision.
type changeBase struct {
	object string
	base   model.Revision
}

// history passes the observations of operators and watchers to the checkers and
// counts operations by phase. It is safe for concurrent use.
type history struct {
	started time.Time

	lock      sync.Mutex
	report    *checker.Report
	operators *checker.Operators
	rollout   *checker.Rollout
	replicas  *checker.Replicas
	// latest has the highest accepted revision of each object.
	latest map[string]model.Revision
	// changesPerBase counts the changes based on the same revision of an object.
	changesPerBase map[changeBase]int
	phases         []*phaseCounts
}

// phaseCounts counts the operations of one phase by their outcome.
type phaseCounts struct {
	name      string
	began     time.Time
	ended     time.Time
	accepted  int
	conflicts int
	unknown   int
	refused   int
	reads     int
	resent    int
	lost      int
	// lastAccepted is the time of the last accepted change, and longestGap the
	// longest time without one.
	lastAccepted time.Time
	longestGap   time.Duration
}

func newHistory() *history {
	report := &checker.Report{}
	return &history{
		started:        time.Now(),
		report:         report,
		operators:      checker.NewOperators(report),
		rollout:        checker.NewRollout(report, 0),
		replicas:       checker.NewReplicas(report),
		latest:         make(map[string]model.Revision),
		changesPerBase: make(map[changeBase]int),
	}
}

// sinceStart returns the time from the start of the run to moment.
func (history *history) sinceStart(moment time.Time) time.Duration {
	return moment.Sub(history.started)
}

// beginPhase ends the current phase and begins the next.
func (history *history) beginPhase(name string) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.endPhase()
	now := time.Now()
	history.phases = append(history.phases, &phaseCounts{name: name, began: now, lastAccepted: now})
}

// endPhase ends the current phase, if any; the caller holds the lock.
func (history *history) endPhase() {
	if len(history.phases) == 0 {
		return
	}
	phase := history.currentPhase()
	if phase.ended.IsZero() {
		phase.ended = time.Now()
		phase.longestGap = max(phase.longestGap, phase.ended.Sub(phase.lastAccepted))
	}
}

func (history *history) currentPhase() *phaseCounts { return history.phases[len(history.phases)-1] }

// updatePhase calls change with the counts of the current phase, under the lock.
func (history *history) updatePhase(change func(counts *phaseCounts)) {
	history.lock.Lock()
	defer history.lock.Unlock()
	change(history.currentPhase())
}

// recordOperation records one completed operation.
func (history *history) recordOperation(operation checker.Operation) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.operators.Completed(operation)
	phase := history.currentPhase()
	if operation.Kind == checker.OperationRead {
		phase.reads++
		return
	}
	history.changesPerBase[changeBase{object: operation.Object, base: model.Revision(operation.Base)}]++
	switch operation.Result {
	case checker.ResultAccepted:
		phase.accepted++
		now := time.Now()
		phase.longestGap = max(phase.longestGap, now.Sub(phase.lastAccepted))
		phase.lastAccepted = now
		history.latest[operation.Object] = max(history.latest[operation.Object], model.Revision(operation.Revision))
	case checker.ResultConflict:
		phase.conflicts++
	case checker.ResultUnknown:
		phase.unknown++
	}
}

// recordAcknowledgement records that the change with this idempotency key was
// answered as accepted at revision.
func (history *history) recordAcknowledgement(key string, revision model.Revision) {
	history.lock.Lock()
	defer history.lock.Unlock()
	answer := checker.ChangeAnswer{Accepted: true, Revision: uint64(revision)}
	history.operators.Answered(key, answer, time.Since(history.started))
}

// latestRevision returns the highest accepted revision of an object.
func (history *history) latestRevision(object string) model.Revision {
	history.lock.Lock()
	defer history.lock.Unlock()
	return history.latest[object]
}

// recordViolation records a violation found by this package, not by a checker.
func (history *history) recordViolation(invariant checker.Invariant, format string, arguments ...any) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.report.Add(invariant, time.Since(history.started), format, arguments...)
}

// recordMemberStatus records the status that a member reports of itself.
func (history *history) recordMemberStatus(member string, term uint64, leading bool, revision model.Revision, digest uint64) {
	history.lock.Lock()
	defer history.lock.Unlock()
	at := time.Since(history.started)
	if leading {
		history.replicas.Leader(term, member, at)
	}
	history.replicas.State(member, uint64(revision), digest, at)
}

// recordNodeRevision records the revision that a node reports as applied.
func (history *history) recordNodeRevision(node string, revision model.Revision) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.rollout.Applied(checker.Node(node), uint64(revision), 0, time.Since(history.started))
}

// races returns the number of revisions on which more than one change was based.
func (history *history) races() int {
	history.lock.Lock()
	defer history.lock.Unlock()
	races := 0
	for _, changes := range history.changesPerBase {
		if changes > 1 {
			races++
		}
	}
	return races
}
