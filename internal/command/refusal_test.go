package command

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
)

// The size of a terminal that the message of a refused start must fit on.
const (
	screenLines   = 24
	screenColumns = 80
)

// memberFixture has what a control member needs to start: a data folder with a log, keys, a token
// file and free ports.
type memberFixture struct {
	root     string
	settings map[string]string
}

func newMemberFixture(t *testing.T) *memberFixture {
	t.Helper()
	root := t.TempDir()
	writeMemberFolder(t, filepath.Join(root, "data"), 1)
	processes := []keys.Process{
		{Name: "control-1", Role: model.RoleControl},
		{Name: "control-2", Role: model.RoleControl},
		{Name: "relay-1", Role: model.RoleRelay},
	}
	require.NoError(t, keys.Init(filepath.Join(root, "keys"), processes, time.Now()))
	tokens := filepath.Join(root, "tokens.yaml")
	require.NoError(t, os.WriteFile(tokens, []byte("tokens: []\n"), 0o600))
	return &memberFixture{root: root, settings: map[string]string{
		"node": "control-1", "zone": "zone-1", "data_folder": filepath.Join(root, "data"), "keys": filepath.Join(root, "keys", "control-1"),
		"listen": "127.0.0.1:0", "status": "127.0.0.1:0", "control.api": "127.0.0.1:0", "control.tokens": tokens,
	}}
}

// start runs the control command and returns its exit code and output.
func (member *memberFixture) start(t *testing.T) (code int, output string) {
	t.Helper()
	file := filepath.Join(member.root, "control.yaml")
	content := fmt.Sprintf("node: %s\nzone: %s\ndata_folder: %s\ncontrol:\n  members: [{name: control-1, address: \"127.0.0.1:7000\"}, {name: control-2, address: \"127.0.0.1:7001\"}]\n",
		member.settings["node"], member.settings["zone"], member.settings["data_folder"])
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	arguments := []string{"control", "-c", file}
	for _, key := range []string{"keys", "listen", "status", "control.api", "control.tokens", "control.election_timeout"} {
		if value, set := member.settings[key]; set {
			arguments = append(arguments, "--set", key+"="+value)
		}
	}
	var printed bytes.Buffer
	code = Execute(arguments, &printed, &printed)
	return code, printed.String()
}

// consensusFiles returns the content of the files in the consensus folder. It leaves out the log
// rings, which a refused start may add as diagnostics, and the lock file, which is empty.
func (member *memberFixture) consensusFiles(t *testing.T) map[string]string {
	t.Helper()
	return readTree(t, filepath.Join(member.root, "data", "consensus"))
}

