package command

import (
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
)

// settingsFlags are the flags that name the settings file and override single settings.
type settingsFlags struct {
	path      string
	overrides []string
}

func (flags *settingsFlags) register(command *cobra.Command) {
	command.Flags().StringVarP(&flags.path, "config", "c", "merlinpaddle.yaml", "settings file")
	command.Flags().StringArrayVar(&flags.overrides, "set", nil, "override one setting, as section.key=value; may be repeated")
}

func (flags *settingsFlags) file() settings.File {
	return settings.File{Path: flags.path, Overrides: flags.overrides}
}

func (flags *settingsFlags) load() (settings.Settings, error) { return flags.file().Load() }

// newRoleCommand returns the command that runs a process of the given role, made of parts, until it
// is stopped.
func newRoleCommand(role, short string, parts ...fx.Option) *cobra.Command {
	flags := &settingsFlags{}
	command := &cobra.Command{
		Use:   role,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			fmt.Fprintf(command.ErrOrStderr(), "merlinpaddle %s: starting with %s\n", role, flags.path)
			return process.Run(role, flags.file(), parts...)
		},
	}
	flags.register(command)
	return command
}
