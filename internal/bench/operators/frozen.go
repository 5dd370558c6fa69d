package operators

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
)

const (
	// queuedProbes is the number of reads, and also of changes, that are queued in
	// the frozen leader's sockets when it resumes.
	queuedProbes = 12
	// probeLead is how long before the leader resumes the queued probes are sent.
	probeLead = 500 * time.Millisecond
	// probeDuration is how long probes continue after the member resumes.
	probeDuration = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 10 * time.Second
)

// probeCounts counts the probes sent to a frozen leader and its answers after it
// resumed.
type probeCounts struct {
	reads, changes       int
	readsAnswered        int
	staleReads           int
	changesAccepted      int
	committedWhileFrozen int
}

// frozenLeader sends probes to one member directly: some are queued in its
// sockets while it is frozen, and more follow as soon as it resumes.
type frozenLeader struct {
	name      string
	api       *client.Client
	registers []register
	values    *values
	history   *history
	// revisionsAtFreeze has the registers' highest accepted revisions when the
	// member was frozen.
	revisionsAtFreeze map[string]model.Revision

	lock   sync.Mutex
	counts probeCounts
}

// errNoRetry makes a probe a single attempt.
var errNoRetry = errors.New("a probe is sent once")

func newFrozenLeader(name, endpoint string, access access, registers []register, values *values, history *history) (*frozenLeader, error) {
	api, err := client.New(client.Options{
		Endpoints: []string{endpoint}, Token: access.token, Transport: access.transport(),
		AttemptTimeout: probeTimeout, RetryBudget: probeTimeout,
		Sleep: func(context.Context, time.Duration) error { return errNoRetry },
	})
	if err != nil {
		return nil, fmt.Errorf("client of %s: %w", name, err)
	}
	return &frozenLeader{name: name, api: api, registers: registers, values: values, history: history,
		revisionsAtFreeze: make(map[string]model.Revision)}, nil
}

// openConnections opens the connections that the queued probes reuse. Call it
// while the member leads: a frozen one completes no TLS handshake.
func (leader *frozenLeader) openConnections(ctx context.Context) {
	var reads sync.WaitGroup
	for index := range 2 * queuedProbes {
		reads.Go(func() {
			_, _ = readRegister(ctx, leader.history, leader.api, "warm", leader.registers[index%len(leader.registers)])
		})
	}
	reads.Wait()
}

// recordFreeze records the registers' revisions at the freeze.
func (leader *frozenLeader) recordFreeze() {
	for _, register := range leader.registers {
		leader.revisionsAtFreeze[register.name()] = leader.history.latestRevision(register.name())
	}
}

// probe sends the queued probes, resumes the member, and continues to send
// probes for probeDuration.
func (leader *frozenLeader) probe(ctx context.Context, resume func() error) error {
	for _, register := range leader.registers {
		if leader.history.latestRevision(register.name()) > leader.revisionsAtFreeze[register.name()] {
			leader.counts.committedWhileFrozen++
		}
	}
	var probes sync.WaitGroup
	for index := range queuedProbes {
		chosen := leader.registers[index%len(leader.registers)]
		probes.Go(func() { leader.read(ctx, chosen) })
		probes.Go(func() { leader.change(ctx, chosen) })
	}
	pause(ctx, probeLead)
	if err := resume(); err != nil {
		return err
	}
	until := time.Now().Add(probeDuration)
	for index := 0; time.Now().Before(until) && ctx.Err() == nil; index++ {
		chosen := leader.registers[index%len(leader.registers)]
		leader.read(ctx, chosen)
		leader.change(ctx, chosen)
	}
	probes.Wait()
	return nil
}

// read reads a register from the member. An answer must not be older than the
// latest revision accepted before the read was sent.
func (leader *frozenLeader) read(ctx context.Context, chosen register) {
	newest := leader.history.latestRevision(chosen.name())
	revision, err := readRegister(ctx, leader.history, leader.api, "probe", chosen)
	leader.lock.Lock()
	defer leader.lock.Unlock()
	leader.counts.reads++
	if err != nil {
		return
	}
	leader.counts.readsAnswered++
	if revision < newest {
		leader.counts.staleReads++
		leader.history.recordViolation(checker.InvariantLinearizable, "%s answered %s at revision %d after it woke; %d was accepted before the read",
			leader.name, chosen.name(), revision, newest)
	}
}

// change sends a change based on the register's revision at the freeze. It sends
// none unless the register has changed since, so the member must refuse it.
func (leader *frozenLeader) change(ctx context.Context, chosen register) {
	base := leader.revisionsAtFreeze[chosen.name()]
	if leader.history.latestRevision(chosen.name()) <= base {
		return
	}
	change := client.Change{Base: base, Key: uuid.NewString()}
	_, result := changeRegister(ctx, leader.history, leader.api, "probe", chosen, change, leader.values.next())
	leader.lock.Lock()
	defer leader.lock.Unlock()
	leader.counts.changes++
	if result == checker.ResultAccepted {
		leader.counts.changesAccepted++
		leader.history.recordViolation(checker.InvariantOneWinner, "%s accepted a change of %s on revision %d after it woke", leader.name, chosen.name(), base)
	}
}

// String returns the counts as a line of the report.
func (counts probeCounts) String() string {
	return fmt.Sprintf("%d reads (%d answered, %d stale) and %d changes on the old revision (%d accepted), sent before and after it woke",
		counts.reads, counts.readsAnswered, counts.staleReads, counts.changes, counts.changesAccepted)
}
