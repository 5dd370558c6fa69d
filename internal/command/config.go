package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/settings"
)

func newConfigCommand() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check or print settings"}
	command.AddCommand(newConfigCheckCommand(), newConfigPrintCommand())
	return command
}

func newConfigCheckCommand() *cobra.Command {
	flags := &settingsFlags{}
	command := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file without starting a process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := flags.load(); err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), flags.path+": ok")
			return nil
		},
	}
	flags.register(command)
	return command
}

func newConfigPrintCommand() *cobra.Command {
	flags := &settingsFlags{}
	command := &cobra.Command{
		Use:   "print",
		Short: "Print the effective settings: defaults, file, environment and overrides",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := flags.load()
			if err != nil {
				return err
			}
			text, err := settings.Marshal(loaded)
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(text)
			return err
		},
	}
	flags.register(command)
	return command
}
