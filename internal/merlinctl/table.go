package merlinctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/state"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// printer writes a table with aligned columns.
type printer struct {
	writer *tabwriter.Writer
}

func newPrinter(output io.Writer, header ...string) *printer {
	printer := &printer{writer: tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)}
	printer.row(header...)
	return printer
}

func (printer *printer) row(cells ...string) {
	fmt.Fprintln(printer.writer, strings.Join(cells, "\t"))
}

func (printer *printer) flush() error { return printer.writer.Flush() }

// show writes value as JSON, or calls table, as the output setting selects.
func (tool *tool) show(value any, table func(io.Writer) error) error {
	if tool.settings.Output == OutputJSON {
		encoder := json.NewEncoder(tool.output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	return table(tool.output)
}

func formatNumber[Number ~uint32 | ~uint64 | ~int | ~int64](value Number) string {
	return fmt.Sprint(value)
}

// textIf returns text if set, and "-" otherwise.
func textIf(set bool, text string) string {
	if set {
		return text
	}
	return "-"
}

func templateTable(templates []adminapi.TemplateSummary) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "NAME", "VERSION", "PROTOCOL", "REVISION", "DESCRIPTION")
		for _, template := range templates {
			table.row(template.Name, formatNumber(template.LatestVersion), string(template.Protocol), formatNumber(template.Revision), template.Description)
		}
		return table.flush()
	}
}

func tenantTable(tenants []state.Tenant) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "NAME", "REVISION", "UPDATED BY", "DESCRIPTION")
		for _, tenant := range tenants {
			table.row(string(tenant.Name), formatNumber(tenant.Revision), tenant.UpdatedBy, tenant.Spec.Description)
		}
		return table.flush()
	}
}

func serviceTable(services []adminapi.Service) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "TENANT", "NAME", "ADDRESS", "PROTOCOL", "TEMPLATE", "TARGETS", "REVISION", "STATE")
		for _, service := range services {
			template := service.Spec.Template.Name + "@" + formatNumber(service.Spec.Template.Version)
			table.row(string(service.Tenant), service.Name, service.Address, string(service.Protocol), template,
				formatNumber(service.Targets), formatNumber(service.Revision), textIf(service.Removing, "removing"))
		}
		return table.flush()
	}
}

func targetTable(targets []adminapi.Target) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "NAME", "ZONE", "PHASE", "AGENT", "HEADS", "EARLIER", "FLOWS", "RUNNING", "FEEDS", "REVISION")
		for _, target := range targets {
			table.row(target.Name, string(target.Zone), phaseOf(target), target.Agent, formatNumber(target.Buckets.Heads), formatNumber(target.Buckets.Earlier),
				loadCell(target, func(load *adminapi.Load) uint32 { return load.Flows }),
				loadCell(target, func(load *adminapi.Load) uint32 { return load.Running }),
				loadCell(target, func(load *adminapi.Load) uint32 { return load.Feeds }),
				formatNumber(target.Revision))
		}
		return table.flush()
	}
}

func phaseOf(target adminapi.Target) string {
	if target.Leaving {
		return target.Phase + " (leaving)"
	}
	return target.Phase
}

// loadCell returns a number of the target's load, or "?" if its agent has not reported any.
func loadCell(target adminapi.Target, value func(*adminapi.Load) uint32) string {
	if target.Load == nil {
		return "?"
	}
	return formatNumber(value(target.Load))
}

func memberTable(members []adminapi.Member) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "ID", "NAME", "VOTES", "LEADER")
		for _, member := range members {
			table.row(member.ID, string(member.Name), strconv.FormatBool(!member.Learner), textIf(member.Leader, "yes"))
		}
		return table.flush()
	}
}

func rolloutTable(rollout adminapi.Rollout) func(io.Writer) error {
	return func(output io.Writer) error {
		fmt.Fprintf(output, "committed %d, in force %d\n", rollout.Committed, rollout.InForce)
		if len(rollout.Nodes) == 0 {
			return nil
		}
		table := newPrinter(output, "NODE", "ROLE", "ZONE", "APPLIED", "LEASED", "SEEN")
		for _, node := range rollout.Nodes {
			table.row(string(node.Name), string(node.Role), string(node.Zone), formatNumber(node.Applied), strconv.FormatBool(node.Leased),
				fmt.Sprintf("%d ms ago", node.AgeMilliseconds))
		}
		return table.flush()
	}
}

func statusTable(statuses []client.EndpointStatus) func(io.Writer) error {
	return func(output io.Writer) error {
		table := newPrinter(output, "ENDPOINT", "NODE", "LEADER", "TERM", "COMMITTED", "APPLIED", "REVISION", "DIGEST", "SERVICES", "TARGETS", "CLAIMS")
		for _, endpoint := range statuses {
			if endpoint.Status == nil {
				table.row(endpoint.Endpoint, "no answer: "+strings.SplitN(endpoint.Problem, "\n", 2)[0])
				continue
			}
			status := endpoint.Status
			if status.Refused {
				table.row(endpoint.Endpoint, string(status.Node), fmt.Sprintf("empty disk without a place in the group (code %d); see: merlinctl members replace --help", faults.DiskNotMember))
				continue
			}
			table.row(endpoint.Endpoint, string(status.Node), string(status.Leader), formatNumber(status.Term), formatNumber(status.Committed),
				formatNumber(status.Applied), formatNumber(status.Revision), status.ConfigurationDigest, formatNumber(status.Services), formatNumber(status.Targets), formatNumber(status.Claims.Rows))
		}
		return table.flush()
	}
}
