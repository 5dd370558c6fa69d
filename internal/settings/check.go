package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"

	"merlinpaddle/internal/faults"
)

// check validates every field against its rule. The error lists each field that breaks its rule,
// with the place that set it, its value and the rule.
func check(from origin, chosen Settings) error {
	err := newValidator().Struct(chosen)
	var problems validator.ValidationErrors
	if !errors.As(err, &problems) {
		return err
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, describe(from, problem))
	}
	return faults.New(faults.CodeSettingsInvalid, "%s", strings.Join(lines, "\n"))
}

// describe returns one line with the place, field, value and rule of a problem.
func describe(from origin, problem validator.FieldError) string {
	field := strings.TrimPrefix(problem.Namespace(), "Settings.")
	rule := problem.Tag()
	if problem.Param() != "" {
		rule += " " + ruleParameter(problem)
	}
	return fmt.Sprintf("%s: %s: value %q breaks the rule %q", from.placeOf(field), field, fmt.Sprint(problem.Value()), rule)
}

// ruleParameter returns the parameter of the rule that the field breaks. The tags give bounds of
// durations in nanoseconds; they are returned with a unit.
func ruleParameter(problem validator.FieldError) string {
	if problem.Type() != durationType {
		return problem.Param()
	}
	nanoseconds, err := strconv.ParseInt(problem.Param(), 10, 64)
	if err != nil {
		return problem.Param()
	}
	return time.Duration(nanoseconds).String()
}

func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(fieldTag) })
	// The rule "hostport" accepts an IP address and a port, no host name, because processes connect
	// to IP addresses only.
	if err := checker.RegisterValidation("hostport", isAddressAndPort); err != nil {
		panic(err) // The rule's name is a valid constant, so this cannot happen.
	}
	return checker
}

// isAddressAndPort reports whether the field's text is an IP address and a port.
func isAddressAndPort(level validator.FieldLevel) bool {
	host, _, err := net.SplitHostPort(level.Field().String())
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	_, err = netip.ParseAddrPort(level.Field().String())
	return err == nil
}
