package experiment

import (
	"fmt"
	"strings"
)

// Markdown returns the result as a Markdown page.
func (result Result) Markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n\n%s\n\nFleet %s, load %g times its own for %.0f s, %s.\n\n",
		result.Name, result.Description, result.Fleet, result.LoadFactor, result.Seconds, result.Started.UTC().Format("2006-01-02 15:04:05 UTC"))
	if result.Revision != "" {
		fmt.Fprintf(&text, "Built from %s.\n\n", result.Revision)
	}
	text.WriteString(result.Audit.Table())
	text.WriteString("\n" + result.Audit.Summary())
	text.WriteString(result.imbalanceTable())
	text.WriteString(result.costTable())
	if result.Rollout.Changes > 0 {
		fmt.Fprintf(&text, "\nchanges until in force: %d, p50 %.0f ms, p99 %.0f ms, max %.0f ms\n",
			result.Rollout.Changes, result.Rollout.P50, result.Rollout.P99, result.Rollout.Max)
	}
	text.WriteString(result.verdict())
	return text.String()
}

func (result Result) imbalanceTable() string {
	var text strings.Builder
	text.WriteString("\n| imbalance (max over mean) | samples | connections median | p90 | last | requests median | p90 |\n")
	text.WriteString("|---|---:|---:|---:|---:|---:|---:|\n")
	for _, line := range result.Imbalance {
		fmt.Fprintf(&text, "| %s | %d | %.2f | %.2f | %.2f | %.2f | %.2f |\n", line.Service, line.Connections.Samples,
			line.Connections.Median, line.Connections.P90, line.Connections.Last, line.Requests.Median, line.Requests.P90)
	}
	return text.String()
}

func (result Result) costTable() string {
	const mebibyte = 1 << 20
	var text strings.Builder
	text.WriteString("\n| role | nodes | control bytes/s mean | max | core share mean | max | memory MiB mean | max |\n")
	text.WriteString("|---|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, cost := range result.Costs {
		fmt.Fprintf(&text, "| %s | %d | %.0f | %.0f | %.3f | %.3f | %.0f | %.0f |\n", cost.Role, cost.Nodes,
			cost.ControlBytesPerSecond.Mean, cost.ControlBytesPerSecond.Max,
			cost.ProcessorShare.Mean, cost.ProcessorShare.Max,
			cost.MemoryBytes.Mean/mebibyte, cost.MemoryBytes.Max/mebibyte)
	}
	return text.String()
}

func (result Result) verdict() string {
	if len(result.Violations) == 0 {
		return "\nEverything that must always hold did.\n"
	}
	var text strings.Builder
	text.WriteString("\nDid not hold:\n")
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "- %s: %s\n", violation.Invariant, violation.Detail)
	}
	for _, example := range result.Audit.Examples {
		fmt.Fprintf(&text, "  - %s\n", example)
	}
	return text.String()
}

// Compare returns a table of the main figures of two results and their
// ratios.
func Compare(before, after Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "| figure | %s | %s | ratio |\n|---|---:|---:|---:|\n", before.label(), after.label())
	for _, figure := range figures {
		first, second := figure.read(before), figure.read(after)
		fmt.Fprintf(&text, "| %s | %.4g | %.4g | %s |\n", figure.name, first, second, ratio(first, second))
	}
	return text.String()
}

func (result Result) label() string {
	return result.Name + " " + result.Started.UTC().Format("15:04:05")
}

func ratio(first, second float64) string {
	if first == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", second/first)
}

// figure is one number of a result, with the label that comparisons show.
type figure struct {
	name string
	read func(Result) float64
}

// figures are the rows of a comparison table.
var figures = []figure{
	{"broken flows", func(result Result) float64 { return float64(result.Audit.Flows.Broken) }},
	{"weighted cuts", func(result Result) float64 { return result.Audit.WeightedCuts() }},
	{"weighted service", func(result Result) float64 { return result.Audit.WeightedService() }},
	{"slot ms for each weighted delivery", func(result Result) float64 { return 1000 * result.Audit.SlotSecondsPerDelivery() }},
	{"call p50 ms", func(result Result) float64 { return float64(result.Audit.Class("call").Latency.P50) / 1000 }},
	{"call p99 ms", func(result Result) float64 { return float64(result.Audit.Class("call").Latency.P99) / 1000 }},
	{"at-most-once p50 ms", func(result Result) float64 { return float64(result.Audit.Class("once").Latency.P50) / 1000 }},
	{"at-most-once p99 ms", func(result Result) float64 { return float64(result.Audit.Class("once").Latency.P99) / 1000 }},
	{"imbalance of connections, median", func(result Result) float64 { return firstImbalance(result).Connections.Median }},
	{"imbalance of requests, median", func(result Result) float64 { return firstImbalance(result).Requests.Median }},
	{"rollout p99 ms", func(result Result) float64 { return result.Rollout.P99 }},
}

func firstImbalance(result Result) Imbalance {
	if len(result.Imbalance) == 0 {
		return Imbalance{}
	}
	return result.Imbalance[0]
}
