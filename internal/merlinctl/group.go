package merlinctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// backupFileMode makes backups readable to their owner only, because they contain the recorded
// answers to changes.
const backupFileMode = 0o600

func (tool *tool) waitCommand() *cobra.Command {
	var revision uint64
	var limit time.Duration
	command := &cobra.Command{
		Use:   "wait",
		Short: "Wait until a revision is in force on every leased balancer",
		Args:  cobra.NoArgs,
		RunE: tool.run(func(ctx context.Context, api *client.Client, _ []string) error {
			awaited := model.Revision(revision)
			if awaited == 0 {
				rollout, err := api.Rollout(ctx, 0, 0)
				if err != nil {
					return err
				}
				awaited = rollout.Committed
			}
			return tool.waitInForce(ctx, api, awaited, limit)
		}),
	}
	command.Flags().Uint64Var(&revision, "revision", 0, "revision to wait for (default: the one committed now)")
	command.Flags().DurationVar(&limit, "wait-limit", defaultWaitLimit, "longest wait")
	return command
}

// waitInForce repeats rollout requests until the awaited revision is in force or limit has passed.
// It makes several short requests, because the leader may change during the wait.
// Once the group has answered, unavailability, such as during an election, does not end the wait.
func (tool *tool) waitInForce(ctx context.Context, api *client.Client, awaited model.Revision, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answered := false
	for {
		// The leader must answer before the request itself times out.
		rollout, err := api.Rollout(ctx, awaited, min(rolloutRequestWait, limit, tool.settings.Timeout/2))
		if err != nil && answered && ctx.Err() == nil && exitCodeOf(err) == ExitUnavailable {
			continue
		}
		if err != nil {
			return waitError(ctx, err, "revision %d is committed, but not known to be in force", awaited)
		}
		answered = true
		if rollout.InForce >= awaited {
			fmt.Fprintf(tool.errorOutput, "revision %d is in force\n", awaited)
			return nil
		}
		if ctx.Err() != nil {
			return faults.New(faults.CodeNotInForce, "the wait ended (limit %s); revision %d is awaited, %d is in force", limit, awaited, rollout.InForce)
		}
	}
}

func (tool *tool) rolloutCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "rollout",
		Short: "Show the committed revision, the one in force, and the one each node has applied",
		Args:  cobra.NoArgs,
		RunE: tool.run(func(ctx context.Context, api *client.Client, _ []string) error {
			rollout, err := api.Rollout(ctx, 0, 0)
			if err != nil {
				return err
			}
			return tool.show(rollout, rolloutTable(rollout))
		}),
	}
}

func (tool *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the status of every endpoint",
		Args:  cobra.NoArgs,
		RunE: tool.run(func(ctx context.Context, api *client.Client, _ []string) error {
			statuses := api.Statuses(ctx)
			if err := tool.show(statuses, statusTable(statuses)); err != nil {
				return err
			}
			for _, status := range statuses {
				if status.Status != nil {
					return nil
				}
			}
			return faults.New(faults.CodeMemberUnreachable, "no endpoint answered")
		}),
	}
}

func (tool *tool) membersCommand() *cobra.Command {
	command := &cobra.Command{Use: "members", Short: "Manage the members of the control group", RunE: needsSubcommand, Args: cobra.ArbitraryArgs}
	command.AddCommand(
		&cobra.Command{Use: "list", Short: "List the members", Args: cobra.NoArgs, RunE: tool.run(tool.listMembers)},
		&cobra.Command{Use: "add NODE", Short: "Add a node as a learner", Args: cobra.ExactArgs(1), RunE: tool.run(tool.addMember)},
		&cobra.Command{Use: "promote ID", Short: "Promote a learner that has caught up to voter", Args: cobra.ExactArgs(1),
			RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
				return tool.printResult("member "+arguments[0]+" votes", api.PromoteMember(ctx, arguments[0]))
			})},
		tool.replaceCommand(),
		&cobra.Command{Use: "remove ID", Short: "Remove a member", Args: cobra.ExactArgs(1),
			RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
				return tool.printResult("member "+arguments[0]+" is removed", api.RemoveMember(ctx, arguments[0]))
			})},
		&cobra.Command{Use: "transfer", Short: "Transfer leadership to another voter", Args: cobra.NoArgs,
			RunE: tool.run(func(ctx context.Context, api *client.Client, _ []string) error {
				return tool.printResult("leadership is transferred", api.TransferLeadership(ctx))
			})},
	)
	return command
}

