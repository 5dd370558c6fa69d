// Package fleet turns one fleet file into the settings files of a whole fleet
// of processes on loopback addresses, one address a machine, and reads what
// it rendered back for the tools that drive the fleet.
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

// File is a fleet file.
type File struct {
	// Name is the fleet's name.
	Name string `yaml:"name" validate:"required,max=32"`
	// Network is the first two numbers of all loopback addresses, as "127.20".
	Network string `yaml:"network" validate:"required"`
	// Region and Zones are the places of the fleet.
	Region string   `yaml:"region" validate:"required,max=64"`
	Zones  []string `yaml:"zones" validate:"min=1,max=8,unique,dive,required,max=64"`
	// BetweenZones and ToCallers are one-way latencies.
	BetweenZones time.Duration `yaml:"between_zones" validate:"min=0"`
	ToCallers    time.Duration `yaml:"to_callers" validate:"min=0"`
	// ControlMembers is the number of voters, spread over the zones.
	ControlMembers   int `yaml:"control_members" validate:"min=1,max=7"`
	RelaysPerZone    int `yaml:"relays_per_zone" validate:"min=1,max=4"`
	BalancersPerZone int `yaml:"balancers_per_zone" validate:"min=1,max=20"`
	// StandbyBalancers are rendered and not started with the fleet.
	StandbyBalancers int `yaml:"standby_balancers" validate:"min=0,max=20"`
	// ReportInterval is the time between two heartbeats of a node and between
	// two reports of a relay; zero means the defaults of the settings.
	ReportInterval time.Duration `yaml:"report_interval" validate:"min=0"`
	// PlatformDelay is how late the platform's machine list is.
	PlatformDelay time.Duration `yaml:"platform_delay" validate:"min=0"`
	// Seed fixes the fabric's spraying and the callers' requests.
	Seed     uint64    `yaml:"seed"`
	Services []Service `yaml:"services" validate:"min=1,max=20,dive"`
}

// Service is one tenant's service with its targets and its callers' load.
type Service struct {
	Name   string `yaml:"name" validate:"required,max=32"`
	Tenant string `yaml:"tenant" validate:"required,max=32"`
	// Targets is the number of targets; StandbyTargets are rendered and
	// neither started with the fleet nor in the service's parameters.
	Targets        int `yaml:"targets" validate:"min=1,max=200"`
	StandbyTargets int `yaml:"standby_targets" validate:"min=0,max=50"`
	// UpgradeTargets are the first targets for which a second agent is
	// rendered, which an upgrade starts beside the first one.
	UpgradeTargets int `yaml:"upgrade_targets" validate:"min=0,max=200,ltefield=Targets"`
	Slots          int `yaml:"slots" validate:"min=1,max=1000"`
	// ServiceTime is the mean time of a call at the back end.
	ServiceTime  time.Duration `yaml:"service_time" validate:"min=0"`
	FeedInterval time.Duration `yaml:"feed_interval" validate:"min=1000000"`
	// ColdStart is how long back ends are slow after their start.
	ColdStart time.Duration `yaml:"cold_start" validate:"min=0"`
	Load      Load          `yaml:"load"`
}

// Load is what the callers of a service offer.
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

// networkNumbers is the count of numbers in File.Network.
const networkOctets = 2

// LoadFile reads and checks a fleet file.
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

// ParseFile reads and checks the content of a fleet file. Unknown keys are
// refused; the error names every wrong field.
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
	var wrong validator.ValidationErrors
	if !errors.As(err, &wrong) {
		return err
	}
	var all []error
	for _, field := range wrong {
		all = append(all, fmt.Errorf("%s: value %v breaks the rule %s=%s", field.Namespace(), field.Value(), field.Tag(), field.Param()))
	}
	return errors.Join(all...)
}

func (file File) checkNetwork() error {
	address, err := netip.ParseAddr(file.Network + ".0.0")
	if err != nil || !address.IsLoopback() {
		return fmt.Errorf("network %q: must be the first %d numbers of loopback addresses, as 127.20", file.Network, networkOctets)
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
