package operators

import (
	"sync"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// changeID is the place of a change among those with the same base.
type changeBase struct {
	object string
	base   model.Revision
}

// history gathers what operators and watchers saw, for the checkers. It is
// safe for concurrent use.
type history struct {
	started time.Time

	lock      sync.Mutex
	report    *checker.Report
	operators *checker.Operators
	rollout   *checker.Rollout
	replicas  *checker.Replicas
	// latest has the highest accepted revision of each object.
	latest map[string]model.Revision
	// rivals counts the changes that were based on one revision.
	changesPerBase map[changeBase]int
	phases         []*phaseCounts
}

// phaseCounts is what happened in one phase.
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
	// lastAccepted and longestGap tell for how long no change was accepted.
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

// at is the time since the start of the run.
func (history *history) sinceStart(moment time.Time) time.Duration {
	return moment.Sub(history.started)
}

// begin ends the present phase and begins the next.
func (history *history) beginPhase(name string) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.endPhase()
	now := time.Now()
	history.phases = append(history.phases, &phaseCounts{name: name, began: now, lastAccepted: now})
}

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

// count changes the counts of the present phase.
func (history *history) updatePhase(change func(counts *phaseCounts)) {
	history.lock.Lock()
	defer history.lock.Unlock()
	change(history.currentPhase())
}

// ended records one operation.
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

// acknowledged records that an answer gave a key's change a revision.
func (history *history) recordAcknowledgement(key string, revision model.Revision) {
	history.lock.Lock()
	defer history.lock.Unlock()
	answer := checker.ChangeAnswer{Accepted: true, Revision: uint64(revision)}
	history.operators.Answered(key, answer, time.Since(history.started))
}

// latestOf returns the highest accepted revision of an object.
func (history *history) latestRevision(object string) model.Revision {
	history.lock.Lock()
	defer history.lock.Unlock()
	return history.latest[object]
}

// violated records a violation that this package found itself.
func (history *history) recordViolation(invariant checker.Invariant, format string, arguments ...any) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.report.Add(invariant, time.Since(history.started), format, arguments...)
}

// memberSeen records what a member says of itself.
func (history *history) recordMemberStatus(member string, term uint64, leading bool, revision model.Revision, digest uint64) {
	history.lock.Lock()
	defer history.lock.Unlock()
	at := time.Since(history.started)
	if leading {
		history.replicas.Leader(term, member, at)
	}
	history.replicas.State(member, uint64(revision), digest, at)
}

// nodeSeen records which revision a node runs.
func (history *history) recordNodeRevision(node string, revision model.Revision) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.rollout.Applied(checker.Node(node), uint64(revision), 0, time.Since(history.started))
}

// races returns the number of revisions on which several changes were based.
func (history *history) races() int {
	history.lock.Lock()
	defer history.lock.Unlock()
	races := 0
	for _, rivals := range history.changesPerBase {
		if rivals > 1 {
			races++
		}
	}
	return races
}
