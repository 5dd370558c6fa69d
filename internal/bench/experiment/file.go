// Package experiment runs experiment files against a fleet of separate
// processes: callers offer load, steps bring about changes and faults at
// stated times, and the result says what was delivered, what broke, how even
// the load was, and what control traffic cost.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
	"gopkg.in/yaml.v3"
)

// File is an experiment file.
type File struct {
	Name        string `yaml:"name" validate:"required,max=48"`
	Description string `yaml:"description"`
	// Fleet is the path of the fleet file, from the repository's root.
	Fleet string `yaml:"fleet" validate:"required_without=Fleets"`
	// Fleets lists several fleet files: the experiment runs once on each. See
	// LoadFiles for the names that such a file may use.
	Fleets []string `yaml:"fleets" validate:"excluded_with=Fleet,dive,required"`
	// Changes replace values of the fleet file.
	Changes FleetChanges `yaml:"fleet_changes"`
	// Duration is how long callers offer load.
	Duration time.Duration `yaml:"duration" validate:"min=1000000000"`
	// LoadFactor multiplies the rates and counts of the fleet's load; zero
	// means one.
	LoadFactor float64 `yaml:"load_factor" validate:"min=0,max=100"`
	// DrainGrace is how long after a drain new work may still come; zero means
	// what the users were promised, audit.DrainGrace.
	DrainGrace time.Duration `yaml:"drain_grace" validate:"min=0"`
	Steps      []Step        `yaml:"steps" validate:"dive"`
}

// Action is what a step does.
type Action string

// The actions of steps.
const (
	// ActionKill ends processes by SIGKILL.
	ActionKill Action = "kill"
	// ActionStop asks processes to end by SIGTERM.
	ActionStop Action = "stop"
	// ActionStart starts processes and waits until they are ready.
	ActionStart Action = "start"
	// ActionFreeze stops processes by SIGSTOP and ActionThaw continues them.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionRegister lists machines as live, ActionLeaving as leaving, and
	// ActionUnregister takes them off the platform's list.
	ActionRegister   Action = "register"
	ActionLeaving    Action = "leaving"
	ActionUnregister Action = "unregister"
	// ActionDrain and ActionUndrain change targets by the administration API.
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	// ActionParameter changes a parameter of a service and waits until the
	// change is in force. With Every it repeats until the load ends.
	ActionParameter Action = "parameter"
	// ActionTargets starts a service's standby targets and adds them to its
	// parameters.
	ActionAddTargets Action = "add_targets"
	// ActionUpgrade starts a second agent beside each named one, adds it to
	// the service, drains the first one and asks it to end.
	ActionUpgrade Action = "upgrade"
	// ActionMisbehave makes back ends show faults.
	ActionMisbehave Action = "misbehave"
	// ActionImpair sets the fabric's impairments; ActionHeal ends them.
	ActionImpair Action = "impair"
	ActionHeal   Action = "heal"
)

// leaderName is the name in a step that stands for the control leader.
const leaderName = "leader"

// Step is one change or fault.
type Step struct {
	// At is the time after the load began.
	At     time.Duration `yaml:"at" validate:"min=0"`
	Action Action        `yaml:"action" validate:"required,oneof=kill stop start freeze thaw register leaving unregister drain undrain parameter add_targets upgrade misbehave impair heal"`
	// Names are the processes or targets that the step is for. "leader" is the
	// control leader at that time.
	Names []string `yaml:"names"`
	// As keeps the leader's name for later steps.
	As string `yaml:"as"`
	// Service, Parameter and Values are for parameter: the values take turns.
	Service   string `yaml:"service"`
	Parameter string `yaml:"parameter"`
	Values    []any  `yaml:"values"`
	// Every repeats a parameter step.
	Every time.Duration `yaml:"every" validate:"min=0"`
	// Faults are for misbehave; an empty list ends all faults.
	Faults []string `yaml:"faults"`
	// Impairments are for impair.
	Impairments *Impairments `yaml:"impairments"`
}

// Impairments are faults of the network, as the fabric takes them.
type Impairments struct {
	Loss                     float64 `yaml:"loss" json:"loss"`
	Duplicate                float64 `yaml:"duplicate" json:"duplicate"`
	Reorder                  float64 `yaml:"reorder" json:"reorder"`
	ReorderDelayMilliseconds int64   `yaml:"reorder_delay_milliseconds" json:"reorder_delay_milliseconds"`
	// CutZones are zones that callers' packets and answers cannot cross.
	CutZones []string `yaml:"cut_zones" json:"cut_zones,omitempty"`
}

// ParseFile reads and checks the content of an experiment file. Unknown keys
// are refused; the error names every wrong field.
func ParseFile(content []byte) (File, error) {
	var file File
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return File{}, err
	}
	if file.LoadFactor == 0 {
		file.LoadFactor = 1
	}
	return file, errors.Join(checkFields(file), file.checkSteps())
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

func (file File) checkSteps() error {
	var all []error
	for index, step := range file.Steps {
		if err := step.check(file.Duration); err != nil {
			all = append(all, fmt.Errorf("steps[%d]: %w", index, err))
		}
	}
	return errors.Join(all...)
}

// check finds what the validator's rules cannot say.
func (step Step) check(duration time.Duration) error {
	if step.At > duration {
		return fmt.Errorf("at %s is after the end of the load at %s", step.At, duration)
	}
	switch step.Action {
	case ActionParameter:
		if step.Service == "" || step.Parameter == "" || len(step.Values) == 0 {
			return fmt.Errorf("parameter needs service, parameter and values")
		}
	case ActionAddTargets:
		if step.Service == "" {
			return fmt.Errorf("add_targets needs service")
		}
	case ActionImpair:
		if step.Impairments == nil {
			return fmt.Errorf("impair needs impairments")
		}
	case ActionHeal:
	default:
		if len(step.Names) == 0 {
			return fmt.Errorf("%s needs names", step.Action)
		}
	}
	return nil
}
