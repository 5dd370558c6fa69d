package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-viper/mapstructure/v2"
)

// origin records where each value came from, so that error messages can name the place to correct.
type origin struct {
	path string
	// environment and overrides hold the names of variables and the texts of overrides by the key that
	// they set.
	environment map[string]string
	overrides   map[string]string
}

func newOrigin(path string, overrides []string) origin {
	created := origin{path: path, environment: make(map[string]string), overrides: make(map[string]string)}
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, environmentPrefix) {
			created.environment[keyOfVariable(name)] = name
		}
	}
	for _, override := range overrides {
		key, _, _ := strings.Cut(override, "=")
		created.overrides[key] = override
	}
	return created
}

// placeOf returns the place that set the field, which may be the section of an unknown key. If several
// places set it, the one that takes precedence is returned.
func (from origin) placeOf(field string) string {
	if override, known := from.overrides[field]; known {
		return fmt.Sprintf("override %q", override)
	}
	if variable, known := from.environment[field]; known {
		return "environment variable " + variable
	}
	return from.path
}

// describe returns one line for each error that the decoder found.
func (from origin) describe(err error) []string {
	var lines []string
	for _, fault := range flatten(err) {
		var located *mapstructure.DecodeError
		if !errors.As(fault, &located) {
			lines = append(lines, fmt.Sprintf("%s: %v", from.path, fault))
			continue
		}
		lines = append(lines, from.describeField(located)...)
	}
	return lines
}

func (from origin) describeField(fault *mapstructure.DecodeError) []string {
	keys, isUnknown := strings.CutPrefix(fault.Unwrap().Error(), unknownKeysPrefix)
	if !isUnknown {
		return []string{fmt.Sprintf("%s: %s: %v", from.placeOf(fault.Name()), fault.Name(), fault.Unwrap())}
	}
	var lines []string
	for key := range strings.SplitSeq(keys, ", ") {
		field := key
		if fault.Name() != "" {
			field = fault.Name() + keyDelimiter + key
		}
		lines = append(lines, fmt.Sprintf("%s: %s: no setting has this name", from.placeOfUnknown(field), field))
	}
	return lines
}

// unknownKeysPrefix starts the decoder's message about keys without a field.
const unknownKeysPrefix = "has invalid keys: "

// placeOfUnknown returns the place that set a key without a field. The decoder reports such a key only
// up to its first unknown part, so keys below it match too.
func (from origin) placeOfUnknown(field string) string {
	for key := range from.overrides {
		if key == field || strings.HasPrefix(key, field+keyDelimiter) {
			return from.placeOf(key)
		}
	}
	for key := range from.environment {
		if key == field || strings.HasPrefix(key, field+keyDelimiter) {
			return from.placeOf(key)
		}
	}
	return from.path
}

// flatten returns the individual errors that err joins.
func flatten(err error) []error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []error{err}
	}
	var all []error
	for _, part := range joined.Unwrap() {
		all = append(all, flatten(part)...)
	}
	return all
}
