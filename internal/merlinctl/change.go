package merlinctl

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

const (
	// defaultWaitLimit is the default of --wait-limit.
	defaultWaitLimit = 5 * time.Minute
	// rolloutRequestWait is the longest time that the leader holds one rollout request.
	rolloutRequestWait = 5 * time.Second
	// drainPollInterval is the time between two reads of a draining target.
	drainPollInterval = time.Second
)

// waitOptions are the flags of commands that can wait for the effect of a change.
type waitOptions struct {
	enabled bool
	limit   time.Duration
}

func (options *waitOptions) addFlags(flags *pflag.FlagSet, usage string) {
	flags.BoolVar(&options.enabled, "wait", false, usage)
	flags.DurationVar(&options.limit, "wait-limit", defaultWaitLimit, "longest wait")
}

func (tool *tool) deleteCommand() *cobra.Command {
	var force, yes bool
	command := &cobra.Command{Use: "delete", Short: "Remove an object", RunE: needsSubcommand, Args: cobra.ArbitraryArgs}
	command.PersistentFlags().BoolVarP(&yes, "yes", "y", false, "do not ask")
	template := &cobra.Command{Use: "template NAME", Short: "Remove a template that no service uses", Args: cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			return tool.deleteTemplate(ctx, api, arguments[0], yes)
		})}
	tenant := &cobra.Command{Use: "tenant NAME", Short: "Remove a tenant that has no services", Args: cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			return tool.deleteTenant(ctx, api, model.TenantName(arguments[0]), yes)
		})}
	service := &cobra.Command{Use: "service TENANT/SERVICE", Short: "Drain a service and remove it once its flows have ended", Args: cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			return tool.deleteService(ctx, api, arguments[0], yes, force)
		})}
	service.Flags().BoolVar(&force, "force", false, "remove the service at once and cut its open flows")
	command.AddCommand(template, tenant, service)
	return command
}

func (tool *tool) deleteTemplate(ctx context.Context, api *client.Client, name string, yes bool) error {
	current, err := api.Template(ctx, name)
	if err != nil {
		return err
	}
	if err := tool.confirm(yes, fmt.Sprintf("Remove template %s?", name)); err != nil {
		return err
	}
	answer, err := api.DeleteTemplate(ctx, name, client.Change{Base: current.Revision})
	return tool.printCommitted("template "+name+" removed", answer, err)
}

func (tool *tool) deleteTenant(ctx context.Context, api *client.Client, name model.TenantName, yes bool) error {
	current, err := api.Tenant(ctx, name)
	if err != nil {
		return err
	}
	if err := tool.confirm(yes, fmt.Sprintf("Remove tenant %s?", name)); err != nil {
		return err
	}
	answer, err := api.DeleteTenant(ctx, name, client.Change{Base: current.Revision})
	return tool.printCommitted("tenant "+string(name)+" removed", answer, err)
}

func (tool *tool) deleteService(ctx context.Context, api *client.Client, name string, yes, force bool) error {
	key, err := parseServiceKey(name)
	if err != nil {
		return err
	}
	current, err := api.Service(ctx, key)
	if err != nil {
		return err
	}
	question := fmt.Sprintf("Drain service %s and remove it once its flows have ended?", name)
	if force {
		question = fmt.Sprintf("Remove service %s at once and CUT its open flows?", name)
	}
	if err := tool.confirm(yes, question); err != nil {
		return err
	}
	answer, err := api.DeleteService(ctx, key, client.Change{Base: current.Revision}, force)
	return tool.printCommitted("service "+name+" removed or draining", answer, err)
}

// printCommitted prints the revision of a committed change, or returns err if the change failed.
func (tool *tool) printCommitted(description string, answer adminapi.ChangeAnswer, err error) error {
	if err != nil {
		return err
	}
	if tool.settings.Output == OutputJSON {
		return tool.show(answer, nil)
	}
	_, err = fmt.Fprintf(tool.output, "%s: committed at revision %d\n", description, answer.Revision)
	return err
}

func (tool *tool) drainCommand() *cobra.Command {
	wait := &waitOptions{}
	command := &cobra.Command{
		Use:   "drain TENANT/SERVICE/TARGET",
		Short: "Stop new flows to a target, and show what remains at it",
		Args:  cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			return tool.drain(ctx, api, arguments[0], wait)
		}),
	}
	wait.addFlags(command.Flags(), "wait until no flow, feed or request remains at the target")
	return command
}

