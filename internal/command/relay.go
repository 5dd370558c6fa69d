package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/relay"
)

func newRelayCommand() *cobra.Command {
	return newRoleCommand(string(model.RoleRelay), "Run a relay, which distributes configuration to the nodes of a zone and aggregates their heartbeats", relay.Module())
}
