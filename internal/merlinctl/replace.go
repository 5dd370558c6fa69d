package merlinctl

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// promotePollInterval is the time between two attempts to promote a learner
// that has not caught up.
const promotePollInterval = 500 * time.Millisecond

// replacement removes the member of a node that lost its disk and adds the node to the group again.
// It can be repeated after an interruption: it continues from the current membership.
type replacement struct {
	tool  *tool
	api   *client.Client
	node  model.NodeName
	yes   bool
	limit time.Duration
}

func (tool *tool) replaceCommand() *cobra.Command {
	replacement := replacement{tool: tool}
	command := &cobra.Command{
		Use:   "replace NODE",
		Short: "Replace the member of a node that lost its disk, and wait until the new one votes",
		Long: `Remove the previous member of a node whose disk is lost, add a learner of the
same node name, and promote it once it has caught up. Start the node on an empty
data folder before or during this command; it joins by itself.

A node that answers as a working member is refused. If the command is
interrupted, run it again: it continues where it stopped.`,
		Args: cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			replacement.api = api
			replacement.node = model.NodeName(arguments[0])
			return replacement.run(ctx)
		}),
	}
	command.Flags().BoolVarP(&replacement.yes, "yes", "y", false, "do not ask")
	command.Flags().DurationVar(&replacement.limit, "wait-limit", defaultWaitLimit, "longest wait for the learner to catch up")
	return command
}

func (replacement *replacement) run(ctx context.Context) error {
	members, err := replacement.api.Members(ctx)
	if err != nil {
		return err
	}
	voter, learner := memberIDsOf(members, replacement.node)
	if voter == "" && learner == "" {
		return faults.New(faults.UnknownMember, "node %s is not a member; add a new node with: merlinctl members add", replacement.node)
	}
	if voter != "" {
		if err := replacement.removePreviousMember(ctx, voter); err != nil {
			return err
		}
	}
	if learner == "" {
		answer, err := replacement.api.AddMember(ctx, replacement.node)
		if err != nil {
			return err
		}
		learner = answer.ID
		if err := replacement.printStep("%s is learner %s", replacement.node, learner); err != nil {
			return err
		}
	}
	return replacement.promote(ctx, learner)
}

// memberIDsOf returns the IDs of the node's voter and of its learner; each is empty if there is none.
func memberIDsOf(members []adminapi.Member, node model.NodeName) (voter, learner string) {
	for _, member := range members {
		switch {
		case member.Name != node:
		case member.Learner:
			learner = member.ID
		default:
			voter = member.ID
		}
	}
	return voter, learner
}

// removePreviousMember removes the voter with this ID after the operator's confirmation. It refuses
// a node that still works.
func (replacement *replacement) removePreviousMember(ctx context.Context, id string) error {
	if replacement.isWorking(ctx) {
		return faults.New(faults.CodeConflict, "node %s answers as a working member; stop it and move its data folder away before you replace it", replacement.node)
	}
	question := fmt.Sprintf("Remove member %s of %s permanently, and add the node again with an empty disk?", id, replacement.node)
	if err := replacement.tool.confirm(replacement.yes, question); err != nil {
		return err
	}
	if err := replacement.api.RemoveMember(ctx, id); err != nil {
		return err
	}
	return replacement.printStep("member %s is removed", id)
}

// isWorking reports whether the node answers and has applied entries of the log. A node with an
// empty disk has applied none.
func (replacement *replacement) isWorking(ctx context.Context) bool {
	for _, answer := range replacement.api.Statuses(ctx) {
		if answer.Status != nil && answer.Status.Node == replacement.node && answer.Status.Applied > 0 {
			return true
		}
	}
	return false
}

// promote repeats the promotion until the learner has caught up or the limit has passed.
func (replacement *replacement) promote(ctx context.Context, learner string) error {
	ctx, cancel := context.WithTimeout(ctx, replacement.limit)
	defer cancel()
	announced := false
	for {
		err := replacement.api.PromoteMember(ctx, learner)
		code := client.Code(err)
		retryable := code == faults.LearnerBehind || code == faults.MembershipChangePending
		switch {
		case err == nil:
			return replacement.printStep("%s votes as member %s", replacement.node, learner)
		case ctx.Err() != nil || !retryable:
			return waitError(ctx, err, "%s is learner %s and does not vote yet; check that it runs on an empty data folder, and run the command again", replacement.node, learner)
		case !announced:
			announced = true
			if err := replacement.printStep("waiting until %s has caught up", replacement.node); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(promotePollInterval):
		}
	}
}

func (replacement *replacement) printStep(format string, arguments ...any) error {
	return replacement.tool.printResult(fmt.Sprintf(format, arguments...), nil)
}
