// Package fleet renders a fleet file into the settings, keys, tokens and documents of a fleet of
// processes on loopback addresses, one address per machine. Tools that drive the fleet read the
// rendered fleet back with Open.
package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"gopkg.in/yaml.v3"
)

// File is a fleet file: the processes, services and load of a fleet.
type File struct {
	// Name is the fleet's name.
	Name string `yaml:"name" validate:"required,max=32"`
	// Network is the first two octets of all loopback addresses, such as "127.20".
	Network string `yaml:"network" validate:"required"`
	// Region and Zones are the region and the zones that processes are spread over.
	Region string   `yaml:"region" validate:"required,max=64"`
	Zones  []string `yaml:"zones" validate:"min=1,max=8,unique,dive,required,max=64"`
	// BetweenZones and ToCallers are the one-way latencies between two zones, and between a zone and
	// the callers.
	BetweenZones time.Duration `yaml:"between_zones" validate:"min=0"`
	ToCallers    time.Duration `yaml:"to_callers" validate:"min=0"`
	// ControlMembers is the number of voting control members, spread over the zones.
	ControlMembers   int `yaml:"control_members" validate:"min=1,max=7"`
	RelaysPerZone    int `yaml:"relays_per_zone" validate:"min=1,max=4"`
	BalancersPerZone int `yaml:"balancers_per_zone" validate:"min=1,max=20"`
	// StandbyBalancers is the number of balancers that are rendered but not started with the fleet.
	StandbyBalancers int `yaml:"standby_balancers" validate:"min=0,max=20"`
	// ReportInterval is the time between two heartbeats of a node and between two reports of a relay;
	// zero means the defaults of the settings.
	ReportInterval time.Duration `yaml:"report_interval" validate:"min=0"`
	// PlatformDelay is the delay with which changes appear in the platform's machine list.
	PlatformDelay time.Duration `yaml:"platform_delay" validate:"min=0"`
	// Seed is the random seed of the fabric's spraying of packets over balancers and of the callers'
	// requests.
	Seed     uint64    `yaml:"seed"`
	Services []Service `yaml:"services" validate:"min=1,max=20,dive"`
}

// Service is one tenant's service with its targets and its callers' load.
type Service struct {
	Name   string `yaml:"name" validate:"required,max=32"`
	Tenant string `yaml:"tenant" validate:"required,max=32"`
	// Targets is the number of targets. StandbyTargets is the number of further ones that are
	// rendered, but neither started with the fleet nor listed in the service's parameters.
	Targets        int `yaml:"targets" validate:"min=1,max=200"`
	StandbyTargets int `yaml:"standby_targets" validate:"min=0,max=50"`
	// UpgradeTargets is the number of targets, counted from the first, for which a second agent is
	// rendered. An upgrade starts it beside the first agent.
	UpgradeTargets int `yaml:"upgrade_targets" validate:"min=0,max=200,ltefield=Targets"`
	Slots          int `yaml:"slots" validate:"min=1,max=1000"`
	// ServiceTime is the mean time of a call at the back end.
	ServiceTime  time.Duration `yaml:"service_time" validate:"min=0"`
	FeedInterval time.Duration `yaml:"feed_interval" validate:"min=1000000"`
	// ColdStart is how long back ends are slow after they start.
	ColdStart time.Duration `yaml:"cold_start" validate:"min=0"`
	Load      Load          `yaml:"load"`
}

// Load is the load that the callers of a service offer.
type Load struct {
	CallsPerSecond     float64       `yaml:"calls_per_second" validate:"min=0"`
	AtMostOnceFraction float64       `yaml:"at_most_once_fraction" validate:"min=0,max=1"`
	UploadsPerSecond   float64       `yaml:"uploads_per_second" validate:"min=0"`
	UploadBytes        int           `yaml:"upload_bytes" validate:"min=1"`
	Feeds              int           `yaml:"feeds" validate:"min=0"`
	Connections        int           `yaml:"connections" validate:"min=1"`
	ConnectionLifetime time.Duration `yaml:"connection_lifetime" validate:"min=0"`
	RequestTimeout     time.Duration `yaml:"request_timeout" validate:"min=1000000"`
}

// networkOctets is the number of octets in File.Network.
const networkOctets = 2

// LoadFile reads and validates a fleet file.
func LoadFile(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read fleet file: %w", err)
	}
	file, err := ParseFile(content)
	if err != nil {
		return File{}, fmt.Errorf("fleet file %s: %w", path, err)
	}
	return file, nil
}

// ParseFile decodes and validates the content of a fleet file. Unknown keys are errors. A validation
// error names every invalid field.
func ParseFile(content []byte) (File, error) {
	var file File
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return File{}, err
	}
	if err := file.check(); err != nil {
		return File{}, err
	}
	return file, nil
}

func (file File) check() error {
	return errors.Join(checkFields(file), file.checkNetwork(), file.checkNames())
}

func checkFields(file File) error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(file)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	var problems []error
	for _, field := range invalid {
		problems = append(problems, fmt.Errorf("%s: value %v breaks the rule %s=%s", field.Namespace(), field.Value(), field.Tag(), field.Param()))
	}
	return errors.Join(problems...)
}

func (file File) checkNetwork() error {
	address, err := netip.ParseAddr(file.Network + ".0.0")
	if err != nil || !address.IsLoopback() {
		return fmt.Errorf("network %q: must be the first %d octets of loopback addresses, such as 127.20", file.Network, networkOctets)
	}
	return nil
}

func (file File) checkNames() error {
	seen := make(map[string]bool)
	for _, service := range file.Services {
		if seen[service.Name] {
			return fmt.Errorf("services: %q is listed twice", service.Name)
		}
		seen[service.Name] = true
	}
	return nil
}
