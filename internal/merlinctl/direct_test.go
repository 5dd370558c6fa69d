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

// fakeMember stands in for a member of direct services. If err is set, its calls fail with it.
type fakeMember struct {
	configuration *declared.Configuration
	err           error
	// evacuated is the evacuated zone, or empty.
	evacuated string
	// behind is the number of balancers that have not received the evacuation yet; each call of
	// Behind decrements it.
	behind int
}

// Declare implements admin.Declarations.
func (member *fakeMember) Declare(_ context.Context, next *declared.Configuration) error {
	if err := next.Validate(); err != nil {
		return err
	}
	if member.err == nil && next.Version > member.configuration.Version {
		member.configuration = next
	}
	return member.err
}

// Configuration implements admin.Declarations.
func (member *fakeMember) Configuration(context.Context) (*declared.Configuration, error) {
	return member.configuration, member.err
}

// Evacuate implements admin.Declarations.
func (member *fakeMember) Evacuate(_ context.Context, zone string, end bool) error {
	if end {
		zone = ""
	}
	member.evacuated = zone
	return member.err
}

// Evacuations implements admin.Declarations.
func (member *fakeMember) Evacuations(context.Context) ([]directory.Evacuation, error) {
	if member.evacuated == "" {
		return nil, member.err
	}
	return []directory.Evacuation{{Zone: member.evacuated, Since: 12}}, member.err
}

// Behind implements admin.Followers.
func (member *fakeMember) Behind(model.Revision) int {
	behind := member.behind
	member.behind = max(behind-1, 0)
	return behind
}

const directVersion7 = `
version: 7
services:
  - {name: feed, max_connections: 2000}
routes:
  - {name: feed, address: "198.18.0.1:443", kind: safe, timeout: 800ms, pool: [{service: feed, weight: 1}]}
  - {name: old, address: "198.18.0.1:80", kind: safe, timeout: 1s, pool: [{service: feed, weight: 1}]}
`

const directVersion9 = `
version: 9
services:
  - {name: feed, max_connections: 2000}
routes:
  - {name: feed, address: "198.18.0.1:443", kind: safe, timeout: 900ms, pool: [{service: feed, weight: 1}]}
  - {name: new, address: "198.18.0.2:80", kind: upload, timeout: 3s, pool: [{service: feed, weight: 1}]}
limits: {idle_timeout: 15s}
`

// runDirect runs merlinctl direct against the administration API of member.
func runDirect(t *testing.T, member *fakeMember, input string, arguments ...string) outcome {
	t.Helper()
	server := httptest.NewServer(admin.Handler(member, directory.New(), member, zap.NewNop()))
	defer server.Close()
	arguments = append([]string{"direct", "--member", server.Listener.Addr().String()}, arguments...)
	var output, errors bytes.Buffer
	code := Execute(arguments, strings.NewReader(input), &output, &errors)
	return outcome{code: code, output: output.String(), errors: errors.String()}
}

func TestDirectApplyDiffAndGet(t *testing.T) {
	member := &fakeMember{configuration: &declared.Configuration{}}
	file := filepath.Join(t.TempDir(), "first.yaml")
	require.NoError(t, os.WriteFile(file, []byte(directVersion7), 0o600))
	ran := runDirect(t, member, "", "apply", "--wait", file)
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Equal(t, "version 7 is durable\nversion 7 is in effect\n", ran.output)

	ran = runDirect(t, member, directVersion9, "diff", "-")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Equal(t, "version 7 -> 9\n- route 198.18.0.1:80\n~ route 198.18.0.1:443 feed\n+ route 198.18.0.2:80 new\n~ limits\n", ran.output)
	require.Equal(t, uint64(7), member.configuration.Version, "diff must change nothing")

	require.Equal(t, ExitSuccess, runDirect(t, member, directVersion9, "apply", "-").code)
	ran = runDirect(t, member, directVersion7, "diff", "-")
	require.Contains(t, ran.output, "nothing would change")

	printed := runDirect(t, member, "", "get")
	require.Equal(t, ExitSuccess, printed.code)
	reapplied := runDirect(t, &fakeMember{configuration: &declared.Configuration{}}, printed.output, "apply", "-")
	require.Equal(t, "version 9 is durable\n", reapplied.output, "apply must accept the output of get")

	targets := runDirect(t, member, "", "targets")
	require.Equal(t, ExitSuccess, targets.code)
	require.Contains(t, targets.output, "SERVICE")
}

func TestDirectEvacuatesAndRestoresZones(t *testing.T) {
	member := &fakeMember{configuration: &declared.Configuration{}}
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
	require.Zero(t, member.behind, "evacuate --wait must poll until no balancer is behind")
	ran = runDirect(t, member, "", "restore", "zone-a")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Empty(t, member.evacuated)
	require.Equal(t, ExitUsage, runDirect(t, member, "", "evacuate").code, "evacuate needs a zone")
	member.err = faults.New(faults.QuorumUnconfirmed, "cut")
	require.Equal(t, ExitUnavailable, runDirect(t, member, "", "evacuate", "zone-a").code)
}

func TestDirectApplyReportsErrors(t *testing.T) {
	cases := []struct {
		name, input string
		err         error
		code        int
		text        string
	}{
		{"unknown field", "version: 7\ncolour: blue\n", nil, ExitUsage, "colour"},
		{"malformed duration", strings.Replace(directVersion7, "800ms", "fast", 1), nil, ExitInvalid, "routes[0].timeout"},
		{"invalid version", strings.Replace(directVersion7, "version: 7", "version: 0", 1), nil, ExitInvalid, "version"},
		{"no quorum", directVersion7, faults.New(faults.QuorumUnconfirmed, "cut"), ExitUnavailable, "cut"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ran := runDirect(t, &fakeMember{configuration: &declared.Configuration{}, err: test.err}, test.input, "apply", "-")
			require.Contains(t, ran.errors, test.text)
			require.Equal(t, test.code, ran.code, ran.errors)
		})
	}
	ran := runDirect(t, &fakeMember{}, "", "apply", "missing.yaml")
	require.Equal(t, ExitUsage, ran.code)
}
