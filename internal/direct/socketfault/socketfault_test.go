package socketfault

import (
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestFailuresAreCountedAndLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	registry := prometheus.NewRegistry()
	packets := New(registry, zap.New(core), "packets")
	reports := New(registry, zap.New(core), "load")
	packets.Note(Write, nil)
	packets.Note(Write, errors.New("network is unreachable"))
	packets.Note(Write, errors.New("network is unreachable"))
	reports.Note(Decode, errors.New("no message"))
	require.Equal(t, 2.0, testutil.ToFloat64(packets.failures.WithLabelValues("write")))
	require.Equal(t, 1.0, testutil.ToFloat64(reports.failures.WithLabelValues("decode")))
	require.Equal(t, 3, lines.Len())
	fields := lines.All()[0].ContextMap()
	require.Equal(t, map[string]any{"socket": "packets", "operation": "write", "error": "network is unreachable"}, fields)
}
