package faults

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCodesAreUniqueAndInTheirRange(t *testing.T) {
	ranges := []struct {
		name        string
		first, last Code
		definitions []Definition
	}{
		{"settings", 1000, 1999, settingsDefinitions},
		{"storage", 2000, 2999, storageDefinitions},
		{"consensus", 3000, 3999, consensusDefinitions},
		{"administration", 4000, 4999, administrationDefinitions},
		{"packet", 5000, 5999, packetDefinitions},
		{"request", 6000, 6999, requestDefinitions},
		{"transport", 7000, 7999, transportDefinitions},
		{"process", 9000, 9999, processDefinitions},
	}
	seen := make(map[Code]string)
	for _, group := range ranges {
		for _, definition := range group.definitions {
			require.GreaterOrEqual(t, definition.Code, group.first, definition.Name)
			require.LessOrEqual(t, definition.Code, group.last, definition.Name)
			require.Empty(t, seen[definition.Code], "code %d is used twice", definition.Code)
			seen[definition.Code] = definition.Name
			require.NotEmpty(t, definition.Name)
			require.NotEmpty(t, definition.Meaning, definition.Name)
			require.NotEmpty(t, definition.Action, definition.Name)
		}
	}
}

func TestNamesAreUniqueCamelCase(t *testing.T) {
	codes := make(map[string]Code)
	for _, definition := range Catalogue() {
		require.Regexp(t, `^([A-Z][a-z]*)+$`, definition.Name, "code %d", definition.Code)
		require.Zero(t, codes[definition.Name], "name %s is used twice", definition.Name)
		codes[definition.Name] = definition.Code
	}
}

func TestCodeSurvivesWrapping(t *testing.T) {
	err := fmt.Errorf("outer: %w", New(CodeUsage, "flag %q", "x"))
	require.Equal(t, CodeUsage, CodeOf(err))
	require.Zero(t, CodeOf(errors.New("plain")))
	require.Contains(t, Describe(err), "error 1004 Usage: outer: flag \"x\"")
	require.Contains(t, Describe(errors.New("plain")), "plain")
}