// occupyPort listens on a free loopback port and returns its address.
func occupyPort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestControlRoleRefusesToStart starts the control command on a member's folder with one fault each.
// The message must have the code, the cause and the remedy, and fit on one screen; the files of the
// consensus folder must stay unchanged.
func TestControlRoleRefusesToStart(t *testing.T) {
	wal := func(member *memberFixture) string { return filepath.Join(member.root, "data/consensus/wal") }
	cases := []struct {
		name       string
		breakSetup func(*testing.T, *memberFixture)
		code       faults.Code
		cause      string
	}{
		{"corrupt log", func(t *testing.T, member *memberFixture) {
			corruptByte(t, firstMatch(t, wal(member)+"/*"), 100)
		}, faults.StorageDamaged, "wal-"},
		{"corrupt identity", func(t *testing.T, member *memberFixture) {
			corruptByte(t, filepath.Join(member.root, "data/consensus/identity"), 4)
		}, faults.StorageDamaged, "identity"},
		{"log missing", func(t *testing.T, member *memberFixture) { require.NoError(t, os.RemoveAll(wal(member))) }, faults.StorageIncomplete, "no log"},
		{"log of another group", func(t *testing.T, member *memberFixture) {
			other := filepath.Join(member.root, "other")
			writeMemberFolder(t, other, 2)
			require.NoError(t, os.RemoveAll(wal(member)))
			require.NoError(t, os.Rename(filepath.Join(other, "consensus/wal"), wal(member)))
		}, faults.StorageForeign, "group"},
		{"another node's folder", func(_ *testing.T, member *memberFixture) {
			member.settings["node"] = "control-2"
			member.settings["keys"] = filepath.Join(member.root, "keys/control-2")
		}, faults.StorageForeign, "control-1"},
		{"another node's key", func(_ *testing.T, member *memberFixture) {
			member.settings["keys"] = filepath.Join(member.root, "keys/control-2")
		}, faults.CodeKeysInvalid, "control-2"},
		{"another role's key", func(_ *testing.T, member *memberFixture) {
			member.settings["keys"] = filepath.Join(member.root, "keys/relay-1")
		}, faults.CodeKeysInvalid, "relay"},
		{"malformed key", func(t *testing.T, member *memberFixture) {
			require.NoError(t, os.WriteFile(filepath.Join(member.root, "keys/control-1/key.pem"), []byte("no key"), 0o600))
		}, faults.CodeKeysUnreadable, "key.pem"},
		{"keys missing", func(_ *testing.T, member *memberFixture) {
			member.settings["keys"] = filepath.Join(member.root, "nowhere")
		}, faults.CodeKeysUnreadable, "nowhere"},
		{"setting out of range", func(_ *testing.T, member *memberFixture) {
			member.settings["control.election_timeout"] = "1ms"
		}, faults.CodeSettingsInvalid, "control.election_timeout"},
		{"malformed setting", func(_ *testing.T, member *memberFixture) { member.settings["listen"] = "nowhere" }, faults.CodeSettingsInvalid, "listen"},
		{"invalid token file", func(t *testing.T, member *memberFixture) {
			require.NoError(t, os.WriteFile(member.settings["control.tokens"], []byte("tokens: [{name: a, role: king}]\n"), 0o600))
		}, faults.CodeTokensInvalid, "king"},
		{"control port taken", func(t *testing.T, member *memberFixture) { member.settings["listen"] = occupyPort(t) }, faults.CodeAddressInUse, "control address"},
		{"status port taken", func(t *testing.T, member *memberFixture) { member.settings["status"] = occupyPort(t) }, faults.CodeAddressInUse, "status"},
		{"API port taken", func(t *testing.T, member *memberFixture) { member.settings["control.api"] = occupyPort(t) }, faults.CodeAddressInUse, "administration address"},
		{"API port taken on an empty folder", func(t *testing.T, member *memberFixture) {
			require.NoError(t, os.RemoveAll(filepath.Join(member.root, "data")))
			member.settings["control.api"] = occupyPort(t)
		}, faults.CodeAddressInUse, "administration address"},
		{"second process on the folder", func(t *testing.T, member *memberFixture) {
			first, err := disk.Open(filepath.Join(member.root, "data"))
			require.NoError(t, err)
			t.Cleanup(func() { _ = first.Close() })
		}, faults.StorageLocked, "another process"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := newMemberFixture(t)
			test.breakSetup(t, member)
			before := member.consensusFiles(t)
			exit, output := member.start(t)
			require.Equal(t, exitFailure, exit, output)
			definition, known := faults.Lookup(test.code)
			require.True(t, known)
			require.Contains(t, output, fmt.Sprintf("error %d %s: ", test.code, definition.Name))
			require.Contains(t, output, test.cause)
			require.Contains(t, output, definition.Action)
			require.LessOrEqual(t, screenRows(output), screenLines, output)
			require.Equal(t, before, member.consensusFiles(t))
		})
	}
}

// screenRows returns the number of rows that text takes on a screen, with long lines wrapped.
func screenRows(text string) int {
	count := 0
	for line := range strings.Lines(text) {
		count += 1 + (len(line)-1)/screenColumns
	}
	return count
}
