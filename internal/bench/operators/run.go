package operators

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"merlinpaddle/internal/bench/experiment"
	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// Timeouts of the operators' clients, and the shares of changes and of answers
// that their transport drops.
const (
	attemptTimeout   = 2 * time.Second
	retryBudget      = 45 * time.Second
	lostRequestShare = 0.05
	lostAnswerShare  = 0.08
	// finalTimeout bounds the wait until the last change is in force.
	finalTimeout = 30 * time.Second
	// minimumRaces and minimumChanges keep a run from passing with too little
	// activity.
	minimumRaces   = 20
	minimumChanges = 50
)

// Options are the fleet, the load and the timing of a run.
type Options struct {
	Fleet     fleet.File
	Script    experiment.Script
	Operators int
	Seed      uint64
	// Phase is the length of a phase without a freeze. Freeze is how long the
	// leader is frozen; it must be longer than all of the leader's timeouts.
	Phase  time.Duration
	Freeze time.Duration
	// Progress receives a short text on the current activity; it must not be nil.
	Progress func(text string)
}

// run is one run against a running fleet.
type run struct {
	options    Options
	deployment *deployment
	access     access
	// api is a client whose transport drops nothing.
	api       *client.Client
	registers []register
	values    values
	history   *history
	probes    probeCounts
}

// Run starts the fleet, runs concurrent operators while members fail, stops the
// fleet, and returns the result.
func Run(ctx context.Context, options Options) (result Result, err error) {
	options.Progress("starting the fleet")
	deployed, err := deploy(ctx, options.Fleet, options.Script)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, deployed.down()) }()
	access, err := newAccess(options.Script.Folder)
	if err != nil {
		return Result{}, err
	}
	api, err := access.client(deployed.layout.APIEndpoints(), access.transport(), attemptTimeout, retryBudget)
	if err != nil {
		return Result{}, err
	}
	run := &run{options: options, deployment: deployed, access: access, api: api, history: newHistory()}
	if err := run.readRegisters(ctx); err != nil {
		return Result{}, err
	}
	if err := run.runAndCheck(ctx); err != nil {
		return Result{}, err
	}
	return run.result(), nil
}

// readRegisters reads each service's state and makes the service a register.
func (run *run) readRegisters(ctx context.Context) error {
	for _, service := range run.options.Fleet.Services {
		key := state.ServiceKey{Tenant: model.TenantName(service.Tenant), Name: service.Name}
		current, err := run.api.Service(ctx, key)
		if err != nil {
			return fmt.Errorf("read service %s: %w", service.Name, err)
		}
		value, err := valueOf(current)
		if err != nil {
			return err
		}
		added := register{key: key, spec: current.Spec}
		run.registers = append(run.registers, added)
		run.history.operators.Created(added.name(), checker.InitialState{Value: value, Revision: uint64(current.Revision)})
		run.history.latest[added.name()] = current.Revision
	}
	return nil
}

// runAndCheck runs operators and watchers through all phases, and then checks the final
// state while the watchers continue.
func (run *run) runAndCheck(ctx context.Context) error {
	run.history.beginPhase("undisturbed")
	working, stopWorking := context.WithCancel(ctx)
	defer stopWorking()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var operators, watchers sync.WaitGroup
	if err := run.startOperators(working, &operators); err != nil {
		return err
	}
	watcher := watcher{history: run.history, layout: run.deployment.layout, access: run.access}
	var watchError error
	watchers.Go(func() { watchError = watcher.run(watching) })
	err := run.phases(ctx)
	run.options.Progress("ending")
	stopWorking()
	operators.Wait()
	if err == nil {
		err = run.checkFinalState(ctx)
	}
	stopWatching()
	watchers.Wait()
	return errors.Join(err, watchError)
}

func (run *run) startOperators(ctx context.Context, tasks *sync.WaitGroup) error {
	for number := range run.options.Operators {
		transport := lossyTransport{
			RoundTripper: run.access.transport(),
			requestShare: lostRequestShare,
			answerShare:  lostAnswerShare,
			lost:         func() { run.history.updatePhase(func(counts *phaseCounts) { counts.lost++ }) },
		}
		api, err := run.access.client(run.deployment.layout.APIEndpoints(), transport, attemptTimeout, retryBudget)
		if err != nil {
			return err
		}
		worker := &operator{
			name: fmt.Sprintf("operator-%d", number+1), api: api, registers: run.registers, values: &run.values,
			history: run.history, random: rand.New(rand.NewPCG(run.options.Seed, uint64(number))),
		}
		tasks.Go(func() { worker.run(ctx) })
	}
	return nil
}

// checkFinalState reads all registers for the last time and waits until the last
// change is in force on all balancers.
func (run *run) checkFinalState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finalTimeout)
	defer cancel()
	var last model.Revision
	for _, register := range run.registers {
		call := time.Now()
		current, err := run.api.Service(ctx, register.key)
		if err != nil {
			return fmt.Errorf("last read of %s: %w", register.name(), err)
		}
		value, err := valueOf(current)
		if err != nil {
			return err
		}
		run.history.operators.FinalState(register.name(), value, uint64(current.Revision), run.history.sinceStart(call))
		last = max(last, current.Revision)
	}
	run.checkProgress()
	return run.waitForBalancers(ctx, last)
}

// checkProgress records a violation if the run had too few changes or races.
func (run *run) checkProgress() {
	accepted, _, _ := run.history.operators.Counts()
	if races := run.history.races(); races < minimumRaces || accepted < minimumChanges {
		run.history.recordViolation(checker.InvariantProgress, "only %d changes and %d races at equal revisions", accepted, races)
	}
	if run.probes.changes == 0 || run.probes.committedWhileFrozen == 0 {
		run.history.recordViolation(checker.InvariantProgress, "nothing was changed while the leader was frozen")
	}
}

// waitForBalancers waits until every balancer reports that it routes by revision
// or a later one, and records a violation for each that doesn't.
func (run *run) waitForBalancers(ctx context.Context, revision model.Revision) error {
	for _, name := range run.deployment.namesOf(fleet.RoleBalancer) {
		balancer, err := run.deployment.layout.Find(name)
		if err != nil {
			return err
		}
		for {
			current, err := balancerRevision(ctx, balancer)
			if err == nil && current >= revision {
				break
			}
			if ctx.Err() != nil {
				run.history.recordViolation(checker.InvariantInForce, "%s runs revision %d at the end, not %d", name, current, revision)
				break
			}
			pause(ctx, pollInterval)
		}
	}
	return nil
}
