package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const caller = "100.64.0.7:40001"

// logLine returns one line of a log, logged at the given second.
func logLine(second, node, message, fields string) string {
	return `  12.5 ` + node + ` {"level":"info","time":"2026-12-02T10:00:` + second + `Z","logger":"x","message":"` + message + `","node":"` + node + `"` + fields + `}`
}

const openedFields = `,"caller":"` + caller + `","route":"198.18.0.1:443","reason":"chosen","opening":true,"attempt":0,"token":7,"target":70,"revision":9,"version":3,"confirmed_ago":"10ms"`

func TestTargetExplanation(t *testing.T) {
	lines, err := Read(strings.NewReader(strings.Join([]string{
		logLine("01", "m1", "target registered", `,"target":70,"state":"ready","address":"10.0.0.1:80"`),
		logLine("02", "b1", "flow opened", openedFields),
		logLine("03", "m1", "target failed", `,"target":70,"cause":"a balancer was refused"`),
		logLine("03", "m1", "target failed", `,"target":71,"cause":"another"`),
	}, "\n")))
	require.NoError(t, err)
	explanation := Target(lines, 70)
	require.Len(t, explanation.Events, 2)
	require.Contains(t, explanation.Cause, "in 1 decisions about flows")
	require.Contains(t, explanation.Cause, "a balancer was refused")
	require.Equal(t, "No log line names the target.", Target(lines, 5).Cause)
}

func TestFlowExplanation(t *testing.T) {
	cases := []struct {
		name   string
		lines  []string
		cause  string
		events int
	}{
		{"target failed", []string{
			logLine("01", "b1", "flow opened", openedFields),
			logLine("02", "b2", "suspected target probed", `,"target":70,"token":7,"outcome":"refused"`),
			logLine("03", "m1", "target failed", `,"target":70,"cause":"a balancer was refused"`),
			logLine("04", "b2", "flow reset", `,"caller":"`+caller+`","reason":"target_failed","token":7`),
			logLine("04", "m1", "target failed", `,"target":71,"cause":"another"`),
		}, "reset because its target had failed. Member m1 found target 46 failed", 4},
		{"no route", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.9:1","reason":"no_route","opening":true,"version":4`),
		}, "no route has the address 198.18.0.9:1 in version 4", 1},
		{"overloaded", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"overloaded","opening":true,"target":70,"open":9,"expected":"150ms"`),
		}, "target 46, had 9 open requests, so an answer was expected only after 150ms", 1},
		{"link full", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"link_full","opening":true,"expected":"1.5s"`),
		}, "the balancer's own link was busy and would have transmitted its request only after 1.5s", 1},
		{"zones evacuated", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"evacuated","opening":true,"evacuated_since":12`),
		}, "in zones that operators evacuated, the latest by the order at revision 12", 1},
		{"zones evacuated, stale table", []string{
			logLine("01", "b1", "packet dropped", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"evacuated","opening":true,"evacuated_since":12`),
		}, "the balancer's table was not confirmed recently, so it sent no reset", 1},
		{"only cold targets", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"cold","opening":true`),
		}, "all targets of its service had just started or returned", 1},
		{"no target in the route's regions", []string{
			logLine("01", "b1", "flow reset", `,"caller":"`+caller+`","route":"198.18.0.1:1","reason":"no_home","opening":true`),
		}, "the route 198.18.0.1:1 may be served in certain regions only", 1},
		{"second choice", []string{
			logLine("01", "b1", "flow opened", openedFields),
			logLine("02", "b1", "flow opened", strings.Replace(strings.Replace(openedFields, `"attempt":0`, `"attempt":1`, 1), `"token":7,"target":70`, `"token":8,"target":80,"suspect":7`, 1)),
			logLine("03", "b1", "suspected target probed", `,"target":70,"token":7,"outcome":"answered"`),
		}, "at target choice 2: the previous target did not answer in time; the result of a probe: answered", 3},
		{"no table", []string{
			logLine("01", "b1", "process starts", ""),
			logLine("02", "b1", "packet dropped", `,"caller":"`+caller+`","reason":"no_table","opening":true`),
		}, "had just started and had no table", 2},
		{"waited for the first table", []string{
			logLine("01", "b1", "process starts", ""),
			logLine("02", "b1", "packet dropped", `,"caller":"`+caller+`","reason":"no_table","opening":true`),
			logLine("03", "b1", "flow opened", openedFields),
		}, "waited 1s for the first table of its balancer, which had started at 2026-12-02T10:00:01Z", 3},
		{"earlier copies reached no balancer", []string{
			logLine("01", "b1", "process starts", ""),
			logLine("02", "b1", "flow opened", strings.Replace(openedFields, `"attempt":0`, `"attempt":2`, 1)),
			logLine("02", "b2", "suspected target probed", `,"target":70,"token":7,"outcome":"answered"`),
		}, "opened by retransmission 2 of its opening packet; no balancer received the earlier copies", 3},
		{"retransmission long after a start", []string{
			logLine("01", "b1", "process starts", ""),
			logLine("09", "b1", "flow opened", strings.Replace(openedFields, `"attempt":0`, `"attempt":2`, 1)),
			logLine("09", "b2", "suspected target probed", `,"target":70,"token":7,"outcome":"answered"`),
		}, "at target choice 3", 2},
		{"balancer stopped", []string{
			logLine("01", "b1", "flow opened", openedFields),
			logLine("02", "b1", "process ends", ""),
		}, "its balancer stopped", 2},
		{"target failed without a reset", []string{
			logLine("01", "b1", "flow opened", openedFields),
			logLine("02", "m1", "target failed", `,"target":70,"cause":"several processes got no answer"`),
		}, "its target failed afterwards", 2},
		{"opened at the first choice", []string{logLine("01", "b1", "flow opened", openedFields)}, "check the target", 1},
		{"never seen", []string{logLine("01", "b1", "process starts", "")}, "No balancer decided anything", 0},
		{"lines left out", []string{logLine("01", "b1", "flow opened", `,"caller":"100.64.0.8:1","left_out":12`)}, "12 lines about flows were left out", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			log := "unstructured text\n{broken\n" + strings.Join(test.lines, "\n")
			lines, err := Read(strings.NewReader(log))
			require.NoError(t, err)
			explanation := Flow(lines, caller)
			require.Contains(t, explanation.Cause, test.cause)
			require.Len(t, explanation.Events, test.events)
		})
	}
}
