package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/standin/fabric"
)

func newFabricCommand() *cobra.Command {
	return newRoleCommand("fabric", "Run the stand-in for the platform's network fabric", fabric.Module())
}
