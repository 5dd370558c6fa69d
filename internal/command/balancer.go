package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/balancer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

func newBalancerCommand() *cobra.Command {
	return newRoleCommand("balancer", "Run a balancer, which forwards callers' packets to targets",
		rollout.NodeModule(model.RoleBalancer), balancer.Module())
}
