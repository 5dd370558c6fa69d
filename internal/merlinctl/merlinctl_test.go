package merlinctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/adminapi/apitest"
	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

const testToken = "admin-token"

// fixture is a control member that serves its administration API on a loopback port.
type fixture struct {
	t        *testing.T
	group    *apitest.Group
	rollout  *apitest.Rollout
	endpoint string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	t.Setenv("XDG_CONFIG_HOME", t.TempDir())
	fixture := &fixture{t: t, group: apitest.NewGroup(), rollout: &apitest.Rollout{}}
	tokens, err := auth.Parse([]byte(fmt.Sprintf("tokens:\n  - {name: admin, sha256: %s, role: admin}\n", auth.Hash(testToken))))
	require.NoError(t, err)
	server := httptest.NewServer(adminapi.New(adminapi.Options{
		Node: apitest.Self, Group: fixture.group, Machine: fixture.group.Machine, Rollout: fixture.rollout, Tokens: tokens, Logger: zap.NewNop(),
	}))
	t.Cleanup(server.Close)
	fixture.endpoint = server.URL
	return fixture
}

// outcome is the exit code and the output of one run of the command line.
type outcome struct {
	code   int
	output string
	errors string
}

// run runs merlinctl with the fixture's endpoint, and with answer as standard input.
func (fixture *fixture) run(answer string, arguments ...string) outcome {
	fixture.t.Helper()
	arguments = append([]string{"--endpoints", fixture.endpoint, "--token", testToken, "--timeout", "500ms"}, arguments...)
	var output, errors bytes.Buffer
	code := Execute(arguments, strings.NewReader(answer), &output, &errors)
	return outcome{code: code, output: output.String(), errors: errors.String()}
}

// mustRun runs a command that must succeed.
func (fixture *fixture) mustRun(arguments ...string) string {
	fixture.t.Helper()
	ran := fixture.run("", arguments...)
	require.Equal(fixture.t, ExitSuccess, ran.code, "%s%s", ran.output, ran.errors)
	return ran.output
}

const objectsYAML = `
---
kind: Template
name: web
spec:
  protocol: quic
  parameters:
    - {name: address, kind: address, sets: address, required: true}
    - {name: targets, kind: targets, sets: targets, required: true}
    - {name: slots, kind: integer, sets: limits.slots_per_target, default: 2, minimum: 1, maximum: 16}
  limits: {}
---
kind: Tenant
name: riga
spec: {description: tips}
---
kind: Service
tenant: riga
name: tipline
spec:
  template: {name: web}
  parameters:
    address: 192.0.2.1:443
    targets:
      - {name: tip-1, zone: rix-ziepnieks, agent: "127.0.0.1:2001", backend: "127.0.0.1:3001"}
      - {name: tip-2, zone: rix-purvciems, agent: "127.0.0.1:2002", backend: "127.0.0.1:3002"}
`

