package caller

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
)

// defaultReport is the default file name of the report in the data folder.
const defaultReport = "report.json"

// Module runs the caller stand-in, which writes its report and stops the process when its run is
// over. It provides no types and needs the modules that every process has.
func Module() fx.Option { return fx.Module("caller", fx.Invoke(run)) }

func run(lifecycle fx.Lifecycle, shutdowner fx.Shutdowner, tasks *process.Tasks, readiness *process.Readiness, chosen settings.Settings) error {
	options, err := optionsFrom(chosen)
	if err != nil {
		return err
	}
	lifecycle.Append(fx.StartHook(func() {
		tasks.Go("caller", func(ctx context.Context) error {
			report := Run(ctx, options)
			if err := report.Write(reportPath(chosen)); err != nil {
				return err
			}
			return shutdowner.Shutdown()
		})
		readiness.Set("caller", true)
	}))
	return nil
}

func reportPath(chosen settings.Settings) string {
	if chosen.Caller.Report != "" {
		return chosen.Caller.Report
	}
	return filepath.Join(chosen.DataFolder, defaultReport)
}

// runName returns the node's name with the start time, so that request identifiers of two runs of
// the same caller differ.
func runName(node string) string {
	return fmt.Sprintf("%s-%x", node, time.Now().UnixMilli())
}

// optionsFrom converts settings into options. It returns faults.CodeSettingsInvalid when the
// address or the source cannot be parsed; the other fields were validated with the settings.
func optionsFrom(chosen settings.Settings) (Options, error) {
	address, err := netip.ParseAddrPort(chosen.Caller.Address)
	if err != nil {
		return Options{}, faults.New(faults.CodeSettingsInvalid, "caller.address: %q must be an IP address with a port", chosen.Caller.Address)
	}
	source, err := netip.ParseAddr(chosen.Caller.Source)
	if err != nil {
		return Options{}, faults.New(faults.CodeSettingsInvalid, "caller.source: %q must be an IP address", chosen.Caller.Source)
	}
	section := chosen.Caller
	return Options{
		Name:               runName(chosen.Node),
		Address:            address,
		Source:             source,
		Duration:           section.Duration,
		CallsPerSecond:     section.CallsPerSecond,
		AtMostOnceFraction: section.AtMostOnceFraction,
		UploadsPerSecond:   section.UploadsPerSecond,
		UploadBytes:        section.UploadBytes,
		Feeds:              section.Feeds,
		Connections:        section.Connections,
		ConnectionLifetime: section.ConnectionLifetime,
		RequestTimeout:     section.RequestTimeout,
		Seed:               section.Seed,
	}, nil
}
