package command

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/keys"
)

func newKeysCommand() *cobra.Command {
	command := &cobra.Command{Use: "keys", Short: "Create the keys and certificates of the system's processes"}
	command.AddCommand(newKeysInitCommand())
	return command
}

func newKeysInitCommand() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:   "init role=name[@address,...]...",
		Short: "Create the certificate authority, if there is none, and a key folder for each process",
		Example: "  merlinpaddle keys init --folder keys control=control-1@127.0.0.1 relay=relay-1 balancer=balancer-1\n" +
			"  Then set keys: keys/<name> in the settings of each process.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var processes []keys.Process
			for _, argument := range arguments {
				process, err := keys.ParseProcess(argument)
				if err != nil {
					return err
				}
				processes = append(processes, process)
			}
			if err := keys.Init(folder, processes, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "created keys for %d processes in %s\n", len(processes), folder)
			return nil
		},
	}
	command.Flags().StringVar(&folder, "folder", "keys", "folder for the authority and the processes' folders")
	return command
}
