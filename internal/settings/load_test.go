package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
)

func writeFile(t testing.TB, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestLoadOrder(t *testing.T) {
	path := writeFile(t, "node: balancer-1\nzone: zone-a\nbalancer:\n  workers: 3\n  heartbeat_interval: 750ms\n")
	t.Setenv("MERLINPADDLE_BALANCER__WORKERS", "4")

	loaded, err := Load(path, nil)
	require.NoError(t, err)
	require.Equal(t, 4, loaded.Balancer.Workers, "the environment overrides the file")
	require.Equal(t, 750*time.Millisecond, loaded.Balancer.HeartbeatInterval)
	require.Equal(t, Default().Balancer.CacheFlows, loaded.Balancer.CacheFlows, "defaults fill what the file leaves out")

	loaded, err = Load(path, []string{"balancer.workers=5"})
	require.NoError(t, err)
	require.Equal(t, 5, loaded.Balancer.Workers, "an override wins over the environment")
}

func TestLoadRefusesBadFiles(t *testing.T) {
	cases := []struct {
		name     string
		content  string
		override string
		code     faults.Code
		message  string
	}{
		{"not YAML", "node: [", "", faults.CodeSettingsUnreadable, "node.yaml"},
		{"unknown key", "node: a\nbalancer:\n  worker: 3\n", "", faults.CodeSettingsUnknownKey, "worker"},
		{"unknown section", "node: a\nrouter: {}\n", "", faults.CodeSettingsUnknownKey, "router"},
		{"wrong type", "node: a\nbalancer:\n  workers: many\n", "", faults.CodeSettingsUnknownKey, "workers"},
		{"wrong duration", "node: a\nrelay:\n  report_interval: soon\n", "", faults.CodeSettingsUnknownKey, "report_interval"},
		{"missing node", "zone: z\n", "", faults.CodeSettingsInvalid, "node: value \"\""},
		{"host name", "node: a\nlisten: localhost:80\n", "", faults.CodeSettingsInvalid, "listen: value \"localhost:80\""},
		{"out of range", "node: a\nbalancer:\n  workers: 0\n", "", faults.CodeSettingsInvalid, "balancer.workers: value \"0\" breaks the rule \"min 1\""},
		{"bad peer", "node: a\nrelay:\n  control:\n    - name: c1\n      address: nowhere\n", "", faults.CodeSettingsInvalid, "relay.control[0].address"},
		{"unknown keys, each on a line", "node: a\nbalancer:\n  worker: 3\n  wrokers: 1\n", "", faults.CodeSettingsUnknownKey, "node.yaml: balancer.wrokers: no setting has this name"},
		{"unknown section, named", "node: a\nrouter: {}\n", "", faults.CodeSettingsUnknownKey, "node.yaml: router: no setting has this name"},
		{"dotted key", "node: a\nbalancer.workers: 9\n", "", faults.CodeSettingsUnknownKey, "balancer.workers: no setting has this name"},
		{"upper case", "node: a\nBalancer: {}\n", "", faults.CodeSettingsUnknownKey, "Balancer: no setting has this name"},
		{"unknown key of a list", "node: a\nrelay:\n  control:\n    - nme: c1\n", "", faults.CodeSettingsUnknownKey, "relay.control[0].nme"},
		{"text for a number, with its value", "node: a\nbalancer:\n  workers: many\n", "", faults.CodeSettingsUnknownKey, "node.yaml: balancer.workers: value \"many\" is not a whole number"},
		{"text for a duration, with its value", "node: a\nrelay:\n  report_interval: soon\n", "", faults.CodeSettingsUnknownKey, "relay.report_interval: value \"soon\" is not a duration with a unit"},
		{"fraction for a whole number", "node: a\nbalancer:\n  workers: 3.7\n", "", faults.CodeSettingsUnknownKey, "balancer.workers: value 3.7 is not a whole number"},
		{"boolean for a number", "node: a\nbalancer:\n  workers: true\n", "", faults.CodeSettingsUnknownKey, "balancer.workers: value true is not a whole number"},
		{"boolean for text", "node: true\n", "", faults.CodeSettingsUnknownKey, "node: value true is not text"},
		{"number for a boolean", "node: a\ncontrol:\n  join: 7\n", "", faults.CodeSettingsUnknownKey, "control.join: value 7 is not true or false"},
		{"number beyond 64 bits", "node: a\nbalancer:\n  cache_flows: 99999999999999999999\n", "", faults.CodeSettingsUnknownKey, "balancer.cache_flows: value 1e+20 is not a whole number"},
		{"section for text", "node: a\nzone: {x: y}\n", "", faults.CodeSettingsUnknownKey, "node.yaml: zone: "},
		{"number for a section", "node: a\nbalancer: 7\n", "", faults.CodeSettingsUnknownKey, "node.yaml: balancer: "},
		{"duplicate key", "node: a\nnode: b\n", "", faults.CodeSettingsUnreadable, "line 2"},
		{"more cached flows than the limit", "node: a\nbalancer:\n  cache_flows: 9999999999999\n", "", faults.CodeSettingsInvalid, "balancer.cache_flows: value \"9999999999999\" breaks the rule \"max 50000000\""},
		{"not-a-number rate", "node: a\nbalancer:\n  openings_per_source: .nan\n", "", faults.CodeSettingsInvalid, "balancer.openings_per_source"},
		{"infinite rate", "node: a\nbalancer:\n  openings_per_source: .inf\n", "", faults.CodeSettingsInvalid, "balancer.openings_per_source"},
		{"duration without a unit", "node: a\nbalancer:\n  heartbeat_interval: 5\n", "", faults.CodeSettingsInvalid, "balancer.heartbeat_interval: value \"5ns\" breaks the rule \"min 50ms\""},
		{"override of the wrong type", "node: a\n", "balancer.workers=x", faults.CodeSettingsUnknownKey, "override \"balancer.workers=x\": balancer.workers: value \"x\""},
		{"override out of range", "node: a\n", "balancer.workers=0", faults.CodeSettingsInvalid, "override \"balancer.workers=0\": balancer.workers: value \"0\""},
		{"override of an unknown section", "node: a\n", "router.speed=1", faults.CodeSettingsUnknownKey, "override \"router.speed=1\": router: no setting"},
		{"bad override", "node: a\n", "workers", faults.CodeUsage, "workers"},
		{"unknown override", "node: a\n", "balancer.speed=1", faults.CodeSettingsUnknownKey, "speed"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var overrides []string
			if test.override != "" {
				overrides = append(overrides, test.override)
			}
			_, err := Load(writeFile(t, test.content), overrides)
			require.Error(t, err)
			require.Equal(t, test.code, faults.CodeOf(err), err)
			require.ErrorContains(t, err, test.message)
		})
	}
}

func TestLoadNamesAMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "absent.yaml"), nil)
	require.Equal(t, faults.CodeSettingsUnreadable, faults.CodeOf(err))
	require.ErrorContains(t, err, "absent.yaml")
}

func TestLoadNamesTheEnvironmentVariable(t *testing.T) {
	cases := []struct {
		name, variable, value, message string
	}{
		{"wrong type", "MERLINPADDLE_BALANCER__WORKERS", "z", "environment variable MERLINPADDLE_BALANCER__WORKERS: balancer.workers: value \"z\""},
		{"out of range", "MERLINPADDLE_BALANCER__WORKERS", "0", "environment variable MERLINPADDLE_BALANCER__WORKERS: balancer.workers: value \"0\""},
		{"unknown key", "MERLINPADDLE_BALANCR__WORKERS", "1", "environment variable MERLINPADDLE_BALANCR__WORKERS: balancr: no setting"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Setenv(test.variable, test.value)
			_, err := Load(writeFile(t, "node: a\n"), nil)
			require.ErrorContains(t, err, test.message)
		})
	}
}

func TestLoadConvertsTextToNumbers(t *testing.T) {
	content := "node: a\nbalancer:\n  workers: '3'\n  openings_per_source: '1.5'\ncontrol:\n  join: 'true'\nfabric:\n  seed: 9.0\n"
	loaded, err := Load(writeFile(t, content), []string{"fabric.addresses=127.0.0.1:1,127.0.0.1:2"})
	require.NoError(t, err)
	require.Equal(t, 3, loaded.Balancer.Workers)
	require.Equal(t, 1.5, loaded.Balancer.OpeningsPerSource)
	require.True(t, loaded.Control.Join)
	require.EqualValues(t, 9, loaded.Fabric.Seed)
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, loaded.Fabric.Addresses)
}

// FuzzLoad checks that the error for a rejected file has a code and names the file, and that accepted
// settings are unchanged after they are marshalled and loaded again.
func FuzzLoad(f *testing.F) {
	f.Add("node: a\n")
	f.Add("node: a\nbalancer:\n  workers: 3\n")
	f.Add("node: [\n")
	f.Add("? {a: b}\n: c\n")
	f.Add("node: a\ncontrol:\n  members: [1, {name: x}]\n")
	f.Add("node: a\nbalancer:\n  cache_flows: 99999999999999999999\n  openings_per_source: .inf\n")
	f.Add("node: a\nrelay:\n  control: [{name: c, address: '127.0.0.1:1'}]\nbalancer: null\n")
	f.Fuzz(func(t *testing.T, content string) {
		path := writeFile(t, content)
		loaded, err := Load(path, nil)
		if err != nil {
			if faults.CodeOf(err) == 0 || !strings.Contains(err.Error(), path) {
				t.Fatalf("an error without a code or file: %v", err)
			}
			return
		}
		written, err := Marshal(loaded)
		if err != nil {
			t.Fatalf("accepted settings are not written: %v", err)
		}
		again, err := Load(writeFile(t, string(written)), nil)
		if err != nil {
			t.Fatalf("accepted settings are not read back: %v\n%s", err, written)
		}
		rewritten, err := Marshal(again)
		if err != nil || string(rewritten) != string(written) {
			t.Fatalf("settings changed, error %v:\n%s\n%s", err, written, rewritten)
		}
	})
}

// FuzzOverride checks that no override makes Load panic or return an error without a code.
func FuzzOverride(f *testing.F) {
	f.Add("balancer.workers=3")
	f.Add("balancer=3")
	f.Add("relay.control=x")
	f.Add("=")
	f.Add("..=1")
	f.Add("fabric.addresses=127.0.0.1:1,,")
	f.Fuzz(func(t *testing.T, override string) {
		_, err := Load(writeFile(t, "node: a\n"), []string{override})
		if err != nil && faults.CodeOf(err) == 0 {
			t.Fatalf("an error without a code: %v", err)
		}
	})
}
