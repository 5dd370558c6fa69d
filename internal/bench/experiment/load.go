package experiment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/bench/fleet"
)

// FleetChanges are values that an experiment sets in its fleet file; zero
// leaves the file's own value.
type FleetChanges struct {
	// ServiceTime is the mean service time of a call at every back end.
	ServiceTime time.Duration `yaml:"service_time" validate:"min=0"`
	// ReportInterval is the interval at which nodes and relays send reports.
	ReportInterval time.Duration `yaml:"report_interval" validate:"min=0"`
	// PlatformDelay is the delay of the platform's machine list.
	PlatformDelay time.Duration `yaml:"platform_delay" validate:"min=0"`
	// Network replaces the first two octets of all addresses; "free" picks a
	// network that no other run uses.
	Network string `yaml:"network"`
}

// apply returns a copy of the fleet file with the changes.
func (changes FleetChanges) apply(file fleet.File) fleet.File {
	if changes.Network != "" {
		file.Network = changes.Network
	}
	if changes.ReportInterval > 0 {
		file.ReportInterval = changes.ReportInterval
	}
	if changes.PlatformDelay > 0 {
		file.PlatformDelay = changes.PlatformDelay
	}
	if changes.ServiceTime > 0 {
		file.Services = append([]fleet.Service{}, file.Services...)
		for index := range file.Services {
			file.Services[index].ServiceTime = changes.ServiceTime
		}
	}
	return file
}

// LoadFiles reads and validates an experiment file and returns one experiment for
// each of its fleets. In the file {{service N}} and {{zone N}} stand for the
// names of the fleet's N-th service and zone, counted from one. root is the
// repository's root.
func LoadFiles(root, path string) ([]File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	files, err := expand(root, content)
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", path, err)
	}
	return files, nil
}

// expand returns one experiment for each fleet of an experiment file. With
// several fleets, the fleet's name is appended to that of the experiment.
func expand(root string, content []byte) ([]File, error) {
	fleets, err := fleetsOf(content)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, path := range fleets {
		loaded, err := fleet.LoadFile(filepath.Join(root, path))
		if err != nil {
			return nil, err
		}
		filled, err := fillPlaceholders(content, placeholderFunctions(loaded))
		if err != nil {
			return nil, err
		}
		file, err := ParseFile(filled)
		if err != nil {
			return nil, err
		}
		if len(file.Fleets) > 0 {
			file.Name += "-" + loaded.Name
			file.Fleet, file.Fleets = path, nil
		}
		files = append(files, file)
	}
	return files, nil
}

// fleetsOf returns the paths of the fleet files that an experiment file lists.
func fleetsOf(content []byte) ([]string, error) {
	anyName := func(int) (string, error) { return "any", nil }
	filled, err := fillPlaceholders(content, template.FuncMap{"service": anyName, "zone": anyName})
	if err != nil {
		return nil, err
	}
	var named struct {
		Fleet  string   `yaml:"fleet"`
		Fleets []string `yaml:"fleets"`
	}
	if err := yaml.Unmarshal(filled, &named); err != nil {
		return nil, err
	}
	if len(named.Fleets) > 0 {
		return named.Fleets, nil
	}
	if named.Fleet == "" {
		return nil, fmt.Errorf("fleet: a fleet file must be named")
	}
	return []string{named.Fleet}, nil
}

// placeholderFunctions returns the template functions service and zone for a
// fleet.
func placeholderFunctions(file fleet.File) template.FuncMap {
	return template.FuncMap{
		"service": func(number int) (string, error) {
			if number < 1 || number > len(file.Services) {
				return "", fmt.Errorf("fleet %s has no service %d", file.Name, number)
			}
			return file.Services[number-1].Name, nil
		},
		"zone": func(number int) (string, error) {
			if number < 1 || number > len(file.Zones) {
				return "", fmt.Errorf("fleet %s has no zone %d", file.Name, number)
			}
			return file.Zones[number-1], nil
		},
	}
}

// fillPlaceholders replaces the placeholders of an experiment file.
func fillPlaceholders(content []byte, names template.FuncMap) ([]byte, error) {
	parsed, err := template.New("experiment").Funcs(names).Parse(string(content))
	if err != nil {
		return nil, err
	}
	var filled bytes.Buffer
	if err := parsed.Execute(&filled, nil); err != nil {
		return nil, err
	}
	return filled.Bytes(), nil
}

// writeFleet writes the fleet file with the experiment's changes to path.
func (file File) writeFleet(root, path string) error {
	loaded, err := fleet.LoadFile(filepath.Join(root, file.Fleet))
	if err != nil {
		return err
	}
	content, err := yaml.Marshal(file.Changes.apply(loaded))
	if err != nil {
		return fmt.Errorf("encode the changed fleet: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("folder of the changed fleet: %w", err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		return fmt.Errorf("write the changed fleet: %w", err)
	}
	return nil
}
