package platform

import (
	"go.uber.org/fx"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/standin/listen"
)

// Module runs the platform stand-in. It provides no types and needs the modules that every process
// has.
func Module() fx.Option { return fx.Module("platform", fx.Invoke(run)) }

func run(lifecycle fx.Lifecycle, tasks *process.Tasks, readiness *process.Readiness, chosen settings.Settings) error {
	if chosen.Platform.Listen == "" {
		return faults.New(faults.CodeSettingsInvalid, "platform.listen: must be set for the platform role")
	}
	handler := NewHandler(NewHistory(chosen.Platform.Delay))
	lifecycle.Append(fx.StartHook(func() error {
		if err := listen.HTTP(tasks, "platform", chosen.Platform.Listen, handler); err != nil {
			return err
		}
		readiness.Set("platform", true)
		return nil
	}))
	return nil
}
