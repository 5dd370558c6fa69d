package audit

import (
	"fmt"
	"strings"
)

// Table returns the comparison as a Markdown table.
func (result Result) Table() string {
	var text strings.Builder
	text.WriteString("| class  | offered | delivered | refused | unknown | broken | doubled | crossed | refused yet run | p50 ms | p99 ms |\n")
	text.WriteString("|--------|--------:|----------:|--------:|--------:|-------:|--------:|--------:|----------------:|-------:|-------:|\n")
	for _, classResult := range result.Classes {
		fmt.Fprintf(&text, "| %-6s | %7d | %9d | %7d | %7d | %6d | %7d | %7d | %15d | %6.1f | %6.1f |\n",
			classResult.Class, classResult.Offered, classResult.Delivered, classResult.Refused, classResult.Unknown, classResult.Broken,
			classResult.Doubled, classResult.Crossed, classResult.RefusedYetRun, milliseconds(classResult.Latency.P50), milliseconds(classResult.Latency.P99))
	}
	return text.String()
}

// Summary returns the figures that the table does not have, one group per line.
func (result Result) Summary() string {
	var text strings.Builder
	flows := result.Flows
	fmt.Fprintf(&text, "flows: %d opened, %d closed by the caller, %d closed gracefully, %d broken, %d never opened\n",
		flows.Opened, flows.ClosedByCaller, flows.ClosedGracefully, flows.Broken, flows.Failed)
	fmt.Fprintf(&text, "refused attempts: %d, answered after p50 %.1f ms, p99 %.1f ms, max %.1f ms; %d requests not sent again for want of retry budget\n",
		result.RefusedAttempts, milliseconds(result.RefusalLatency.P50), milliseconds(result.RefusalLatency.P99),
		milliseconds(result.RefusalLatency.Max), result.RetriesOverBudget)
	fmt.Fprintf(&text, "weighted cuts (feeds and at-most-once calls double): %.0f\n", result.WeightedCuts())
	fmt.Fprintf(&text, "feed updates: %d received, %d missing, %d twice; longest silence %d ms\n",
		result.Feeds.Updates, result.Feeds.Missing, result.Feeds.Duplicates, result.Feeds.LongestSilenceMilliseconds)
	fmt.Fprintf(&text, "weighted service: %.4f delivered over offered; %.1f ms of slot time for each weighted delivery\n",
		result.WeightedService(), result.SlotSecondsPerDelivery()*1000)
	return text.String()
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
