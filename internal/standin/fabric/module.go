package fabric

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
)

// readinessPart names the fabric's part of the process's readiness: the fabric is ready while its
// machine list has a live balancer.
const readinessPart = "live balancers"

// controlHeaderTimeout bounds the wait for a control request's header.
const controlHeaderTimeout = 2 * time.Second

// Module provides the fabric and runs it, the poller of the machine list and the control endpoint.
func Module() fx.Option {
	return fx.Module("fabric",
		fx.Provide(NewMachines, newFromSettings),
		fx.Invoke(startForwarding, startPolling, startControl),
	)
}

func newFromSettings(chosen settings.Settings, machines *Machines, registry *prometheus.Registry) (*Fabric, error) {
	addresses := make([]netip.AddrPort, 0, len(chosen.Fabric.Addresses))
	for _, text := range chosen.Fabric.Addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, faults.New(faults.FabricSettingsIncomplete, "fabric.addresses: %q: %v", text, err)
		}
		addresses = append(addresses, address)
	}
	geneve, err := netip.ParseAddrPort(chosen.Fabric.Geneve)
	if err != nil {
		return nil, faults.New(faults.FabricSettingsIncomplete, "fabric.geneve: %q: %v", chosen.Fabric.Geneve, err)
	}
	return New(Options{
		Addresses: addresses,
		Geneve:    geneve,
		Latencies: chosen.Fabric.Latencies,
		Seed:      chosen.Fabric.Seed,
		Machines:  machines,
		Registry:  registry,
	})
}

func startForwarding(fabric *Fabric, tasks *process.Tasks) {
	tasks.Go("fabric", fabric.Run)
}

func startPolling(chosen settings.Settings, machines *Machines, tasks *process.Tasks, readiness *process.Readiness, logger *zap.Logger) error {
	onChange := func(live int) { readiness.Set(readinessPart, live > 0) }
	onChange(machines.Replace(machineList(chosen.Fabric.Balancers)))
	if chosen.Fabric.Platform == "" {
		return nil
	}
	poller, err := NewPoller(chosen.Fabric.Platform, chosen.Fabric.PollInterval, machines, logger, onChange)
	if err != nil {
		return err
	}
	tasks.Go("machine list", poller.Run)
	return nil
}

func startControl(chosen settings.Settings, fabric *Fabric, lifecycle fx.Lifecycle, tasks *process.Tasks) {
	if chosen.Fabric.Control == "" {
		return
	}
	server := &http.Server{Handler: fabric.ControlHandler(), ReadHeaderTimeout: controlHeaderTimeout}
	start := func() error {
		listener, err := net.Listen("tcp", chosen.Fabric.Control)
		if err != nil {
			return faults.New(faults.FabricControlRefused, "fabric.control: listen on %s: %v", chosen.Fabric.Control, err)
		}
		tasks.Go("fabric control", func(context.Context) error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		return nil
	}
	lifecycle.Append(fx.StartStopHook(start, server.Shutdown))
}
