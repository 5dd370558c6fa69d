package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/standin/platform"
)

func newPlatformCommand() *cobra.Command {
	return newRoleCommand("platform", "Run the stand-in for the platform's machine list", platform.Module())
}