func (fixture *fixture) writeFile(content string) string {
	fixture.t.Helper()
	name := filepath.Join(fixture.t.TempDir(), "objects.yaml")
	require.NoError(fixture.t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

func TestApplyShowsTheDifferenceFirst(t *testing.T) {
	fixture := newFixture(t)
	file := fixture.writeFile(objectsYAML)

	dryRun := fixture.mustRun("apply", "-f", file, "--dry-run")
	require.Contains(t, dryRun, "nothing was changed")
	require.Zero(t, fixture.group.Status().Committed)

	declined := fixture.run("n\n", "apply", "-f", file)
	require.Equal(t, ExitDeclined, declined.code)
	require.Zero(t, fixture.group.Status().Committed)

	confirmed := fixture.run("y\n", "apply", "-f", file)
	require.Equal(t, ExitSuccess, confirmed.code, confirmed.errors)
	require.Contains(t, confirmed.output, "Service riga/tipline: committed at revision 3")

	unchanged := fixture.mustRun("apply", "-f", file, "--yes")
	require.Equal(t, 3, strings.Count(unchanged, "unchanged"), unchanged)
	require.EqualValues(t, 3, fixture.group.Status().Committed, "unchanged objects are not sent")

	changed := fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(strings.Replace(objectsYAML, "address: 192.0.2.1:443", "address: 192.0.2.1:443\n    slots: 4", 1)))
	require.Contains(t, changed, `+     "slots": 4,`)
	require.Contains(t, changed, "Service riga/tipline: changed")
}

func TestApplyWaitsUntilInForce(t *testing.T) {
	fixture := newFixture(t)
	fixture.rollout.Set(model.RolloutStatus{InForce: 3})
	inForce := fixture.run("", "apply", "--yes", "--wait", "-f", fixture.writeFile(objectsYAML))
	require.Equal(t, ExitSuccess, inForce.code, inForce.errors)
	require.Contains(t, inForce.errors, "revision 3 is in force")

	fixture.rollout.Set(model.RolloutStatus{InForce: 2})
	timedOut := fixture.run("", "wait", "--revision", "3", "--wait-limit", "50ms")
	require.Equal(t, ExitWaitEnded, timedOut.code, timedOut.errors)
}

func TestApplyReadsTheStandardInput(t *testing.T) {
	fixture := newFixture(t)
	ran := fixture.run(objectsYAML, "apply", "-f", "-", "--yes")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	unanswered := fixture.run(strings.Replace(objectsYAML, "tips", "taps", 1), "apply", "-f", "-")
	require.Equal(t, ExitDeclined, unanswered.code, "the input is exhausted, so the question gets no answer")
}

func TestApplyReportsInvalidDocuments(t *testing.T) {
	cases := []struct {
		name, content, want string
		code                int
	}{
		{"no document", "", "holds no document", ExitUsage},
		{"malformed YAML", "kind: [", "objects.yaml", ExitUsage},
		{"unknown kind", "kind: Pod\nname: x\nspec: {}", `kind "Pod"`, ExitUsage},
		{"no name", "kind: Tenant\nspec: {}", "name is missing", ExitUsage},
		{"no spec", "kind: Tenant\nname: x", "spec is missing", ExitUsage},
		{"unknown field", "kind: Tenant\nname: x\nspec: {quota: 1}", `unknown field "quota"`, ExitUsage},
		{"second document", "kind: Tenant\nname: x\nspec: {}\n---\nkind: Tenant\nname: y\nspecs: {}", "document 2 (line 5)", ExitUsage},
		{"service without tenant", "kind: Service\nname: x\nspec: {}", "tenant belongs to a Service", ExitUsage},
		{"invalid field", "kind: Tenant\nname: x\nspec: {maximum_services: -1}", "maximum_services", ExitInvalid},
		{"invalid name", "kind: Tenant\nname: X\nspec: {}", "document 1 (line 1)", ExitInvalid},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			ran := fixture.run("", "apply", "--yes", "-f", fixture.writeFile(test.content))
			require.Equal(t, test.code, ran.code, ran.errors)
			require.Contains(t, ran.errors, test.want)
			require.Empty(t, fixture.group.Machine.View().Tenants())
		})
	}
}

func TestReadCommands(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	for _, test := range []struct {
		arguments string
		want      string
	}{
		{"list templates", "web"},
		{"list tenants", "riga"},
		{"list services", "192.0.2.1:443"},
		{"list services riga", "web@1"},
		{"list targets riga/tipline", "tip-2"},
		{"get template web", "version 1"},
		{"get tenant riga", "tips"},
		{"get service riga/tipline", `"address": "192.0.2.1:443"`},
		{"get target riga/tipline/tip-1", "serving"},
		{"members list", "control-1"},
		{"rollout", "committed 3"},
		{"status", "control-1"},
	} {
		t.Run(test.arguments, func(t *testing.T) {
			fixture.t = t
			require.Contains(t, fixture.mustRun(strings.Fields(test.arguments)...), test.want)
			asJSON := fixture.mustRun(append(strings.Fields(test.arguments), "-o", "json")...)
			require.True(t, json.Valid([]byte(asJSON)), asJSON)
		})
	}
}

func TestStatusReportsANodeOutsideTheGroup(t *testing.T) {
	fixture := newFixture(t)
	require.NotContains(t, fixture.mustRun("status"), "3010")
	fixture.group.SetFaults(apitest.Faults{Refused: true})
	require.Contains(t, fixture.mustRun("status"), "empty disk without a place in the group (code 3010)")
	require.Contains(t, fixture.mustRun("status", "-o", "json"), `"refused": true`)
}

func TestWrongArgumentsShowTheUsage(t *testing.T) {
	fixture := newFixture(t)
	ran := fixture.run("", "list", "targets")
	require.Equal(t, ExitUsage, ran.code)
	require.Contains(t, ran.errors, "Usage: merlinctl list targets TENANT/SERVICE")
}

