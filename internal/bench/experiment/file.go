// Package experiment runs experiment files against a fleet of separate
// processes. Callers offer load, steps make changes and inject faults at given
// times, and the result reports deliveries, broken flows, load imbalance, and
// the resource usage of the processes, control traffic included.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
	"gopkg.in/yaml.v3"
)

// File is the content of an experiment file.
type File struct {
	Name        string `yaml:"name" validate:"required,max=48"`
	Description string `yaml:"description"`
	// Fleet is the path of the fleet file, relative to the repository's root.
	Fleet string `yaml:"fleet" validate:"required_without=Fleets"`
	// Fleets lists several fleet files: the experiment runs once on each. See
	// LoadFiles for the placeholders that stand for names of each fleet.
	Fleets []string `yaml:"fleets" validate:"excluded_with=Fleet,dive,required"`
	// Changes replace values of the fleet file.
	Changes FleetChanges `yaml:"fleet_changes"`
	// Duration is how long callers offer load.
	Duration time.Duration `yaml:"duration" validate:"min=1000000000"`
	// LoadFactor multiplies the rates and counts of the fleet's load; zero
	// means one.
	LoadFactor float64 `yaml:"load_factor" validate:"min=0,max=100"`
	// DrainGrace is how long after a drain new work may still arrive at the
	// target; zero means audit.DrainGrace, the time promised to users.
	DrainGrace time.Duration `yaml:"drain_grace" validate:"min=0"`
	Steps      []Step        `yaml:"steps" validate:"dive"`
}

// Action is the kind of change or fault that a step applies.
type Action string

// The actions of steps.
const (
	// ActionKill ends processes with SIGKILL.
	ActionKill Action = "kill"
	// ActionStop asks processes to end with SIGTERM.
	ActionStop Action = "stop"
	// ActionStart starts processes and waits until they are ready.
	ActionStart Action = "start"
	// ActionFreeze suspends processes with SIGSTOP and ActionThaw resumes them
	// with SIGCONT.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionRegister lists machines as live, ActionLeaving as leaving, and
	// ActionUnregister removes them from the platform's machine list.
	ActionRegister   Action = "register"
	ActionLeaving    Action = "leaving"
	ActionUnregister Action = "unregister"
	// ActionDrain and ActionUndrain drain targets and end the drain, through the
	// administration API.
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	// ActionParameter changes a parameter of a service and waits until the
	// change is in force. With Every it repeats until the load ends.
	ActionParameter Action = "parameter"
	// ActionAddTargets starts a service's standby targets and adds them to its
	// parameters.
	ActionAddTargets Action = "add_targets"
	// ActionUpgrade starts a second agent beside each named one, adds it to
	// the service, drains the first one and asks it to end.
	ActionUpgrade Action = "upgrade"
	// ActionMisbehave injects faults into back ends.
	ActionMisbehave Action = "misbehave"
	// ActionImpair sets the fabric's network impairments; ActionHeal removes
	// them.
	ActionImpair Action = "impair"
	ActionHeal   Action = "heal"
)

// leaderName in a step's Names stands for the control leader.
const leaderName = "leader"

// Step is one change or fault of an experiment.
type Step struct {
	// At is the time since the start of the load.
	At     time.Duration `yaml:"at" validate:"min=0"`
	Action Action        `yaml:"action" validate:"required,oneof=kill stop start freeze thaw register leaving unregister drain undrain parameter add_targets upgrade misbehave impair heal"`
	// Names are the processes or targets that the step acts on. "leader" stands
	// for the control leader at the time of the step.
	Names []string `yaml:"names"`
	// As is an alias under which later steps refer to the resolved name, usually
	// that of the leader.
	As string `yaml:"as"`
	// Service, Parameter and Values apply to the action parameter. Repetitions
	// cycle through Values. Service also applies to add_targets.
	Service   string `yaml:"service"`
	Parameter string `yaml:"parameter"`
	Values    []any  `yaml:"values"`
	// Every is the interval at which a parameter step repeats until the load
	// ends; zero runs it once.
	Every time.Duration `yaml:"every" validate:"min=0"`
	// Faults applies to misbehave; an empty list ends all faults.
	Faults []string `yaml:"faults"`
	// Impairments applies to impair.
	Impairments *Impairments `yaml:"impairments"`
}

// Impairments are network faults in the form that the fabric accepts. Loss,
// Duplicate and Reorder are probabilities for each packet, from 0 to 1.
type Impairments struct {
	Loss      float64 `yaml:"loss" json:"loss"`
	Duplicate float64 `yaml:"duplicate" json:"duplicate"`
	Reorder   float64 `yaml:"reorder" json:"reorder"`
	// ReorderDelayMilliseconds is the additional delay of reordered packets.
	ReorderDelayMilliseconds int64 `yaml:"reorder_delay_milliseconds" json:"reorder_delay_milliseconds"`
	// CutZones are zones that packets and answers of callers cannot enter or
	// leave.
	CutZones []string `yaml:"cut_zones" json:"cut_zones,omitempty"`
}

// ParseFile parses and validates the content of an experiment file. Unknown
// keys are an error; a validation error names every invalid field.
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

// check applies the rules that the validator's tags cannot express.
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
