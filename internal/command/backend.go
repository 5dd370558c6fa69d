package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/standin/backend"
)

func newBackendCommand() *cobra.Command {
	return newRoleCommand("backend", "Run the stand-in for a tenant's back end", backend.Module())
}