// TestWaitEndsWhileTheMemberStillAnswers waits for a revision that is never reached. The leader must
// answer each request before it times out; otherwise the member counts as unreachable, and the
// command fails with ExitUnavailable in place of ExitWaitEnded.
func TestWaitEndsWhileTheMemberStillAnswers(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	ran := fixture.run("", "wait", "--revision", "99", "--wait-limit", "600ms")
	require.Equal(t, ExitWaitEnded, ran.code, ran.errors)
	require.Contains(t, ran.errors, "99")
}

// TestWaitOutlastsAnElection loses the leader during a wait. The wait must go on if the group has
// answered before, and fail if it never has.
func TestWaitOutlastsAnElection(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	fixture.group.SetFaults(apitest.Faults{Leader: "control-2"})
	require.Equal(t, ExitUnavailable, fixture.run("", "wait", "--revision", "9").code, "the wait must fail if the group has never answered")

	fixture.group.SetFaults(apitest.Faults{ReadsBeforeLeadershipLoss: 1})
	ran := fixture.run("", "wait", "--revision", "9", "--wait-limit", "1500ms")
	require.Equal(t, ExitWaitEnded, ran.code, ran.errors)
}

func TestDrainWaitsUntilNothingRemains(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	ran := fixture.run("", "drain", "riga/tipline/tip-1")
	require.Equal(t, ExitSuccess, ran.code, ran.errors)
	require.Contains(t, ran.errors, "has not reported its flows")

	target, _, _ := fixture.group.Machine.View().Target(state.TargetKey{Tenant: "riga", Service: "tipline", Name: "tip-1"})
	report := &model.TargetLoad{Target: target.ID, Feeds: 3, Healthy: true}
	fixture.rollout.Set(model.RolloutStatus{Nodes: []model.NodeStatus{{Name: "tip-1", Load: report}}})
	waiting := fixture.run("", "drain", "riga/tipline/tip-1", "--wait", "--wait-limit", "50ms")
	require.Equal(t, ExitWaitEnded, waiting.code, waiting.errors)
	require.Contains(t, waiting.errors, "3 feeds")

	fixture.reportEarlierTargetsEmpty()
	fixture.rollout.Set(model.RolloutStatus{Nodes: []model.NodeStatus{{Name: "tip-1", Load: &model.TargetLoad{Target: target.ID}}}})
	require.Equal(t, ExitSuccess, fixture.run("", "drain", "riga/tipline/tip-1", "--wait").code)
	require.Contains(t, fixture.mustRun("undrain", "riga/tipline/tip-1"), "committed")
}

// reportEarlierTargetsEmpty commits a report that no earlier target of any bucket has flows left.
func (fixture *fixture) reportEarlierTargetsEmpty() {
	fixture.t.Helper()
	configuration := fixture.group.Machine.Configuration()
	var command state.ReportEmpty
	for service, buckets := range configuration.Buckets {
		for bucket, earlier := range buckets.Earlier {
			for _, entry := range earlier {
				command.Reports = append(command.Reports, model.BucketEmpty{Service: service, Target: entry.Target, Bucket: bucket, At: configuration.Revision})
			}
		}
	}
	encoded, err := state.EncodeCommand(command)
	require.NoError(fixture.t, err)
	_, err = fixture.group.Propose(fixture.t.Context(), encoded)
	require.NoError(fixture.t, err)
}

func TestDelete(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	require.Equal(t, ExitConflict, fixture.run("", "delete", "tenant", "riga", "--yes").code)
	require.Equal(t, ExitDeclined, fixture.run("", "delete", "service", "riga/tipline").code)
	require.Contains(t, fixture.mustRun("delete", "service", "riga/tipline", "--yes"), "draining")
	require.Contains(t, fixture.mustRun("list", "services"), "removing")
	for range 3 {
		fixture.reportEarlierTargetsEmpty()
	}
	fixture.mustRun("delete", "tenant", "riga", "--yes")
	fixture.mustRun("delete", "template", "web", "--yes")
	require.Equal(t, ExitNotFound, fixture.run("", "get", "template", "web").code)
}

func TestMembersCommands(t *testing.T) {
	fixture := newFixture(t)
	require.Contains(t, fixture.mustRun("members", "add", "control-2"), "learner 2")
	fixture.mustRun("members", "promote", "2")
	fixture.mustRun("members", "transfer")
	fixture.mustRun("members", "remove", "2")
	require.Equal(t, ExitNotFound, fixture.run("", "members", "remove", "2").code)
}

