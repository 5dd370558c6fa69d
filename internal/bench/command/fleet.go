package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/bench/fleet"
)

// defaultReadyTimeout bounds the wait for processes to become ready.
const defaultReadyTimeout = 30 * time.Second

func newFleetCommand() *cobra.Command {
	command := &cobra.Command{Use: "fleet", Short: "Prepare and watch a fleet; hack/fleet starts and stops it"}
	command.AddCommand(newRenderCommand(), newReadyCommand(), newRegisterCommand(), newRemoveCommand())
	return command
}

func newRenderCommand() *cobra.Command {
	var into string
	command := &cobra.Command{
		Use:   "render FLEETFILE",
		Short: "Write the settings, keys, tokens and documents of a fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := fleet.LoadFile(arguments[0])
			if err != nil {
				return err
			}
			layout, err := fleet.Render(file, into)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "rendered %d processes of fleet %s into %s\n", len(layout.Processes), file.Name, into)
			return nil
		},
	}
	command.Flags().StringVar(&into, "into", "", "folder of the fleet")
	_ = command.MarkFlagRequired("into")
	return command
}

func newReadyCommand() *cobra.Command {
	var timeout time.Duration
	command := &cobra.Command{
		Use:   "ready FOLDER NAME...",
		Short: "Wait until processes report that they are ready",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			layout, err := fleet.Open(arguments[0])
			if err != nil {
				return err
			}
			return layout.WaitReady(command.Context(), arguments[1:], timeout)
		},
	}
	command.Flags().DurationVar(&timeout, "timeout", defaultReadyTimeout, "longest wait")
	return command
}

func newRegisterCommand() *cobra.Command {
	var leaving bool
	command := &cobra.Command{
		Use:   "register FOLDER NAME...",
		Short: "Add machines to the platform's list",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			layout, err := fleet.Open(arguments[0])
			if err != nil {
				return err
			}
			return layout.Register(command.Context(), arguments[1:], leaving)
		},
	}
	command.Flags().BoolVar(&leaving, "leaving", false, "list them as leaving")
	return command
}

func newRemoveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "remove FOLDER NAME...",
		Short: "Remove machines from the platform's list",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			layout, err := fleet.Open(arguments[0])
			if err != nil {
				return err
			}
			return layout.Remove(command.Context(), arguments[1:])
		},
	}
}
