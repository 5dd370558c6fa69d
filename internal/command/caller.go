package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/standin/caller"
)

func newCallerCommand() *cobra.Command {
	return newRoleCommand("caller", "Run the stand-in for a tenant's callers", caller.Module())
}
