package fleet

import (
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/standin/platform"
)

// testTimeout bounds waits in tests. It is generous, and not an expectation of speed.
const testTimeout = 20 * time.Second

const smallFleet = `
name: small
network: "127.30"
region: r
zones: [a, b]
between_zones: 500us
to_callers: 1ms
control_members: 3
relays_per_zone: 1
balancers_per_zone: 1
standby_balancers: 1
services:
  - name: web
    tenant: t
    targets: 2
    standby_targets: 1
    upgrade_targets: 1
    slots: 2
    feed_interval: 100ms
    load: {calls_per_second: 1, upload_bytes: 10, connections: 1, request_timeout: 1s}
`

func TestParseFileNamesTheInvalidField(t *testing.T) {
	cases := []struct {
		name, old, new, fault string
	}{
		{"valid", "", "", ""},
		{"unknown key", "region: r", "regoin: r", "regoin"},
		{"no zones", "zones: [a, b]", "zones: []", "File.Zones"},
		{"zone twice", "zones: [a, b]", "zones: [a, a]", "File.Zones"},
		{"network not loopback", `"127.30"`, `"10.0"`, "network"},
		{"no control members", "control_members: 3", "control_members: 0", "ControlMembers"},
		{"no targets", "targets: 2", "targets: 0", "Targets"},
		{"no connections", "connections: 1", "connections: 0", "Connections"},
		{"fraction above one", "calls_per_second: 1,", "at_most_once_fraction: 2,", "AtMostOnceFraction"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, err := ParseFile([]byte(strings.Replace(smallFleet, testCase.old, testCase.new, 1)))
			if testCase.fault == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, testCase.fault)
		})
	}
}

// Every fleet file of the repository loads, and no two of its processes share an address.
func TestFleetFilesOfTheRepository(t *testing.T) {
	paths, err := filepath.Glob("../../../fleets/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			file, err := LoadFile(path)
			require.NoError(t, err)
			used := make(map[netip.AddrPort]string)
			for _, process := range NewLayout(file).Processes {
				for _, address := range []netip.AddrPort{process.Status, process.Data} {
					require.Empty(t, used[address], "%s and %s share %s", used[address], process.Name, address)
					used[address] = process.Name
				}
			}
		})
	}
}

func TestRender(t *testing.T) {
	file, err := ParseFile([]byte(smallFleet))
	require.NoError(t, err)
	folder := t.TempDir()
	layout, err := Render(file, folder)
	require.NoError(t, err)

	t.Run("can be opened", func(t *testing.T) {
		opened, err := Open(folder)
		require.NoError(t, err)
		require.Equal(t, layout, opened)
	})
	t.Run("refuses a folder that already has a fleet", func(t *testing.T) {
		_, err := Render(file, folder)
		require.ErrorContains(t, err, "holds a fleet already")
	})
	t.Run("lists relays of the own zone first", func(t *testing.T) {
		loaded, err := settings.Load(SettingsPath(folder, "balancer-2"), nil)
		require.NoError(t, err)
		require.Equal(t, "b", loaded.Balancer.Relays[0].Zone)
		require.Len(t, loaded.Balancer.Relays, 2)
	})
	t.Run("sets the latencies between zones and to callers", func(t *testing.T) {
		loaded, err := settings.Load(SettingsPath(folder, "fabric"), nil)
		require.NoError(t, err)
		require.Contains(t, loaded.Fabric.Latencies, settings.Latency{From: "a", To: "b", Delay: 500 * time.Microsecond})
		require.Contains(t, loaded.Fabric.Latencies, settings.Latency{From: "b", To: "caller", Delay: time.Millisecond})
	})
	t.Run("makes the token file private", func(t *testing.T) {
		info, err := os.Stat(filepath.Join(folder, TokenFile))
		require.NoError(t, err)
		require.EqualValues(t, privateMode, info.Mode().Perm())
	})
	t.Run("leaves standby targets out of the service", func(t *testing.T) {
		documents, err := os.ReadFile(filepath.Join(folder, documentsFile))
		require.NoError(t, err)
		require.Contains(t, string(documents), "name: web-2")
		require.NotContains(t, string(documents), "name: web-3")
		require.NotContains(t, string(documents), UpgradeName("web-1"))
	})
	t.Run("gives the upgrade agent the same back end", func(t *testing.T) {
		first, err := settings.Load(SettingsPath(folder, "web-1"), nil)
		require.NoError(t, err)
		second, err := settings.Load(SettingsPath(folder, UpgradeName("web-1")), nil)
		require.NoError(t, err)
		require.Equal(t, first.Agent.Backend, second.Agent.Backend)
		require.NotEqual(t, first.Agent.Packets, second.Agent.Packets)
		require.NotEqual(t, first.Status, second.Status)
	})
}

func TestProcessListRefusesBadLines(t *testing.T) {
	cases := []string{
		"web-1\tagent",
		"web-1\tagent\ta\tnowhere\t127.0.0.1:1\t127.0.0.1:2\tfalse\tweb\tbackend-web-1",
		"web-1\tagent\ta\t127.0.0.1\t127.0.0.1\t127.0.0.1:2\tfalse\tweb\tbackend-web-1",
		"web-1\tagent\ta\t127.0.0.1\t127.0.0.1:1\t127.0.0.1:2\tperhaps\tweb\tbackend-web-1",
	}
	for _, line := range cases {
		_, err := parseProcess(line)
		require.Error(t, err, line)
	}
}

func TestRegisterWithThePlatform(t *testing.T) {
	history := platform.NewHistory(0)
	server := httptest.NewServer(platform.NewHandler(history))
	defer server.Close()
	file, err := ParseFile([]byte(smallFleet))
	require.NoError(t, err)
	layout := NewLayout(file)
	layout.Processes[0].Data = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))

	require.NoError(t, layout.Register(t.Context(), []string{"balancer-1"}, false))
	require.NoError(t, layout.Register(t.Context(), []string{"balancer-2"}, true))
	listed := history.List(time.Now())
	require.Len(t, listed, 2)
	require.Equal(t, platform.Machine{
		Name: "balancer-1", Role: "balancer", Zone: "a", Address: "127.30.3.1:6081", State: platform.StateLive,
	}, listed[0])
	require.Equal(t, platform.StateLeaving, listed[1].State)
	require.NoError(t, layout.Remove(t.Context(), []string{"balancer-1"}))
	require.Len(t, history.List(time.Now()), 1)
	require.ErrorContains(t, layout.Register(t.Context(), []string{"balancer-9"}, false), "balancer-9")
	require.ErrorContains(t, layout.Remove(t.Context(), []string{"balancer-1"}), "404")
}
