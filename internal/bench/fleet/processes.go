package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// processColumns are the columns of the process list, a file of tab-separated values that shell
// scripts read too.
var processColumns = []string{"name", "role", "zone", "machine", "status", "data", "standby", "service", "backend"}

// noValue stands for an empty service or back end in the list.
const noValue = "-"

func writeProcesses(path string, processes []Process) error {
	var text strings.Builder
	text.WriteString("# " + strings.Join(processColumns, "\t") + "\n")
	for _, process := range processes {
		text.WriteString(strings.Join(process.columns(), "\t") + "\n")
	}
	return os.WriteFile(path, []byte(text.String()), fileMode)
}

func (process Process) columns() []string {
	return []string{
		process.Name,
		string(process.Role),
		process.Zone,
		process.Machine.String(),
		process.Status.String(),
		process.Data.String(),
		strconv.FormatBool(process.Standby),
		valueOrNone(process.Service),
		valueOrNone(process.Backend),
	}
}

func valueOrNone(value string) string {
	if value == "" {
		return noValue
	}
	return value
}

// valueOf returns the value in a column; it is the inverse of valueOrNone.
func valueOf(column string) string {
	if column == noValue {
		return ""
	}
	return column
}

// Open reads the rendered fleet in folder.
func Open(folder string) (*Layout, error) {
	file, err := LoadFile(filepath.Join(folder, fleetFile))
	if err != nil {
		return nil, err
	}
	processes, err := readProcesses(filepath.Join(folder, processesFile))
	if err != nil {
		return nil, err
	}
	return &Layout{file: file, Processes: processes}, nil
}

// File returns the fleet file that the layout was built from.
func (layout *Layout) File() File { return layout.file }

// Find returns the process with that name.
func (layout *Layout) Find(name string) (Process, error) {
	for _, process := range layout.Processes {
		if process.Name == name {
			return process, nil
		}
	}
	return Process{}, fmt.Errorf("the fleet has no process %q", name)
}

func readProcesses(path string) ([]Process, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read process list: %w", err)
	}
	var processes []Process
	for line := range strings.Lines(string(content)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		process, err := parseProcess(strings.TrimSuffix(line, "\n"))
		if err != nil {
			return nil, fmt.Errorf("process list %s: %w", path, err)
		}
		processes = append(processes, process)
	}
	return processes, nil
}

func parseProcess(line string) (Process, error) {
	columns := strings.Split(line, "\t")
	if len(columns) != len(processColumns) {
		return Process{}, fmt.Errorf("line %q has %d columns, want %d", line, len(columns), len(processColumns))
	}
	machine, machineErr := netip.ParseAddr(columns[3])
	status, statusErr := netip.ParseAddrPort(columns[4])
	data, dataErr := netip.ParseAddrPort(columns[5])
	standby, standbyErr := strconv.ParseBool(columns[6])
	for _, err := range []error{machineErr, statusErr, dataErr, standbyErr} {
		if err != nil {
			return Process{}, fmt.Errorf("line %q: %w", line, err)
		}
	}
	return Process{
		Name: columns[0], Role: Role(columns[1]), Zone: columns[2],
		Machine: machine, Status: status, Data: data, Standby: standby,
		Service: valueOf(columns[7]), Backend: valueOf(columns[8]),
	}, nil
}