func TestReplaceGivesANodeWithALostDiskANewMember(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("members", "add", "control-2")
	fixture.mustRun("members", "promote", "2")

	require.Equal(t, ExitNotFound, fixture.run("", "members", "replace", "control-9").code)
	require.Equal(t, ExitDeclined, fixture.run("n\n", "members", "replace", "control-2").code)
	require.Contains(t, fixture.mustRun("members", "list"), "2   control-2  true")

	fixture.group.SetFaults(apitest.Faults{PromotionsBehind: 1})
	replaced := fixture.mustRun("members", "replace", "control-2", "--yes")
	require.Equal(t, []string{"member 2 is removed", "control-2 is learner 3", "waiting until control-2 has caught up", "control-2 votes as member 3"},
		strings.Split(strings.TrimSpace(replaced), "\n"))
}

func TestReplaceContinuesAfterAnInterruption(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("members", "add", "control-2")
	fixture.group.SetFaults(apitest.Faults{PromotionsBehind: 1 << 30})
	interrupted := fixture.run("", "members", "replace", "control-2", "--yes", "--wait-limit", "1ms")
	require.Equal(t, ExitWaitEnded, interrupted.code, interrupted.errors)
	fixture.group.SetFaults(apitest.Faults{})
	require.Equal(t, "control-2 votes as member 2\n", fixture.mustRun("members", "replace", "control-2", "--yes"))
}

func TestReplaceRefusesAWorkingMember(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	refused := fixture.run("", "members", "replace", string(apitest.Self), "--yes")
	require.Equal(t, ExitConflict, refused.code)
	require.Contains(t, refused.errors, "working member")
	require.Contains(t, fixture.mustRun("members", "list"), string(apitest.Self))
}

func TestBackupAndRestore(t *testing.T) {
	source := newFixture(t)
	source.mustRun("apply", "--yes", "-f", source.writeFile(objectsYAML))
	file := filepath.Join(t.TempDir(), "backup")
	source.mustRun("backup", file)
	require.Equal(t, ExitUsage, source.run("", "backup", file).code, "backup must not overwrite an older file")

	target := newFixture(t)
	require.Equal(t, ExitDeclined, target.run("", "restore", file).code)
	target.mustRun("restore", file, "--yes")
	require.Equal(t, source.group.Machine.Configuration().Digest(), target.group.Machine.Configuration().Digest())
	require.Equal(t, ExitConflict, target.run("", "restore", file, "--yes").code)
	require.Equal(t, ExitInvalid, newFixture(t).run("", "restore", source.writeFile("junk"), "--yes").code)
}

func TestExitCodes(t *testing.T) {
	unknown := &client.Error{Problem: adminapi.Problem{Code: faults.CodeForbidden, Ran: faults.RanUnknown}}
	for _, test := range []struct {
		err  error
		code int
	}{
		{errDeclined, ExitDeclined},
		{unknown, ExitUnknown},
		{fmt.Errorf("file: %w", unknown), ExitUnknown},
		{faults.New(faults.CodeUsage, "x"), ExitUsage},
		{fmt.Errorf("file: %w", faults.New(faults.CodeNotInForce, "x")), ExitWaitEnded},
		{faults.New(faults.CodeInvalidField, "x"), ExitInvalid},
		{faults.New(faults.CodeMalformedRequest, "x"), ExitInvalid},
		{faults.New(faults.CodeUnauthenticated, "x"), ExitForbidden},
		{faults.New(faults.CodeForbidden, "x"), ExitForbidden},
		{faults.New(faults.CodeNotFound, "x"), ExitNotFound},
		{faults.New(faults.CodeConflict, "x"), ExitConflict},
		{faults.New(faults.CodeRevisionMismatch, "x"), ExitConflict},
		{faults.New(faults.CodeRateLimited, "x"), ExitUnavailable},
		{faults.New(faults.NotLeader, "x"), ExitUnavailable},
		{faults.New(faults.CodeMemberUnreachable, "x"), ExitUnavailable},
		{faults.New(faults.CodeInternalFault, "x"), ExitFault},
		{fmt.Errorf("unknown command"), ExitUsage},
	} {
		require.Equal(t, test.code, exitCodeOf(test.err), "%v", test.err)
	}
}

