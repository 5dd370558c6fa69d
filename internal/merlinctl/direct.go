package merlinctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/direct/admin"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/faults"
)

const directHelp = `Read and change the declared configuration of direct services, at the address
"direct.admin" of any member. A configuration is one YAML file with its own
version. The highest version is in effect; sending the same version again is safe.`

// inForcePollInterval is the time between two reads while apply or evacuate waits for its change
// to take effect.
const inForcePollInterval = 100 * time.Millisecond

// directTool has the state that the commands of direct services share.
type directTool struct {
	tool    *tool
	members []string
	wait    bool
}

func (tool *tool) directCommand() *cobra.Command {
	direct := &directTool{tool: tool}
	command := &cobra.Command{
		Use:   "direct",
		Short: "Manage direct services",
		Long:  directHelp,
		RunE:  needsSubcommand,
		Args:  cobra.ArbitraryArgs,
		// The members come from the flag --member, so no settings are loaded.
		PersistentPreRunE: func(*cobra.Command, []string) error { return nil },
	}
	command.PersistentFlags().StringSliceVar(&direct.members, "member", nil, `admin addresses of members, tried in turn ("HOST:PORT")`)
	apply := &cobra.Command{Use: "apply FILE", Short: "Declare the configuration in FILE", Args: cobra.ExactArgs(1), RunE: direct.run(direct.apply)}
	apply.Flags().BoolVar(&direct.wait, "wait", false, "wait until a confirmed read returns the version")
	evacuate := &cobra.Command{Use: "evacuate ZONE", Short: "Send no new flows to the targets of ZONE; open flows continue", Args: cobra.ExactArgs(1), RunE: direct.run(direct.evacuate)}
	evacuate.Flags().BoolVar(&direct.wait, "wait", false, "wait until the balancers that follow the members named by --member know of the order")
	command.AddCommand(
		&cobra.Command{Use: "get", Short: "Print the declared configuration as YAML", Args: cobra.NoArgs, RunE: direct.run(direct.get)},
		&cobra.Command{Use: "diff FILE", Short: "Print what FILE would change", Args: cobra.ExactArgs(1), RunE: direct.run(direct.diff)},
		apply,
		&cobra.Command{Use: "zones", Short: "List the evacuated zones", Args: cobra.NoArgs, RunE: direct.run(direct.zones)},
		evacuate,
		&cobra.Command{Use: "restore ZONE", Short: "Take ZONE back into use", Args: cobra.ExactArgs(1), RunE: direct.run(direct.restore)},
		&cobra.Command{Use: "targets", Short: "List the targets in the directory of a member", Args: cobra.NoArgs, RunE: direct.run(direct.targets)},
	)
	return command
}

func (direct *directTool) run(action func(ctx context.Context, client *admin.Client, arguments []string) error) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, arguments []string) error {
		return action(command.Context(), &admin.Client{Members: direct.members}, arguments)
	}
}

func (direct *directTool) get(ctx context.Context, client *admin.Client, _ []string) error {
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	encoder := yaml.NewEncoder(direct.tool.output)
	defer encoder.Close()
	return encoder.Encode(current)
}

func (direct *directTool) diff(ctx context.Context, client *admin.Client, arguments []string) error {
	document, err := direct.readConfiguration(arguments[0])
	if err != nil {
		return err
	}
	next, err := document.Configuration()
	if err != nil {
		return err
	}
	if err := next.Validate(); err != nil {
		return err
	}
	current, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	currentConfiguration, err := current.Configuration()
	if err != nil {
		return err
	}
	direct.printDifference(currentConfiguration, next)
	return nil
}

func (direct *directTool) printDifference(current, next *declared.Configuration) {
	output := direct.tool.output
	difference := declared.Compare(current, next)
	fmt.Fprintf(output, "version %d -> %d\n", current.Version, next.Version)
	if next.Version <= current.Version {
		fmt.Fprintf(output, "nothing would change: version %d is not above the version in effect\n", next.Version)
		return
	}
	for _, address := range difference.Removed {
		fmt.Fprintf(output, "- route %s\n", address)
	}
	for _, route := range difference.Routes {
		sign := "+"
		if slices.ContainsFunc(current.Routes, func(existing declared.Route) bool { return existing.Address == route.Address }) {
			sign = "~"
		}
		fmt.Fprintf(output, "%s route %s %s\n", sign, route.Address, route.Name)
	}
	if difference.ServicesChanged {
		fmt.Fprintln(output, "~ services")
	}
	if difference.LimitsChanged {
		fmt.Fprintln(output, "~ limits")
	}
}

