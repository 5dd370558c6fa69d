package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"merlinpaddle/internal/bench/audit"
	"merlinpaddle/internal/bench/fleet"
)

// Result is the outcome of a run, as stored in its JSON file.
type Result struct {
	Name        string    `json:"name"`
	Description string    `json:"description"`
	Fleet       string    `json:"fleet"`
	Started     time.Time `json:"started"`
	// Revision is the source revision of the bench program; empty if unknown.
	Revision string `json:"revision,omitempty"`
	// Seconds is how long the load ran.
	Seconds    float64           `json:"seconds"`
	LoadFactor float64           `json:"load_factor"`
	Audit      audit.Result      `json:"audit"`
	Violations []audit.Violation `json:"violations"`
	Imbalance  []Imbalance       `json:"imbalance"`
	Costs      []RoleCost        `json:"costs"`
	Rollout    RolloutTimes      `json:"rollout"`
	Steps      []StepRecord      `json:"steps"`
	Samples    []Sample          `json:"samples"`
}

// RoleCost is the resource usage of the processes of one role during the load.
type RoleCost struct {
	Role  fleet.Role `json:"role"`
	Nodes int        `json:"nodes"`
	// ControlBytesPerSecond is control traffic in both directions.
	ControlBytesPerSecond MeanAndMax `json:"control_bytes_per_second"`
	// ProcessorShare is processor time per second, in cores.
	ProcessorShare MeanAndMax `json:"processor_share"`
	// MemoryBytes is the resident memory at the end of the load.
	MemoryBytes MeanAndMax `json:"memory_bytes"`
}

// MeanAndMax is the mean and the maximum of one figure over nodes.
type MeanAndMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// RolloutTimes summarizes the times, in milliseconds, from the request of a
// change until the change was in force.
type RolloutTimes struct {
	Changes int     `json:"changes"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Max     float64 `json:"max_ms"`
}

// result assembles the run's result. Failed steps count as violations.
func (session *session) result(accounts []audit.Account, runs []audit.Run, costs []RoleCost) Result {
	compared := audit.Compare(accounts, runs)
	violations := compared.Violations(session.steps.expected, runs)
	for _, record := range session.records {
		if record.Error != "" {
			violations = append(violations, audit.Violation{Invariant: "the experiment's steps succeed", Detail: record.Error})
		}
	}
	var services []string
	for _, service := range session.layout.File().Services {
		services = append(services, service.Name)
	}
	return Result{
		Name:        session.file.Name,
		Description: session.file.Description,
		Fleet:       session.file.Fleet,
		Started:     session.started,
		Revision:    sourceRevision(),
		Seconds:     session.file.Duration.Seconds(),
		LoadFactor:  session.file.LoadFactor,
		Audit:       compared,
		Violations:  violations,
		Imbalance:   imbalances(session.sampler.samples, services),
		Costs:       costs,
		Rollout:     rolloutTimes(session.steps.rollouts),
		Steps:       session.records,
		Samples:     session.sampler.samples,
	}
}

// shortRevision is the number of digits to which a revision is shortened.
const shortRevision = 12

// sourceRevision returns the revision that this program was built from, marked
// if the tree had uncommitted changes, or "" if it is unknown.
func sourceRevision() string {
	build, known := debug.ReadBuildInfo()
	if !known {
		return ""
	}
	revision, mark := "", ""
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			revision = setting.Value[:min(shortRevision, len(setting.Value))]
		case "vcs.modified":
			if setting.Value == "true" {
				mark = " with changes"
			}
		}
	}
	return revision + mark
}

// roleCosts returns the usage between two readings of all nodes. A node that
// restarted in between is left out, which is detected by a decrease of its
// processor time, and so is a node without both readings.
func roleCosts(layout *fleet.Layout, before, after map[string]reading, seconds float64) []RoleCost {
	var all []RoleCost
	for _, role := range systemRoles {
		var bytes, processor, memory []float64
		for _, process := range layout.WithRole(role) {
			first, hasFirst := before[process.Name]
			last, hasLast := after[process.Name]
			if !hasFirst || !hasLast || last.processorSeconds < first.processorSeconds {
				continue
			}
			bytes = append(bytes, (last.controlBytes-first.controlBytes)/seconds)
			processor = append(processor, (last.processorSeconds-first.processorSeconds)/seconds)
			memory = append(memory, last.residentMemory)
		}
		all = append(all, RoleCost{
			Role:                  role,
			Nodes:                 len(bytes),
			ControlBytesPerSecond: meanAndMax(bytes),
			ProcessorShare:        meanAndMax(processor),
			MemoryBytes:           meanAndMax(memory),
		})
	}
	return all
}

func meanAndMax(values []float64) MeanAndMax {
	if len(values) == 0 {
		return MeanAndMax{}
	}
	total := 0.0
	for _, value := range values {
		total += value
	}
	return MeanAndMax{Mean: total / float64(len(values)), Max: slices.Max(values)}
}

func rolloutTimes(measured []time.Duration) RolloutTimes {
	var milliseconds []float64
	for _, time := range measured {
		milliseconds = append(milliseconds, float64(time.Microseconds())/1000)
	}
	slices.Sort(milliseconds)
	times := RolloutTimes{Changes: len(milliseconds), P50: quantile(milliseconds, 0.5), P99: quantile(milliseconds, 0.99)}
	if len(milliseconds) > 0 {
		times.Max = milliseconds[len(milliseconds)-1]
	}
	return times
}

// File names in a results folder.
const (
	resultFile = "result.json"
	tableFile  = "result.md"
)

// Write stores the result as JSON and as a Markdown page, with its plots, in
// folder.
func (result Result) Write(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("results folder: %w", err)
	}
	encoded, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, resultFile), encoded, 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, tableFile), []byte(result.Markdown()), 0o644); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return result.writePlots(folder)
}

// Read reads a result stored by Write; path is that of the JSON file.
func Read(path string) (Result, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fmt.Errorf("read result: %w", err)
	}
	var result Result
	if err := json.Unmarshal(content, &result); err != nil {
		return Result{}, fmt.Errorf("result %s: %w", path, err)
	}
	return result, nil
}
