package agent

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/logring"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/settings"
)

func TestModuleDependenciesAreProvided(t *testing.T) {
	require.NoError(t, fx.ValidateApp(
		fx.NopLogger,
		fx.Supply(settings.Default(), zap.NewNop(), prometheus.NewRegistry(), logring.New(1), &logring.Dumper{}),
		fx.Provide(process.NewTasks, process.NewReadiness),
		Module(),
	))
}
