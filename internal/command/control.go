package command

import (
	"github.com/spf13/cobra"

	"merlinpaddle/internal/control"
	"merlinpaddle/internal/model"
)

func newControlCommand() *cobra.Command {
	return newRoleCommand(string(model.RoleControl), "Run a member of the control group and its administration API", control.Module())
}
