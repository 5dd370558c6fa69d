package measured

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/filesystem/faulty"
)

func TestSyncsAreMeasured(t *testing.T) {
	files, err := disk.Open(filepath.Join(t.TempDir(), "data"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = files.Close() })
	control := filepath.Join(t.TempDir(), "fault")
	var durations []time.Duration
	folder := New(faulty.New(files, control), func(duration time.Duration) { durations = append(durations, duration) })
	opened, err := folder.Create("a")
	require.NoError(t, err)
	_, err = opened.Write([]byte("x"))
	require.NoError(t, err)
	require.Empty(t, durations, "a write must not be reported as a sync")
	require.NoError(t, faulty.Set(control, faulty.Slow))
	require.NoError(t, opened.Sync())
	require.NoError(t, folder.SyncDir("."))
	require.Len(t, durations, 2)
	for _, duration := range durations {
		require.GreaterOrEqual(t, duration, 50*time.Millisecond)
	}
	require.NoError(t, opened.Close())
	_, err = folder.OpenWrite("missing")
	require.Error(t, err)
}