func (direct *directTool) apply(ctx context.Context, client *admin.Client, arguments []string) error {
	document, err := direct.readConfiguration(arguments[0])
	if err != nil {
		return err
	}
	if err := client.Declare(ctx, document); err != nil {
		return err
	}
	fmt.Fprintf(direct.tool.output, "version %d is durable\n", document.Version)
	for direct.wait {
		current, err := client.Configuration(ctx)
		if err == nil && current.Version >= document.Version {
			fmt.Fprintf(direct.tool.output, "version %d is in effect\n", current.Version)
			return nil
		}
		select {
		case <-ctx.Done():
			return faults.New(faults.CodeNotInForce, "the wait for version %d ended: %v", document.Version, ctx.Err())
		case <-time.After(inForcePollInterval):
		}
	}
	return nil
}

func (direct *directTool) targets(ctx context.Context, client *admin.Client, _ []string) error {
	targets, err := client.Targets(ctx)
	if err != nil {
		return err
	}
	printer := newPrinter(direct.tool.output, "TARGET", "SERVICE", "ADDRESS", "ZONE", "STATE", "TOKEN")
	for _, target := range targets {
		printer.row(strconv.FormatUint(target.ID, 16), target.Service, target.Address, target.Zone, target.State, formatNumber(target.Token))
	}
	return printer.flush()
}

func (direct *directTool) zones(ctx context.Context, client *admin.Client, _ []string) error {
	evacuations, err := client.Evacuations(ctx)
	if err != nil {
		return err
	}
	printer := newPrinter(direct.tool.output, "ZONE", "EVACUATED SINCE", "READY TARGETS", "BALANCERS BEHIND")
	for _, evacuation := range evacuations {
		printer.row(evacuation.Zone, "revision "+strconv.FormatUint(evacuation.Since, 10), strconv.Itoa(evacuation.Targets), strconv.Itoa(evacuation.Behind))
	}
	return printer.flush()
}

func (direct *directTool) evacuate(ctx context.Context, client *admin.Client, arguments []string) error {
	if err := client.Evacuate(ctx, arguments[0], false); err != nil {
		return err
	}
	fmt.Fprintf(direct.tool.output, "zone %s is evacuated: its targets get no new flows\n", arguments[0])
	if direct.wait {
		return direct.waitForBalancers(ctx, arguments[0])
	}
	return nil
}

// waitForBalancers polls the members until every balancer that follows one of them has received the
// order to evacuate the zone.
func (direct *directTool) waitForBalancers(ctx context.Context, zone string) error {
	for {
		behind, err := direct.balancersBehind(ctx, zone)
		if err == nil && behind == 0 {
			fmt.Fprintf(direct.tool.output, "all balancers that follow the named members have received the order\n")
			return nil
		}
		select {
		case <-ctx.Done():
			return faults.New(faults.CodeNotInForce, "the wait ended with %d balancers behind (last error: %v): %v", behind, err, ctx.Err())
		case <-time.After(inForcePollInterval):
		}
	}
}

// balancersBehind returns how many balancers that follow the members have not received the order to
// evacuate the zone. A member that does not answer is an error, because balancers may follow it.
func (direct *directTool) balancersBehind(ctx context.Context, zone string) (int, error) {
	behind := 0
	for _, member := range direct.members {
		client := &admin.Client{Members: []string{member}}
		evacuations, err := client.Evacuations(ctx)
		if err != nil {
			return behind, err
		}
		for _, evacuation := range evacuations {
			if evacuation.Zone == zone {
				behind += evacuation.Behind
			}
		}
	}
	return behind, nil
}

func (direct *directTool) restore(ctx context.Context, client *admin.Client, arguments []string) error {
	if err := client.Evacuate(ctx, arguments[0], true); err != nil {
		return err
	}
	fmt.Fprintf(direct.tool.output, "zone %s is in use again\n", arguments[0])
	return nil
}

// readConfiguration reads a document from a file, or from standard input if path is "-". Unknown
// fields are errors.
func (direct *directTool) readConfiguration(path string) (admin.Document, error) {
	var reader io.Reader = direct.tool.input
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return admin.Document{}, faults.New(faults.CodeUsage, "%v", err)
		}
		defer file.Close()
		reader = file
	}
	decoder := yaml.NewDecoder(reader)
	decoder.KnownFields(true)
	var document admin.Document
	if err := decoder.Decode(&document); err != nil {
		return admin.Document{}, faults.New(faults.CodeUsage, "%s: %v", path, err)
	}
	return document, nil
}
