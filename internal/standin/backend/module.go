package backend

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/standin/listen"
)

const (
	// defaultLedger is the default file name of the ledger in the data folder.
	defaultLedger = "ledger.jsonl"
	// lateBy is how long the Late fault delays answers.
	lateBy = 1500 * time.Millisecond
	// ledgerCheckInterval is how often the process checks for ledger write errors.
	ledgerCheckInterval = time.Second
	// protocolUDP is the value of the backend.protocol setting that selects the datagram echo.
	protocolUDP = "udp"
)

// Module runs the back end stand-in. It provides no types and needs the modules that every process
// has.
func Module() fx.Option { return fx.Module("backend", fx.Invoke(run)) }

func run(lifecycle fx.Lifecycle, tasks *process.Tasks, readiness *process.Readiness, chosen settings.Settings) error {
	if chosen.Backend.Listen == "" {
		return faults.New(faults.CodeSettingsInvalid, "backend.listen: must be set for the backend role")
	}
	start := startHTTP
	if chosen.Backend.Protocol == protocolUDP {
		start = startEcho
	}
	lifecycle.Append(fx.StartHook(func() error {
		if err := start(tasks, chosen); err != nil {
			return err
		}
		readiness.Set("backend", true)
		return nil
	}))
	return nil
}

func startEcho(tasks *process.Tasks, chosen settings.Settings) error {
	connection, err := net.ListenPacket("udp", chosen.Backend.Listen)
	if err != nil {
		return faults.New(faults.CodeAddressInUse, "backend address %s: %v", chosen.Backend.Listen, err)
	}
	tasks.Go("backend echo", func(ctx context.Context) error {
		return Echo{Node: chosen.Node}.Serve(ctx, connection)
	})
	return nil
}

func startHTTP(tasks *process.Tasks, chosen settings.Settings) error {
	activeFaults, err := ParseMisbehaviors(chosen.Backend.Misbehavior)
	if err != nil {
		return faults.New(faults.CodeSettingsInvalid, "backend.misbehavior: %v", err)
	}
	ledger, err := OpenLedger(ledgerPath(chosen))
	if err != nil {
		return err
	}
	server := NewServer(Options{
		Node:         chosen.Node,
		Slots:        chosen.Backend.Slots,
		ServiceTime:  chosen.Backend.ServiceTime,
		FeedInterval: chosen.Backend.FeedInterval,
		ColdStart:    chosen.Backend.ColdStart,
		LateBy:       lateBy,
	}, ledger)
	server.SetFaults(activeFaults)
	if err := listen.HTTP(tasks, "backend", chosen.Backend.Listen, server.Handler()); err != nil {
		return err
	}
	tasks.Go("ledger check", func(ctx context.Context) error { return watchLedger(ctx, server) })
	return nil
}

func ledgerPath(chosen settings.Settings) string {
	if chosen.Backend.Ledger != "" {
		return chosen.Backend.Ledger
	}
	return filepath.Join(chosen.DataFolder, defaultLedger)
}

// watchLedger returns the first ledger write error, or nil when ctx ends.
func watchLedger(ctx context.Context, server *Server) error {
	ticker := time.NewTicker(ledgerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := server.Err(); err != nil {
				return err
			}
		}
	}
}
