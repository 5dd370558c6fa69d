package fleet

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// script runs hack/fleet on a fleet's folder and returns its combined output.
func script(t *testing.T, bin, folder string, arguments ...string) (string, error) {
	t.Helper()
	command := exec.Command("../../../hack/fleet", append([]string{"--folder", folder}, arguments...)...)
	command.Env = append(command.Environ(), "BIN="+bin)
	output, err := command.CombinedOutput()
	return string(output), err
}

func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "../../../cmd/merlinpaddle", "../../../cmd/merlinbench").CombinedOutput()
	require.NoError(t, err, string(output))
	return bin
}

// The script starts, freezes, resumes and kills the named process of its fleet, reports its status,
// and leaves other processes alone.
func TestFleetScript(t *testing.T) {
	bin := buildPrograms(t)
	file, err := ParseFile([]byte(strings.Replace(smallFleet, "127.30", "127.31", 1)))
	require.NoError(t, err)
	folder := t.TempDir()
	layout, err := Render(file, folder)
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = script(t, bin, folder, "down") })
	const first, second = "backend-web-1", "backend-web-2"

	for _, name := range []string{first, second} {
		output, err := script(t, bin, folder, "start", name)
		require.NoError(t, err, output)
	}
	require.NoError(t, layout.WaitReady(t.Context(), []string{first, second}, testTimeout))

	steps := []struct {
		arguments []string
		status    string
		fault     string
	}{
		{[]string{"start", first}, "running", "runs already"},
		{[]string{"freeze", first}, "frozen", ""},
		{[]string{"thaw", first}, "running", ""},
		{[]string{"kill", "nobody"}, "running", "no process nobody"},
		{[]string{"kill", first}, "stopped", ""},
		{[]string{"kill", first}, "stopped", "does not run"},
	}
	for _, step := range steps {
		output, err := script(t, bin, folder, step.arguments...)
		if step.fault != "" {
			require.Error(t, err)
			require.Contains(t, output, step.fault)
		} else {
			require.NoError(t, err, output)
		}
		require.Eventually(t, func() bool {
			return strings.HasPrefix(statusOf(t, bin, folder, first), step.status)
		}, testTimeout, readyPollInterval, "after %v", step.arguments)
	}
	require.True(t, strings.HasPrefix(statusOf(t, bin, folder, second), "running"), "the other process still runs")

	output, err := script(t, bin, folder, "down")
	require.NoError(t, err, output)
	require.Equal(t, "stopped", statusOf(t, bin, folder, second))
	require.FileExists(t, filepath.Join(folder, LedgersFolder, second+".jsonl"))
}

func TestFleetScriptWithoutFleet(t *testing.T) {
	output, err := script(t, t.TempDir(), t.TempDir(), "status")
	require.Error(t, err)
	require.Contains(t, output, "no fleet")
}

// statusOf returns the status of a process as hack/fleet prints it.
func statusOf(t *testing.T, bin, folder, name string) string {
	t.Helper()
	output, err := script(t, bin, folder, "status")
	require.NoError(t, err, output)
	for line := range strings.Lines(output) {
		fields := strings.Fields(line)
		if fields[0] == name {
			return strings.Join(fields[2:], " ")
		}
	}
	t.Fatalf("no status of %s in:\n%s", name, output)
	return ""
}
