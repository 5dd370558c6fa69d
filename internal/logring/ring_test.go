package logring

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func TestRingKeepsTheLatestLines(t *testing.T) {
	ring := New(3)
	for _, line := range []string{"a", "b", "c", "d", "e"} {
		ring.Append([]byte(line + "\n"))
	}
	var output bytes.Buffer
	_, err := ring.WriteTo(&output)
	require.NoError(t, err)
	require.Equal(t, "{\"ring\":\"start\",\"dropped\":2}\nc\nd\ne\n", output.String())
}

func TestRingIsWrittenOnlyAfterErrors(t *testing.T) {
	folder := t.TempDir()
	now := time.Unix(1000, 0)
	ring := New(8)
	dumper := NewDumper(folder, "node-1", ring, func() time.Time { return now })
	logger := zap.New(NewCore(zapcore.DebugLevel, ring, dumper))

	logger.Info("ordinary")
	require.Empty(t, ringFiles(t, folder))

	logger.Error("sync failed")
	logger.Error("sync failed again")
	files := ringFiles(t, folder)
	require.Len(t, files, 1, "errors within a minute write one file")
	content, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.Contains(t, string(content), "ordinary")
	require.Contains(t, string(content), "sync failed")

	now = now.Add(2 * time.Minute)
	logger.Error("later")
	require.Len(t, ringFiles(t, folder), 2)
}

// A process that runs for months or restarts repeatedly must not fill the disk, and its latest
// errors must still be written.
func TestDumperKeepsTheNewestFilesAcrossRestarts(t *testing.T) {
	folder := t.TempDir()
	now := time.Unix(1000, 0)
	var newest string
	for number := range maximumDumpFiles + 5 {
		ring := New(1)
		ring.Append(fmt.Appendf(nil, "dump %d\n", number))
		dumper := NewDumper(folder, "node-1", ring, func() time.Time { return now })
		require.NoError(t, dumper.Dump(ReasonError))
		newest = fmt.Sprintf("dump %d", number)
		now = now.Add(2 * time.Minute)
	}
	files := ringFiles(t, folder)
	require.Len(t, files, maximumDumpFiles)
	content, err := os.ReadFile(files[len(files)-1])
	require.NoError(t, err)
	require.Contains(t, string(content), newest)
}

// The name of node-10 begins with that of node-1, whose dumper must not remove the files of node-10.
func TestDumperKeepsFilesOfOtherNodes(t *testing.T) {
	folder := t.TempDir()
	foreign := filepath.Join(folder, "ring-node-10-20250101T000000.000-error.log")
	require.NoError(t, os.WriteFile(foreign, []byte("another node's"), 0o600))
	now := time.Unix(1000, 0)
	dumper := NewDumper(folder, "node-1", New(1), func() time.Time { return now })
	for range maximumDumpFiles + 2 {
		require.NoError(t, dumper.Dump(ReasonError))
		now = now.Add(2 * time.Minute)
	}
	require.FileExists(t, foreign)
}

func TestSignalAlwaysWritesTheRing(t *testing.T) {
	folder := t.TempDir()
	now := time.Unix(1000, 0)
	dumper := NewDumper(folder, "node-1", New(1), func() time.Time { return now })
	require.NoError(t, dumper.Dump(ReasonSignal))
	now = now.Add(time.Second)
	require.NoError(t, dumper.Dump(ReasonSignal))
	require.Len(t, ringFiles(t, folder), 2)
}

func ringFiles(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "ring-*.log"))
	require.NoError(t, err)
	for _, file := range files {
		require.True(t, strings.HasPrefix(filepath.Base(file), "ring-node-1-"))
	}
	return files
}
