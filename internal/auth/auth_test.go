package auth

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
)

// tokenLine returns an entry of a token file.
func tokenLine(name, token, role, tenant string) string {
	return fmt.Sprintf("  - {name: %q, sha256: %q, role: %q, tenant: %q}\n", name, Hash(token), role, tenant)
}

func TestFind(t *testing.T) {
	tokens, err := Parse([]byte("tokens:\n" + tokenLine("alice", "a", "admin", "") + tokenLine("riga", "r", "operator", "riga")))
	require.NoError(t, err)
	require.Equal(t, 2, tokens.Count())
	alice, known := tokens.Find("a")
	require.True(t, known)
	require.Equal(t, Identity{Name: "alice", Role: RoleAdmin}, alice)
	riga, known := tokens.Find("r")
	require.True(t, known)
	require.Equal(t, Identity{Name: "riga", Role: RoleOperator, Tenant: "riga"}, riga)
	for _, wrong := range []string{"", "A", "aa", Hash("a")} {
		_, known = tokens.Find(wrong)
		require.False(t, known, "%q", wrong)
	}
}

func TestTheFileMayBeJSON(t *testing.T) {
	tokens, err := Parse([]byte(fmt.Sprintf(`{"tokens":[{"name":"x","sha256":%q,"role":"viewer"}]}`, Hash("t"))))
	require.NoError(t, err)
	_, known := tokens.Find("t")
	require.True(t, known)
}

func TestParseNamesTheInvalidEntry(t *testing.T) {
	good := tokenLine("x", "t", "viewer", "")
	for name, test := range map[string]struct{ content, want string }{
		"empty":             {"", "EOF"},
		"not YAML":          {"tokens: [", "token file"},
		"unknown field":     {"tokens:\n  - {name: x, password: y}", "password"},
		"no name":           {"tokens:\n" + tokenLine("", "t", "viewer", ""), "tokens[0]: name"},
		"role":              {"tokens:\n" + good + tokenLine("y", "t", "king", ""), "tokens[1]: role"},
		"hash":              {"tokens:\n  - {name: x, sha256: abc, role: viewer}", "sha256"},
		"token not hashed":  {"tokens:\n  - {name: x, sha256: " + strings.Repeat("z", 64) + ", role: viewer}", "sha256"},
		"same name":         {"tokens:\n" + good + good, `"x" is used twice`},
		"admin of a tenant": {"tokens:\n" + tokenLine("x", "t", "admin", "riga"), "admin token has no tenant"},
		"too many":          {"tokens:\n" + strings.Repeat("  - {name: x}\n", MaximumTokens+1), "more than"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(test.content))
			require.Equal(t, faults.CodeTokensInvalid, faults.CodeOf(err))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestRoles(t *testing.T) {
	for _, test := range []struct {
		has, needs Role
		allowed    bool
	}{
		{RoleViewer, RoleViewer, true}, {RoleViewer, RoleOperator, false}, {RoleViewer, RoleAdmin, false},
		{RoleOperator, RoleViewer, true}, {RoleOperator, RoleOperator, true}, {RoleOperator, RoleAdmin, false},
		{RoleAdmin, RoleViewer, true}, {RoleAdmin, RoleOperator, true}, {RoleAdmin, RoleAdmin, true},
		{"", RoleViewer, false}, {"king", RoleViewer, false}, {"", "", false},
	} {
		require.Equal(t, test.allowed, test.has.Includes(test.needs), "%s %s", test.has, test.needs)
	}
	require.True(t, Identity{}.MayUse("riga"))
	require.True(t, Identity{Tenant: "riga"}.MayUse("riga"))
	require.False(t, Identity{Tenant: "riga"}.MayUse("teranga"))
	require.False(t, Identity{Tenant: "riga"}.MayUse(""))
}

func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(content string) {
		t.Helper()
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	_, err := Open(path, zap.NewNop())
	require.Equal(t, faults.CodeTokensInvalid, faults.CodeOf(err))

	write("tokens:\n" + tokenLine("x", "old", "viewer", ""))
	file, err := Open(path, zap.NewNop())
	require.NoError(t, err)
	changed, err := file.Reload()
	require.NoError(t, err)
	require.False(t, changed)

	write("tokens:\n" + tokenLine("x", "new", "viewer", ""))
	changed, err = file.Reload()
	require.NoError(t, err)
	require.True(t, changed)
	_, known := file.Find("old")
	require.False(t, known, "a removed token is rejected")
	_, known = file.Find("new")
	require.True(t, known)

	write("tokens: [")
	_, err = file.Reload()
	require.Error(t, err)
	require.NoError(t, os.Remove(path))
	_, err = file.Reload()
	require.Error(t, err)
	_, known = file.Find("new")
	require.True(t, known, "an invalid file leaves the tokens unchanged")
}

func TestGeneratedTokensDiffer(t *testing.T) {
	require.NotEqual(t, Generate(), Generate())
	require.GreaterOrEqual(t, len(Generate()), MinimumTokenBytes)
}
