package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/state"
)

// writeMemberFolder fills a data folder by running a single-member group for 80 changes. Different
// seeds create different groups.
func writeMemberFolder(t *testing.T, folder string, seed uint64) {
	t.Helper()
	files, err := disk.Open(folder)
	require.NoError(t, err)
	mailbox := protocol.NewMailbox("control-1")
	controller, err := replica.NewController(replica.Options{
		Self:              "control-1",
		Members:           []model.NodeName{"control-1"},
		ElectionTimeout:   time.Second,
		HeartbeatInterval: 100 * time.Millisecond,
		SnapshotEvery:     10,
		SegmentBytes:      512,
		Seed:              seed,
	}, files, mailbox, protocol.NewDispatcher(mailbox), state.NewMachine())
	require.NoError(t, err)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		controller.Submit([]byte("a change"), func([]byte, error) {})
		controller.Reconcile(now)
	}
	controller.Stop()
	require.NoError(t, files.Close())
}

// runVerify runs "storage verify" on a folder.
func runVerify(folder string) (code int, output string) {
	var text bytes.Buffer
	code = Execute([]string{"storage", "verify", folder}, &text, &text)
	return code, text.String()
}

// corruptByte inverts the byte of a file at offset.
func corruptByte(t *testing.T, name string, offset int) {
	t.Helper()
	data, err := os.ReadFile(name)
	require.NoError(t, err)
	data[offset] ^= 0xFF
	require.NoError(t, os.WriteFile(name, data, 0o600))
}

// firstMatch returns the first file, in lexical order, that matches pattern.
func firstMatch(t *testing.T, pattern string) string {
	t.Helper()
	names, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, names)
	return names[0]
}

func TestStorageVerify(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*testing.T, string)
		code   int
		parts  []string
	}{
		{"intact", func(*testing.T, string) {}, 0, []string{"member 1", "segment(s)", "term 1 from entry", "snapshot: ", "result: sound"}},
		{"torn tail", func(t *testing.T, folder string) {
			names, err := filepath.Glob(filepath.Join(folder, "consensus/wal/*"))
			require.NoError(t, err)
			file, err := os.OpenFile(names[len(names)-1], os.O_APPEND|os.O_WRONLY, 0)
			require.NoError(t, err)
			_, err = file.WriteString("torn")
			require.NoError(t, err)
			require.NoError(t, file.Close())
		}, 0, []string{"torn tail: 4 byte(s)", "result: sound"}},
		{"damaged log", func(t *testing.T, folder string) {
			corruptByte(t, firstMatch(t, filepath.Join(folder, "consensus/wal/*")), 100)
		}, 1, []string{"problem 2001", "remedy: "}},
		{"damaged snapshot", func(t *testing.T, folder string) {
			corruptByte(t, firstMatch(t, filepath.Join(folder, "consensus/snapshots/*")), 20)
		}, 1, []string{"problem 2007", "not usable"}},
		{"damaged identity", func(t *testing.T, folder string) {
			corruptByte(t, filepath.Join(folder, "consensus/identity"), 3)
		}, 1, []string{"problem 2001"}},
		{"log missing", func(t *testing.T, folder string) {
			require.NoError(t, os.RemoveAll(filepath.Join(folder, "consensus/wal")))
		}, 1, []string{"problem 2011"}},
		{"not a data folder", func(t *testing.T, folder string) {
			require.NoError(t, os.RemoveAll(filepath.Join(folder, "consensus")))
		}, 1, []string{"problem 2011"}},
		{"folder missing", func(t *testing.T, folder string) {
			require.NoError(t, os.RemoveAll(folder))
		}, 1, []string{"2009"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "data")
			writeMemberFolder(t, folder, 1)
			test.damage(t, folder)
			before := readTree(t, folder)
			code, output := runVerify(folder)
			require.Equal(t, test.code, code, output)
			for _, part := range test.parts {
				require.Contains(t, output, part)
			}
			require.Equal(t, before, readTree(t, folder), "verify must change nothing")
		})
	}
}

// readTree returns the content of all files below root.
func readTree(t *testing.T, root string) map[string]string {
	t.Helper()
	content := make(map[string]string)
	if _, err := os.Stat(root); err != nil {
		return content
	}
	require.NoError(t, filepath.WalkDir(root, func(name string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := os.ReadFile(name)
		content[name] = string(data)
		return err
	}))
	return content
}
