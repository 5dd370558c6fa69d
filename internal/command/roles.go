package command

import "github.com/spf13/cobra"

// subcommands returns the commands of all roles, stand-ins and offline tools.
func subcommands() []*cobra.Command {
	return []*cobra.Command{
		newConfigCommand(),
		newReferenceCommand(),
		newBalancerCommand(),
		newFabricCommand(),
		newControlCommand(),
		newRelayCommand(),
		newKeysCommand(),
		newAgentCommand(),
		newBackendCommand(),
		newCallerCommand(),
		newPlatformCommand(),
		newStorageCommand(),
	}
}
