package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/bench/fleet"
)

const repositoryRoot = "../../.."

// Every experiment file of the repository must load with each of its fleets, and
// its steps must only name processes and services of these fleets.
func TestExperimentFilesOfTheRepository(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "experiments", "*.yaml"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			files, err := LoadFiles(repositoryRoot, path)
			require.NoError(t, err)
			require.NotEmpty(t, files)
			for _, file := range files {
				checkNames(t, file)
			}
		})
	}
}

func checkNames(t *testing.T, file File) {
	t.Helper()
	loaded, err := fleet.LoadFile(filepath.Join(repositoryRoot, file.Fleet))
	require.NoError(t, err)
	layout := fleet.NewLayout(loaded)
	aliases := map[string]bool{leaderName: true}
	for _, step := range file.Steps {
		for _, name := range step.Names {
			if _, err := layout.Find(name); !aliases[name] {
				require.NoError(t, err, "%s: step %s", file.Name, step.describe())
			}
		}
		aliases[step.As] = true
		if step.Service != "" {
			require.NotZero(t, layout.LoadOf(step.Service).Connections, "%s: no service %s", file.Name, step.Service)
		}
	}
}

func TestExpand(t *testing.T) {
	const (
		riga  = "fleet: fleets/riga.yaml\n"
		both  = "fleets: [fleets/riga.yaml, fleets/dakar.yaml]\n"
		start = "name: x\nduration: 10s\n"
	)
	cases := []struct {
		name, content string
		files         []string
		fault         string
	}{
		{"one fleet", start + riga, []string{"x"}, ""},
		{"two fleets", start + both, []string{"x-riga", "x-dakar"}, ""},
		{"no fleet", start, nil, "fleet"},
		{"one and several fleets", start + riga + both, nil, "Fleets"},
		{"fleet that is not there", start + "fleet: fleets/nowhere.yaml\n", nil, "nowhere"},
		{"service that is not there", start + riga + "description: \"{{service 3}}\"\n", nil, "no service 3"},
		{"zone that is not there", start + riga + "description: \"{{zone 4}}\"\n", nil, "no zone 4"},
		{"unknown placeholder", start + riga + "description: \"{{target 1}}\"\n", nil, "target"},
		{"unknown key", start + riga + "stepz: []\n", nil, "stepz"},
		{"unknown impairment", start + riga + "steps: [{at: 1s, action: impair, impairments: {los: 1}}]\n", nil, "los"},
		{"step after the end", start + riga + "steps: [{at: 11s, action: heal}]\n", nil, "after the end"},
		{"step without names", start + riga + "steps: [{at: 1s, action: kill}]\n", nil, "kill needs names"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			files, err := expand(repositoryRoot, []byte(testCase.content))
			if testCase.fault != "" {
				require.ErrorContains(t, err, testCase.fault)
				return
			}
			require.NoError(t, err)
			var names []string
			for _, file := range files {
				names = append(names, file.Name)
			}
			require.Equal(t, testCase.files, names)
		})
	}
}

func TestFleetChanges(t *testing.T) {
	files, err := expand(repositoryRoot, []byte("name: x\nduration: 10s\nfleet: fleets/riga.yaml\nfleet_changes: {service_time: 140ms, platform_delay: 2s}\n"))
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "changed.yaml")
	require.NoError(t, files[0].writeFleet(repositoryRoot, path))
	_, err = os.Stat(path)
	require.NoError(t, err)
	before, err := fleet.LoadFile(filepath.Join(repositoryRoot, "fleets/riga.yaml"))
	require.NoError(t, err)
	after, err := fleet.LoadFile(path)
	require.NoError(t, err)
	require.Equal(t, 140*time.Millisecond, after.Services[1].ServiceTime)
	require.Equal(t, 2*time.Second, after.PlatformDelay)
	after.PlatformDelay = before.PlatformDelay
	for index := range after.Services {
		after.Services[index].ServiceTime = before.Services[index].ServiceTime
	}
	require.Equal(t, before, after, "the rest is unchanged")
}
