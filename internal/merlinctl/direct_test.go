package merlinctl

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/direct/admin"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// declarations is a stand-in for a member of direct services.
type declarations struct {
	held *declared.Configuration
	err  error
	// evacuated is the zone that is emptied, or empty.
	evacuated string
	// behind is the number of balancers that do not know of it yet; each question finds
	// one less.
	behind int
}

// Declare implements admin.Declarations.
func (declarations *declarations) Declare(_ context.Context, next *declared.Configuration) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if declarations.err == nil && next.Version > declarations.held.Version {
		declarations.held = next
	}
	return declarations.err
}

// Configuration implements admin.Declarations.
func (declarations *declarations) Configuration(context.Context) (*declared.Configuration, error) {
	return declarations.held, declarations.err
}

// Evacuate implements admin.Declarations.
func (declarations *declarations) Evacuate(_ context.Context, zone string, end bool) error {
	if end {
		zone = ""
	}
	declarations.evacuated = zone
	return declarations.err
}

// Evacuations implements admin.Declarations.
func (declarations *declarations) Evacuations(context.Context) ([]directory.Evacuation, error) {
	if declarations.evacuated == "" {
		return nil, declarations.err
	}
	return []directory.Evacuation{{Zone: declarations.evacuated, Since: 12}}, declarations.err
}

// Behind implements admin.Followers.
func (declarations *declarations) Behind(model.Revision) int {
	behind := declarations.behind
	declarations.behind = max(behind-1, 0)
	return behind
}

const directFirst = `
version: 7
services:
  - {name: feed, max_connections: 2000}
routes:
  - {name: feed, address: "198.18.0.1:443", kind: safe, timeout: 800ms, pool: [{service: feed, weight: 1}]}
  - {name: old, address: "198.18.0.1:80", kind: safe, timeout: 1s, pool: [{service: feed, weight: 1}]}
`

const directSecond = `
version: 9
services:
  - {name: feed, max_connections: 2000}
routes:
  - {name: feed, address: "198.18.0.1:443", kind: safe, timeout: 900ms, pool: [{service: feed, weight: 1}]}
  - {name: new, address: "198.18.0.2:80", kind: upload, timeout: 3s, pool: [{service: feed, weight: 1}]}
limits: {idle_timeout: 15s}
`

// runDirect runs merlinctl direct against a stand-in member.
func runDirect(t *testing.T, member *declarations, input string, arguments ...string) outcome {
	t.Helper()
	server := httptest.NewServer(admin.Handler(member, directory.New(), member, zap.NewNop()))
	defer server.Close()
	arguments = append([]string{"direct", "--member", server.Listener.Addr().String()}, arguments...)
	var output, errors bytes.Buffer
	code := Execute(arguments, strings.NewReader(input), &output, &errors)
	return outcome{code: code, output: output.String(), errors: errors.String()}
}

func TestDirectApplyDiffAndGet(t *testing.T) {
	member := &declarations{held: &declared.Configuration{}}
	file := filepath.Join(t.TempDir(), "first.yaml")
	require.NoError(t, os.WriteFile(file, []byte(directFirst), 0o600))
	ran := runDirect(t, member, "", "apply", "--wait", file)
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Equal(t, "version 7 is durable\nversion 7 holds\n", ran.output)

	ran = runDirect(t, member, directSecond, "diff", "-")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Equal(t, "version 7 -> 9\n- route 198.18.0.1:80\n~ route 198.18.0.1:443 feed\n+ route 198.18.0.2:80 new\n~ limits\n", ran.output)
	require.Equal(t, uint64(7), member.held.Version, "diff changes nothing")

	require.Equal(t, ExitSuccess, runDirect(t, member, directSecond, "apply", "-").code)
	ran = runDirect(t, member, directFirst, "diff", "-")
	require.Contains(t, ran.output, "nothing would change")

	got := runDirect(t, member, "", "get")
	require.Equal(t, ExitSuccess, got.code)
	again := runDirect(t, &declarations{held: &declared.Configuration{}}, got.output, "apply", "-")
	require.Equal(t, "version 9 is durable\n", again.output, "what get prints can be applied")

	targets := runDirect(t, member, "", "targets")
	require.Equal(t, ExitSuccess, targets.code)
	require.Contains(t, targets.output, "SERVICE")
}

func TestDirectEmptiesZones(t *testing.T) {
	member := &declarations{held: &declared.Configuration{}}
	ran := runDirect(t, member, "", "evacuate", "zone-a")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Equal(t, "zone-a", member.evacuated)
	ran = runDirect(t, member, "", "zones")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Contains(t, ran.output, "zone-a")
	require.Contains(t, ran.output, "revision 12")
	member.behind = 2
	ran = runDirect(t, member, "", "evacuate", "--wait", "zone-a")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Contains(t, ran.output, "all balancers")
	require.Zero(t, member.behind, "it asked until none was behind")
	ran = runDirect(t, member, "", "restore", "zone-a")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Empty(t, member.evacuated)
	require.Equal(t, ExitUsage, runDirect(t, member, "", "evacuate").code, "a zone must be named")
	member.err = faults.New(faults.QuorumUnconfirmed, "cut")
	require.Equal(t, ExitUnavailable, runDirect(t, member, "", "evacuate", "zone-a").code)
}

func TestDirectNamesWhatIsWrong(t *testing.T) {
	cases := []struct {
		name, input string
		err         error
		code        int
		text        string
	}{
		{"unknown field", "version: 7\ncolour: blue\n", nil, ExitUsage, "colour"},
		{"unreadable duration", strings.Replace(directFirst, "800ms", "fast", 1), nil, ExitInvalid, "routes[0].timeout"},
		{"invalid", strings.Replace(directFirst, "version: 7", "version: 0", 1), nil, ExitInvalid, "version"},
		{"without a quorum", directFirst, faults.New(faults.QuorumUnconfirmed, "cut"), ExitUnavailable, "cut"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ran := runDirect(t, &declarations{held: &declared.Configuration{}, err: test.err}, test.input, "apply", "-")
			require.Contains(t, ran.errors, test.text)
			require.Equal(t, test.code, ran.code, ran.errors)
		})
	}
	ran := runDirect(t, &declarations{}, "", "apply", "missing.yaml")
	require.Equal(t, ExitUsage, ran.code)
}
