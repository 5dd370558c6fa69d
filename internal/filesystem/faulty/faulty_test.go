package faulty

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/filesystem/disk"
)

// newFolder returns a folder with injected faults and the path of its control file.
func newFolder(t *testing.T) (*Folder, string) {
	t.Helper()
	files, err := disk.Open(filepath.Join(t.TempDir(), "data"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = files.Close() })
	control := filepath.Join(t.TempDir(), "fault")
	return New(files, control), control
}

func TestFaults(t *testing.T) {
	folder, control := newFolder(t)
	opened, err := folder.Create("a")
	require.NoError(t, err)
	write := func() error {
		_, err := opened.Write([]byte("x"))
		return err
	}
	require.NoError(t, write())
	require.NoError(t, Set(control, Full))
	require.ErrorIs(t, write(), syscall.ENOSPC)
	_, err = folder.Create("b")
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.NoError(t, opened.Sync(), "a full disk must sync what was written")
	require.NoError(t, Set(control, Slow))
	begin := time.Now()
	require.NoError(t, opened.Sync())
	require.GreaterOrEqual(t, time.Since(begin), slowDelay)
	require.NoError(t, Set(control, Stall))
	done := make(chan error, 1)
	go func() { done <- write() }()
	select {
	case <-done:
		require.Fail(t, "a stalled write returned")
	case <-time.After(4 * stallPollInterval):
	}
	require.NoError(t, Set(control, None))
	require.NoError(t, <-done)
	require.NoError(t, opened.Close())
	again, err := folder.OpenWrite("a")
	require.NoError(t, err)
	require.NoError(t, again.Sync())
	require.NoError(t, folder.Rename("a", "c"))
	require.NoError(t, folder.SyncDir("."))
	require.NoError(t, again.Close())
}
