package merlinctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// commandBody is the function of a command that calls the control group.
type commandBody func(ctx context.Context, api *client.Client, arguments []string) error

// run returns a Cobra function that creates the client and calls body with it.
func (tool *tool) run(body commandBody) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, arguments []string) error {
		api, err := tool.client()
		if err != nil {
			return err
		}
		return body(command.Context(), api, arguments)
	}
}

func (tool *tool) getCommand() *cobra.Command {
	command := &cobra.Command{Use: "get", Short: "Show one object as table or JSON", RunE: needsSubcommand, Args: cobra.ArbitraryArgs}
	command.AddCommand(
		&cobra.Command{Use: "template NAME", Short: "Show a template with its versions", Args: cobra.ExactArgs(1), RunE: tool.run(tool.getTemplate)},
		&cobra.Command{Use: "tenant NAME", Short: "Show a tenant", Args: cobra.ExactArgs(1), RunE: tool.run(tool.getTenant)},
		&cobra.Command{Use: "service TENANT/SERVICE", Short: "Show a service", Args: cobra.ExactArgs(1), RunE: tool.run(tool.getService)},
		&cobra.Command{Use: "target TENANT/SERVICE/TARGET", Short: "Show a target with its buckets, flows and feeds", Args: cobra.ExactArgs(1), RunE: tool.run(tool.getTarget)},
	)
	return command
}

func (tool *tool) listCommand() *cobra.Command {
	command := &cobra.Command{Use: "list", Short: "List objects of one kind", RunE: needsSubcommand, Args: cobra.ArbitraryArgs}
	command.AddCommand(
		&cobra.Command{Use: "templates", Short: "List templates", Args: cobra.NoArgs, RunE: tool.run(tool.listTemplates)},
		&cobra.Command{Use: "tenants", Short: "List tenants", Args: cobra.NoArgs, RunE: tool.run(tool.listTenants)},
		&cobra.Command{Use: "services [TENANT]", Short: "List services, of one tenant or of all", Args: cobra.MaximumNArgs(1), RunE: tool.run(tool.listServices)},
		&cobra.Command{Use: "targets TENANT/SERVICE", Short: "List the targets of a service", Args: cobra.ExactArgs(1), RunE: tool.run(tool.listTargets)},
	)
	return command
}

// needsSubcommand is the function of a command that only groups others: it prints the help, or
// returns an error for an unknown subcommand.
func needsSubcommand(command *cobra.Command, arguments []string) error {
	if len(arguments) == 0 {
		return command.Help()
	}
	return fmt.Errorf("unknown command %q for %q", arguments[0], command.CommandPath())
}

func (tool *tool) getTemplate(ctx context.Context, api *client.Client, arguments []string) error {
	template, err := api.Template(ctx, arguments[0])
	if err != nil {
		return err
	}
	return tool.show(template, func(output io.Writer) error {
		latest := template.Latest()
		fmt.Fprintf(output, "template %s, version %d, revision %d\n", template.Name, latest.Version, template.Revision)
		return writeIndented(output, latest.Spec)
	})
}

func (tool *tool) getTenant(ctx context.Context, api *client.Client, arguments []string) error {
	tenant, err := api.Tenant(ctx, model.TenantName(arguments[0]))
	if err != nil {
		return err
	}
	return tool.show(tenant, tenantTable([]state.Tenant{tenant}))
}

func (tool *tool) getService(ctx context.Context, api *client.Client, arguments []string) error {
	key, err := parseServiceKey(arguments[0])
	if err != nil {
		return err
	}
	service, err := api.Service(ctx, key)
	if err != nil {
		return err
	}
	return tool.show(service, func(output io.Writer) error {
		if err := serviceTable([]adminapi.Service{service})(output); err != nil {
			return err
		}
		return writeIndented(output, service.Spec)
	})
}

func (tool *tool) getTarget(ctx context.Context, api *client.Client, arguments []string) error {
	key, err := parseTargetKey(arguments[0])
	if err != nil {
		return err
	}
	target, err := api.Target(ctx, key)
	if err != nil {
		return err
	}
	return tool.show(target, targetTable([]adminapi.Target{target}))
}

func (tool *tool) listTemplates(ctx context.Context, api *client.Client, _ []string) error {
	templates, err := api.Templates(ctx)
	if err != nil {
		return err
	}
	return tool.show(templates, templateTable(templates))
}

func (tool *tool) listTenants(ctx context.Context, api *client.Client, _ []string) error {
	tenants, err := api.Tenants(ctx)
	if err != nil {
		return err
	}
	return tool.show(tenants, tenantTable(tenants))
}

func (tool *tool) listServices(ctx context.Context, api *client.Client, arguments []string) error {
	services, err := fetchServices(ctx, api, arguments)
	if err != nil {
		return err
	}
	return tool.show(services, serviceTable(services))
}

// fetchServices returns the services of the tenant in arguments, or of all tenants without one.
func fetchServices(ctx context.Context, api *client.Client, arguments []string) ([]adminapi.Service, error) {
	if len(arguments) == 0 {
		return api.Services(ctx)
	}
	return api.TenantServices(ctx, model.TenantName(arguments[0]))
}

func (tool *tool) listTargets(ctx context.Context, api *client.Client, arguments []string) error {
	key, err := parseServiceKey(arguments[0])
	if err != nil {
		return err
	}
	targets, err := api.Targets(ctx, key)
	if err != nil {
		return err
	}
	return tool.show(targets, targetTable(targets))
}

func writeIndented(output io.Writer, value any) error {
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode for the terminal: %w", err)
	}
	_, err = fmt.Fprintf(output, "%s\n", encoded)
	return err
}
