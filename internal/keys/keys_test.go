package keys

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

func TestParseProcess(t *testing.T) {
	cases := []struct {
		name string
		text string
		role model.Role
		node model.NodeName
		code faults.Code
	}{
		{name: "plain", text: "relay=relay-1", role: model.RoleRelay, node: "relay-1"},
		{name: "address", text: "control=control-1@127.0.0.1,::1", role: model.RoleControl, node: "control-1"},
		{name: "no role", text: "relay-1", code: faults.CodeProcessNameWrong},
		{name: "no name", text: "relay=", code: faults.CodeProcessNameWrong},
		{name: "unknown role", text: "king=relay-1", code: faults.CodeProcessNameWrong},
		{name: "path", text: "relay=../relay-1", code: faults.CodeProcessNameWrong},
		{name: "authority's folder", text: "relay=authority", code: faults.CodeProcessNameWrong},
		{name: "bad address", text: "control=control-1@here", code: faults.CodeProcessNameWrong},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			process, err := ParseProcess(test.text)
			require.Equal(t, test.code, faults.CodeOf(err))
			require.Equal(t, test.role, process.Role)
			require.Equal(t, test.node, process.Name)
		})
	}
}

func TestInitWritesPrivateFilesAndOverwritesNothing(t *testing.T) {
	root := t.TempDir()
	relay := Process{Name: "relay-1", Role: model.RoleRelay}
	require.NoError(t, Init(root, []Process{relay}, time.Now()))
	key := filepath.Join(root, "relay-1", KeyFile)
	before, err := os.ReadFile(key)
	require.NoError(t, err)
	for _, path := range []string{key, filepath.Join(root, AuthorityFolder, authorityKeyFile)} {
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.Equal(t, os.FileMode(fileMode), info.Mode().Perm(), path)
	}

	err = Init(root, []Process{relay}, time.Now())
	require.Equal(t, faults.CodeKeysExist, faults.CodeOf(err))
	after, err := os.ReadFile(key)
	require.NoError(t, err)
	require.Equal(t, before, after)

	require.NoError(t, Init(root, []Process{{Name: "agent-1", Role: model.RoleAgent}}, time.Now()), "the existing authority signs the certificate of a process that is added later")
	_, err = NewLoader(filepath.Join(root, "agent-1"), "agent-1", model.RoleAgent)
	require.NoError(t, err)
}

func TestLoaderRefusesFilesOfAnotherProcess(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, Init(root, []Process{{Name: "relay-1", Role: model.RoleRelay}, {Name: "relay-2", Role: model.RoleRelay}}, time.Now()))
	other := t.TempDir()
	require.NoError(t, Init(other, []Process{{Name: "relay-1", Role: model.RoleRelay}}, time.Now()))
	expired := t.TempDir()
	require.NoError(t, Init(expired, []Process{{Name: "relay-1", Role: model.RoleRelay}}, time.Now().Add(-2*Lifetime)))

	cases := []struct {
		name    string
		prepare func(t *testing.T) string
		role    model.Role
		code    faults.Code
	}{
		{name: "valid", prepare: func(*testing.T) string { return filepath.Join(root, "relay-1") }, role: model.RoleRelay},
		{name: "other name", prepare: func(*testing.T) string { return filepath.Join(root, "relay-2") }, role: model.RoleRelay, code: faults.CodeKeysInvalid},
		{name: "other role", prepare: func(*testing.T) string { return filepath.Join(root, "relay-1") }, role: model.RoleControl, code: faults.CodeKeysInvalid},
		{name: "missing", prepare: func(*testing.T) string { return filepath.Join(root, "relay-9") }, role: model.RoleRelay, code: faults.CodeKeysUnreadable},
		{name: "expired", prepare: func(*testing.T) string { return filepath.Join(expired, "relay-1") }, role: model.RoleRelay, code: faults.CodeKeysInvalid},
		{name: "other authority", prepare: func(t *testing.T) string {
			return copyFolder(t, filepath.Join(root, "relay-1"), map[string]string{AuthorityFile: filepath.Join(other, "relay-1", AuthorityFile)})
		}, role: model.RoleRelay, code: faults.CodeKeysInvalid},
		{name: "other key", prepare: func(t *testing.T) string {
			return copyFolder(t, filepath.Join(root, "relay-1"), map[string]string{KeyFile: filepath.Join(root, "relay-2", KeyFile)})
		}, role: model.RoleRelay, code: faults.CodeKeysUnreadable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewLoader(test.prepare(t), "relay-1", test.role)
			require.Equal(t, test.code, faults.CodeOf(err), "%v", err)
		})
	}
}

func TestLoaderReloadsChangedFilesAndKeepsValidOnes(t *testing.T) {
	now := time.Now()
	authority, err := NewAuthority(now)
	require.NoError(t, err)
	root := t.TempDir()
	process := Process{Name: "relay-1", Role: model.RoleRelay}
	require.NoError(t, writeProcess(root, authority, process, now))
	folder := filepath.Join(root, "relay-1")
	loader, err := NewLoader(folder, "relay-1", model.RoleRelay)
	require.NoError(t, err)
	first := loader.Certificate().Leaf.SerialNumber

	pair, err := authority.Issue(process, now)
	require.NoError(t, err)
	replaceFile(t, folder, KeyFile, pair.Key, now.Add(time.Second))
	replaceFile(t, folder, CertificateFile, pair.Certificate, now.Add(2*time.Second))
	second := loader.Certificate().Leaf.SerialNumber
	require.NotEqual(t, first, second)
	require.NoError(t, loader.LastFault())

	replaceFile(t, folder, CertificateFile, []byte("nonsense"), now.Add(3*time.Second))
	require.Equal(t, second, loader.Certificate().Leaf.SerialNumber)
	require.Equal(t, faults.CodeKeysUnreadable, faults.CodeOf(loader.LastFault()))
}

func replaceFile(t *testing.T, folder, name string, content []byte, modified time.Time) {
	t.Helper()
	path := filepath.Join(folder, name)
	require.NoError(t, os.WriteFile(path, content, fileMode))
	require.NoError(t, os.Chtimes(path, modified, modified))
}

func copyFolder(t *testing.T, from string, replaced map[string]string) string {
	t.Helper()
	to := t.TempDir()
	for _, name := range []string{AuthorityFile, CertificateFile, KeyFile} {
		source := filepath.Join(from, name)
		if other, isReplaced := replaced[name]; isReplaced {
			source = other
		}
		content, err := os.ReadFile(source)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(to, name), content, fileMode))
	}
	return to
}