func TestErrorMessagesAndExitCodes(t *testing.T) {
	fixture := newFixture(t)
	fixture.mustRun("apply", "--yes", "-f", fixture.writeFile(objectsYAML))
	for _, test := range []struct {
		name      string
		arguments string
		faults    apitest.Faults
		code      int
		want      string
	}{
		{"unknown command", "explode", apitest.Faults{}, ExitUsage, "unknown command"},
		{"unknown kind", "get pod x", apitest.Faults{}, ExitUsage, "unknown command"},
		{"unknown flag", "status --loud", apitest.Faults{}, ExitUsage, "--loud"},
		{"malformed service name", "get service tipline", apitest.Faults{}, ExitUsage, "TENANT/SERVICE"},
		{"invalid output format", "status -o xml", apitest.Faults{}, ExitUsage, "output"},
		{"not found", "get service riga/none", apitest.Faults{}, ExitNotFound, "What to do"},
		{"answer lost", "drain riga/tipline/tip-1", apitest.Faults{AfterCommit: context.DeadlineExceeded}, ExitUnknown, "may have been committed"},
		{"no leader", "list services", apitest.Faults{Leader: "control-9"}, ExitUnavailable, "control-9"},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture.t = t
			fixture.group.SetFaults(test.faults)
			ran := fixture.run("", strings.Fields(test.arguments)...)
			require.Equal(t, test.code, ran.code, ran.errors)
			require.Contains(t, ran.errors, test.want)
		})
	}
}

func TestSettingsComeFromFileEnvironmentAndFlags(t *testing.T) {
	fixture := newFixture(t)
	folder := t.TempDir()
	token := filepath.Join(folder, "token")
	require.NoError(t, os.WriteFile(token, []byte(testToken+"\n"), 0o600))
	configuration := filepath.Join(folder, "config.yaml")
	content := fmt.Sprintf("endpoints: [%q]\ntoken_file: %q\ntimeout: 700ms\noutput: json\n", "http://127.0.0.1:1", token)
	require.NoError(t, os.WriteFile(configuration, []byte(content), 0o600))
	run := func(arguments ...string) outcome {
		var output, errors bytes.Buffer
		code := Execute(append([]string{"--config", configuration}, arguments...), strings.NewReader(""), &output, &errors)
		return outcome{code: code, output: output.String(), errors: errors.String()}
	}
	require.Equal(t, ExitUnavailable, run("list", "tenants").code, "the endpoint of the settings file does not answer")
	t.Setenv("MERLINCTL_ENDPOINTS", "http://127.0.0.1:1,"+fixture.endpoint)
	listed := run("list", "tenants")
	require.Equal(t, ExitSuccess, listed.code, listed.errors)
	require.Equal(t, "[]\n", listed.output, "the settings file selects JSON")
	require.Contains(t, run("list", "tenants", "-o", "table").output, "NAME", "flags override the settings file")

	require.NoError(t, os.WriteFile(configuration, []byte("endpoint: x\n"), 0o600))
	wrong := run("status")
	require.Equal(t, ExitUsage, wrong.code)
	require.Contains(t, wrong.errors, "endpoint")
	require.Equal(t, ExitUsage, run("status", "--config", "/does/not/exist").code)
}

func TestTokenNewPrintsALineForTheTokenFile(t *testing.T) {
	fixture := newFixture(t)
	created := fixture.run("", "token", "new", "--name", "deploy", "--role", "operator", "--tenant", "riga")
	require.Equal(t, ExitSuccess, created.code, created.errors)
	_, line, _ := strings.Cut(created.errors, "\n")
	tokens, err := auth.Parse([]byte(line))
	require.NoError(t, err)
	identity, known := tokens.Find(strings.TrimSpace(created.output))
	require.True(t, known)
	require.Equal(t, auth.Identity{Name: "deploy", Role: auth.RoleOperator, Tenant: "riga"}, identity)
	require.Equal(t, ExitUsage, fixture.run("", "token", "new", "--name", "x", "--role", "king").code)
}

func TestCompletion(t *testing.T) {
	fixture := newFixture(t)
	for _, shell := range []string{"bash", "zsh", "fish"} {
		require.Contains(t, fixture.mustRun("completion", shell), "merlinctl")
	}
}

func TestLineDifference(t *testing.T) {
	require.Empty(t, lineDifference("a\nb", "a\nb"))
	require.Equal(t, "+ a\n+ b\n", lineDifference("", "a\nb"))
	require.Equal(t, "- a\n", lineDifference("a", ""))
	require.Equal(t, "  ...\n  2\n  3\n- 4\n+ x\n  5\n  6\n", lineDifference("1\n2\n3\n4\n5\n6\n7", "1\n2\n3\nx\n5\n6\n7"))
}
