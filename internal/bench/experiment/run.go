package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

const (
	// teardownTimeout bounds stopping the fleet.
	teardownTimeout = 30 * time.Second
	// callerGrace is how long after the end of the load a caller may take to
	// write its report.
	callerGrace = 25 * time.Second
	// reportPollInterval is the interval of checks for a report file.
	reportPollInterval = 100 * time.Millisecond
)

// Options are the folders and the progress callback of a run.
type Options struct {
	// Root is the repository's root; Binaries is the folder of the programs.
	Root     string
	Binaries string
	// Folder is the fleet's folder during the run.
	Folder string
	// Progress receives the elapsed and total time of the load and a short
	// text on the current activity; it may be nil.
	Progress func(done, total time.Duration, text string)
}

// Run starts a fleet, runs the experiment, stops the fleet, and returns the
// result. It stops the fleet also when the run fails or ctx ends.
func Run(ctx context.Context, file File, options Options) (result Result, err error) {
	if options.Progress == nil {
		options.Progress = func(time.Duration, time.Duration, string) {}
	}
	script := Script{Root: options.Root, Folder: options.Folder, Binaries: options.Binaries}
	options.Progress(0, file.Duration, "starting the fleet")
	defer func() {
		cleanup, cancel := context.WithTimeout(context.WithoutCancel(ctx), teardownTimeout)
		defer cancel()
		err = errors.Join(err, script.Run(cleanup, "down"))
	}()
	if file.Changes.Network == freeNetwork {
		reserved, err := reserveNetwork()
		if err != nil {
			return Result{}, err
		}
		defer reserved.release()
		file.Changes.Network = reserved.network
	}
	changed := options.Folder + ".fleet.yaml"
	if err := file.writeFleet(options.Root, changed); err != nil {
		return Result{}, err
	}
	if err := script.Run(ctx, "up", changed); err != nil {
		return Result{}, err
	}
	session, err := newSession(file, options, script)
	if err != nil {
		return Result{}, err
	}
	return session.run(ctx)
}

// session is one run against a running fleet.
type session struct {
	file    File
	options Options
	script  Script
	layout  *fleet.Layout
	sampler *sampler
	steps   *stepRunner
	records []StepRecord
	started time.Time
}

func newSession(file File, options Options, script Script) (*session, error) {
	layout, err := fleet.Open(options.Folder)
	if err != nil {
		return nil, err
	}
	operator, err := NewOperator(layout, options.Folder)
	if err != nil {
		return nil, err
	}
	sampler := newSampler(layout)
	return &session{
		file:    file,
		options: options,
		script:  script,
		layout:  layout,
		sampler: sampler,
		steps:   newStepRunner(script, layout, operator, sampler, file.DrainGrace),
	}, nil
}

func (session *session) run(ctx context.Context) (Result, error) {
	if err := session.startCallers(ctx); err != nil {
		return Result{}, err
	}
	session.started = time.Now()
	before := scrapeSystem(ctx, session.layout)
	sampling, stopSampling := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		session.sampler.run(sampling, session.started)
	}()
	err := session.runSteps(ctx)
	stopSampling()
	<-sampled
	if err != nil {
		return Result{}, err
	}
	after := scrapeSystem(ctx, session.layout)
	seconds := time.Since(session.started).Seconds()
	session.options.Progress(session.file.Duration, session.file.Duration, "waiting for the callers' reports")
	accounts, err := session.collectReports(ctx)
	if err != nil {
		return Result{}, err
	}
	runs, err := audit.ReadLedgers(filepath.Join(session.options.Folder, fleet.LedgersFolder))
	if err != nil {
		return Result{}, err
	}
	return session.result(accounts, runs, roleCosts(session.layout, before, after, seconds)), nil
}

// startCallers starts one caller for each service.
func (session *session) startCallers(ctx context.Context) error {
	var names []string
	for _, caller := range session.layout.WithRole(fleet.RoleCaller) {
		arguments := append([]string{"start", caller.Name}, session.loadFlags(caller)...)
		if err := session.script.Run(ctx, arguments...); err != nil {
			return err
		}
		names = append(names, caller.Name)
	}
	return session.layout.WaitReady(ctx, names, inForceTimeout)
}

// loadFlags returns the flags that set a caller's load and duration.
func (session *session) loadFlags(caller fleet.Process) []string {
	load := session.layout.LoadOf(caller.Service)
	factor := session.file.LoadFactor
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
	return []string{
		"--set", "caller.duration=" + session.file.Duration.String(),
		"--set", "caller.calls_per_second=" + number(load.CallsPerSecond*factor),
		"--set", "caller.uploads_per_second=" + number(load.UploadsPerSecond*factor),
		"--set", "caller.feeds=" + strconv.Itoa(int(float64(load.Feeds)*factor)),
		"--set", "caller.connections=" + strconv.Itoa(max(1, int(float64(load.Connections)*factor))),
	}
}

// collectReports waits for the callers' reports and reads them.
func (session *session) collectReports(ctx context.Context) ([]audit.Account, error) {
	deadline := session.started.Add(session.file.Duration + callerGrace)
	var accounts []audit.Account
	for _, caller := range session.layout.WithRole(fleet.RoleCaller) {
		path := filepath.Join(session.options.Folder, fleet.ReportsFolder, caller.Name+".json")
		if err := waitForFile(ctx, path, deadline); err != nil {
			return nil, fmt.Errorf("report of %s: %w", caller.Name, err)
		}
		account, err := audit.ReadAccount(path)
		if err != nil {
			return nil, err
		}
		accounts = append(accounts, account)
	}
	return accounts, nil
}

func waitForFile(ctx context.Context, path string, deadline time.Time) error {
	for {
		_, err := os.Stat(path)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reportPollInterval):
		}
	}
}