func (tool *tool) undrainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "undrain TENANT/SERVICE/TARGET",
		Short: "End the drain of a target, so that it gets new flows again",
		Args:  cobra.ExactArgs(1),
		RunE: tool.run(func(ctx context.Context, api *client.Client, arguments []string) error {
			key, current, err := findTarget(ctx, api, arguments[0])
			if err != nil {
				return err
			}
			answer, err := api.Undrain(ctx, key, client.Change{Base: current.Revision})
			return tool.printCommitted("target "+arguments[0]+" takes new flows", answer, err)
		}),
	}
}

// findTarget parses TENANT/SERVICE/TARGET and returns the key with the current target.
func findTarget(ctx context.Context, api *client.Client, name string) (state.TargetKey, adminapi.Target, error) {
	key, err := parseTargetKey(name)
	if err != nil {
		return key, adminapi.Target{}, err
	}
	current, err := api.Target(ctx, key)
	return key, current, err
}

func (tool *tool) drain(ctx context.Context, api *client.Client, name string, wait *waitOptions) error {
	key, current, err := findTarget(ctx, api, name)
	if err != nil {
		return err
	}
	answer, err := api.Drain(ctx, key, client.Change{Base: current.Revision})
	if err := tool.printCommitted("target "+name+" takes no new flows", answer, err); err != nil {
		return err
	}
	if !wait.enabled {
		current, err = api.Target(ctx, key)
		if err != nil {
			return err
		}
		fmt.Fprintln(tool.errorOutput, describeRemaining(current))
		return nil
	}
	return tool.waitDrained(ctx, api, key, wait.limit)
}

// waitDrained prints what remains at a draining target, each time it changes, until nothing remains,
// the target has left its service, or limit has passed.
func (tool *tool) waitDrained(ctx context.Context, api *client.Client, key state.TargetKey, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	shown := ""
	for {
		current, err := api.Target(ctx, key)
		if client.Code(err) == faults.CodeNotFound {
			fmt.Fprintln(tool.errorOutput, "the target has left its service")
			return nil
		}
		if err != nil {
			return waitError(ctx, err, "the target is draining: %s", shown)
		}
		if text := describeRemaining(current); text != shown {
			fmt.Fprintln(tool.errorOutput, text)
			shown = text
		}
		if isDrained(current) {
			return nil
		}
		select {
		case <-ctx.Done():
			return faults.New(faults.CodeNotInForce, "the wait ended (limit %s); %s", limit, shown)
		case <-time.After(drainPollInterval):
		}
	}
}

// waitError returns a CodeNotInForce fault with the given message when the wait has ended, and err
// when a request failed before that.
func waitError(ctx context.Context, err error, format string, arguments ...any) error {
	if ctx.Err() != nil {
		return faults.New(faults.CodeNotInForce, "the wait ended; "+format, arguments...)
	}
	return err
}

// isDrained reports whether nothing remains at a target. As long as its agent has not reported any
// load, this is known only when the agent is dead.
func isDrained(target adminapi.Target) bool {
	if target.Phase == adminapi.PhaseDead {
		return true
	}
	load := target.Load
	return load != nil && load.Flows+load.Running+load.Waiting+load.Feeds == 0 && target.Buckets.Earlier == 0
}

// describeRemaining returns the buckets, flows, requests and feeds that keep a target from being
// drained, as one line.
func describeRemaining(target adminapi.Target) string {
	if target.Phase == adminapi.PhaseDead {
		return "the target's agent is dead; nothing remains"
	}
	text := fmt.Sprintf("remains: %d buckets as earlier target", target.Buckets.Earlier)
	if target.Buckets.Heads > 0 {
		text += fmt.Sprintf(", %d buckets as head because no other target can take them", target.Buckets.Heads)
	}
	if target.Load == nil {
		return text + "; the agent has not reported its flows"
	}
	return text + fmt.Sprintf(", %d flows, %d running and %d waiting requests, %d feeds",
		target.Load.Flows, target.Load.Running, target.Load.Waiting, target.Load.Feeds)
}