func (tool *tool) listMembers(ctx context.Context, api *client.Client, _ []string) error {
	members, err := api.Members(ctx)
	if err != nil {
		return err
	}
	return tool.show(members, memberTable(members))
}

func (tool *tool) addMember(ctx context.Context, api *client.Client, arguments []string) error {
	answer, err := api.AddMember(ctx, model.NodeName(arguments[0]))
	if err != nil {
		return err
	}
	return tool.printResult(fmt.Sprintf("%s is learner %s; promote it once it has caught up", arguments[0], answer.ID), nil)
}

// printResult prints a message, or returns err if it is not nil.
func (tool *tool) printResult(message string, err error) error {
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(tool.output, message)
	return err
}

func (tool *tool) backupCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "backup FILE",
		Short: "Write a snapshot of the complete state to a new file",
		Args:  cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			snapshot, err := api.Backup(ctx)
			if err != nil {
				return err
			}
			if err := writeNewFile(arguments[0], snapshot); err != nil {
				return err
			}
			return tool.printResult(fmt.Sprintf("%d bytes written to %s", len(snapshot), arguments[0]), nil)
		}),
	}
}

// writeNewFile writes and syncs a file that must not exist yet, so that a backup never overwrites an
// older one.
func writeNewFile(name string, content []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, backupFileMode)
	if err != nil {
		return faults.New(faults.CodeUsage, "%v", err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeError := file.Close(); err == nil {
		err = closeError
	}
	if err != nil {
		return faults.New(faults.CodeInternalFault, "write %s: %v", name, err)
	}
	return nil
}

func (tool *tool) restoreCommand() *cobra.Command {
	var yes bool
	command := &cobra.Command{
		Use:   "restore FILE",
		Short: "Restore a backup into an empty control group",
		Args:  cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			content, err := os.ReadFile(arguments[0])
			if err != nil {
				return faults.New(faults.CodeUsage, "%v", err)
			}
			if err := tool.confirm(yes, fmt.Sprintf("Restore %d bytes from %s into the group?", len(content), arguments[0])); err != nil {
				return err
			}
			answer, err := api.Restore(ctx, content, client.Change{})
			return tool.printCommitted("backup restored", answer, err)
		}),
	}
	command.Flags().BoolVarP(&yes, "yes", "y", false, "do not ask")
	return command
}

func (tool *tool) tokenCommand() *cobra.Command {
	var name, role, tenant string
	create := &cobra.Command{
		Use:   "new",
		Short: "Generate a token and its entry for the token file, without contacting a member",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			token := auth.Generate()
			line := fmt.Sprintf("tokens:\n  - {name: %q, sha256: %s, role: %q, tenant: %q}\n", name, auth.Hash(token), role, tenant)
			if _, err := auth.Parse([]byte(line)); err != nil {
				return faults.New(faults.CodeUsage, "%v", err)
			}
			fmt.Fprintf(tool.errorOutput, "Add to the token file of every control member:\n%s", line)
			return tool.printResult(token, nil)
		},
	}
	create.Flags().StringVar(&name, "name", "", "name of the token in logs")
	create.Flags().StringVar(&role, "role", string(auth.RoleViewer), "viewer, operator or admin")
	create.Flags().StringVar(&tenant, "tenant", "", "tenant that the token is limited to")
	_ = create.MarkFlagRequired("name")
	command := &cobra.Command{Use: "token", Short: "Generate bearer tokens", RunE: needsSubcommand, Args: cobra.ArbitraryArgs}
	command.AddCommand(create)
	return command
}
