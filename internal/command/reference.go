package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/reference"
)

func newReferenceCommand() *cobra.Command {
	command := &cobra.Command{Use: "reference", Short: "Print a reference page that is generated from the code"}
	command.AddCommand(
		&cobra.Command{
			Use:   "errors",
			Short: "Print docs/ERRORS.md",
			Args:  cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				_, err := fmt.Fprint(command.OutOrStdout(), reference.Errors())
				return err
			},
		},
		&cobra.Command{
			Use:   "config",
			Short: "Print docs/CONFIG.md",
			Args:  cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				page, err := reference.Config()
				if err != nil {
					return err
				}
				_, err = fmt.Fprint(command.OutOrStdout(), page)
				return err
			},
		},
	)
	return command
}
