package balancernode

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	logged "go.uber.org/zap/zaptest/observer"

	"merlinpaddle/internal/direct/load"
	"merlinpaddle/internal/direct/steer"
)

// TestOverloadRefusalsLogTheirEvidence: the log line of a refusal shows whether a target was overloaded or
// only appeared to be. Other lines do not contain the evidence.
func TestOverloadRefusalsLogTheirEvidence(t *testing.T) {
	core, lines := logged.New(zap.InfoLevel)
	table := steer.NewTable(steer.DefaultOptions())
	observer := newObserver(newMetrics(table, load.NewCounter()), table, zap.New(core))
	segment := steer.Segment{Caller: netip.MustParseAddrPort("192.0.2.1:1"), Service: netip.MustParseAddrPort("192.0.2.2:2"), Opening: true}
	observer.Decided(segment, steer.Decision{Action: steer.Reset, Reason: steer.ReasonOverloaded, Open: 5, Evidence: steer.Evidence{
		LocalOpen: 1, RemoteOpen: 4, ReportedAgo: 20 * time.Millisecond,
		Gaps: steer.Proportion{Share: 0.05, Samples: 1}, Unanswered: steer.Proportion{Samples: 2}, ServingFor: time.Second,
	}})
	observer.Decided(segment, steer.Decision{Action: steer.Forward, Reason: steer.ReasonChosen})

	require.Len(t, lines.All(), 2)
	refusal := lines.All()[0].ContextMap()
	require.EqualValues(t, 1, refusal["open_own"])
	require.EqualValues(t, 4, refusal["open_others"])
	require.Equal(t, "20ms", refusal["others_heard_ago"])
	require.EqualValues(t, 1, refusal["gaps_cases"])
	require.EqualValues(t, 2, refusal["missed_cases"])
	require.EqualValues(t, time.Second, refusal["serving_for"])
	require.NotContains(t, lines.All()[1].ContextMap(), "gaps_cases")
}
