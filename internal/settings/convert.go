package settings

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// convertExactly is a decode hook for mapstructure. It converts the text of environment variables,
// overrides and quoted values to numbers and durations, with an error that shows the text, and
// rejects conversions in which the decoder would silently lose a part of the value.
func convertExactly(from, to reflect.Value) (any, error) {
	switch {
	case from.Kind() == reflect.String:
		return parseText(from.String(), to)
	case from.Kind() == reflect.Bool && to.Kind() != reflect.Bool && to.Kind() != reflect.Interface:
		return nil, fmt.Errorf("value %v is not %s", from.Bool(), describeType(to.Type()))
	case to.Kind() == reflect.Bool && from.Kind() != reflect.Bool:
		return nil, fmt.Errorf("value %v is not %s", from.Interface(), describeType(to.Type()))
	case from.CanFloat() && (to.CanInt() || to.CanUint()) && !isInt64(from.Float()):
		return nil, fmt.Errorf("value %v is not %s", from.Float(), describeType(to.Type()))
	}
	return from.Interface(), nil
}

// isInt64 reports whether the number is an integer in the range of int64.
func isInt64(number float64) bool {
	return number == math.Trunc(number) && math.Abs(number) < math.MaxInt64
}

// parseText parses the text as a value of the type of to. It returns the text itself if that type is
// neither a number, a duration nor a boolean.
func parseText(text string, to reflect.Value) (any, error) {
	var parsed any
	var err error
	switch {
	case to.Type() == durationType:
		parsed, err = time.ParseDuration(text)
	case to.CanInt():
		parsed, err = strconv.ParseInt(text, 10, to.Type().Bits())
	case to.CanUint():
		parsed, err = strconv.ParseUint(text, 10, to.Type().Bits())
	case to.CanFloat():
		parsed, err = strconv.ParseFloat(text, to.Type().Bits())
	case to.Kind() == reflect.Bool:
		parsed, err = strconv.ParseBool(text)
	default:
		return text, nil
	}
	if err != nil {
		return nil, fmt.Errorf("value %q is not %s", text, describeType(to.Type()))
	}
	return parsed, nil
}

// describeType returns the kind of value that a type holds, in words for error messages.
func describeType(valueType reflect.Type) string {
	value := reflect.Zero(valueType)
	switch {
	case valueType == durationType:
		return "a duration with a unit, such as 250ms or 2s"
	case value.CanInt(), value.CanUint():
		return "a whole number"
	case value.CanFloat():
		return "a number"
	case valueType.Kind() == reflect.Bool:
		return "true or false"
	case valueType.Kind() == reflect.String:
		return "text"
	default:
		return "a section or list"
	}
}
