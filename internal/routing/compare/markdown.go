package compare

import (
	"fmt"
	"math"
	"strings"
)

// Markdown returns the result tables of the comparisons with one number of targets.
func Markdown(targets int, summaries []Summary) string {
	var page strings.Builder
	fmt.Fprintf(&page, "### %d targets\n\n", targets)
	writeBroken(&page, summaries)
	writeBalance(&page, summaries)
	writeChanges(&page, summaries)
	writeGap(&page, summaries)
	return page.String()
}

// writeBroken writes broken flows, retries, state, control traffic and passes.
func writeBroken(page *strings.Builder, summaries []Summary) {
	page.WriteString("| way | broken, planned | broken, unplanned | lost with their target | late at a drain | " +
		"repeated openings | balancer B/flow | target B/flow | table B | control B/change down | up | " +
		"passes/opening | passes/packet |\n|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, summary := range summaries {
		fmt.Fprintf(page, "| %s | %d | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f | %.3f |\n",
			summary.Algorithm, summary.BrokenPlanned, summary.BrokenUnplanned, summary.BrokenOnDeadTarget,
			summary.LateOpenings, summary.OpeningRetries, summary.BalancerBytes, summary.TargetBytes,
			summary.TableBytes, summary.ControlDown, summary.ControlUp, summary.PassesPerOpening,
			summary.PassesPerPacket)
	}
	page.WriteString("\n")
}

// writeBalance writes the imbalance of flows and requests, and the waits of requests.
func writeBalance(page *strings.Builder, summaries []Summary) {
	page.WriteString("| way | flows median | p99 | settled median | settled p99 | settled max | settled at most 1.05 | " +
		"requests max/mean | over 30 s | requests at a target | wait ms | shed |\n" +
		"|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, summary := range summaries {
		fmt.Fprintf(page, "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.1f%% | %.3f | %.3f | %.3f | %.2f | %d |\n",
			summary.Algorithm, summary.Flows.Median, summary.Flows.P99,
			summary.FlowsSettled.Median, summary.FlowsSettled.P99, summary.FlowsSettled.Max,
			100*summary.FlowsSettled.Within, summary.RequestsImbalanceMean, summary.RequestsWindowed.Median,
			summary.RequestsMean, summary.WaitMilliseconds, summary.Shed)
	}
	page.WriteString("\n")
}

// writeChanges writes the imbalance of flows after each change.
func writeChanges(page *strings.Builder, summaries []Summary) {
	page.WriteString("Imbalance of flows two minutes after a change, highest of the runs:\n\n| way |")
	rule := "|---|"
	for _, change := range summaries[0].FlowsAfterChange {
		fmt.Fprintf(page, " %s |", change.Change)
		rule += "--:|"
	}
	page.WriteString("\n" + rule + "\n")
	for _, summary := range summaries {
		fmt.Fprintf(page, "| %s |", summary.Algorithm)
		for _, change := range summary.FlowsAfterChange {
			fmt.Fprintf(page, " %.3f |", change.Flows)
		}
		page.WriteString("\n")
	}
	page.WriteString("\n")
}

// gapFigure is a figure about requests whose gap between two algorithms is reported.
type gapFigure struct {
	name   string
	figure func(Summary) float64
}

// writeGap writes the part of the gap that the full chain closes (GapClosed) in each gapFigure.
func writeGap(page *strings.Builder, summaries []Summary) {
	figures := []gapFigure{
		{"requests running and waiting at a target", func(summary Summary) float64 { return summary.RequestsMean }},
		{"wait for a slot", func(summary Summary) float64 { return summary.WaitMilliseconds }},
		{"maximum over mean of single samples", func(summary Summary) float64 { return summary.RequestsImbalanceMean }},
		{"maximum over mean over 30 s", func(summary Summary) float64 { return summary.RequestsWindowed.Median }},
	}
	page.WriteString("Part of the gap between plain hashing and all-knowing least requests that the full chain closes:\n\n")
	for _, one := range figures {
		closed := "no gap"
		if part := GapClosed(summaries, one.figure); !math.IsNaN(part) {
			closed = fmt.Sprintf("%.2f", part)
		}
		fmt.Fprintf(page, "- %s: %s\n", one.name, closed)
	}
	page.WriteString("\n")
}
