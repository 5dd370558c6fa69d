package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/agent"
)

func newAgentCommand() *cobra.Command {
	return newRoleCommand("agent", "Run an agent, the process in front of one back end", agent.Module())
}
