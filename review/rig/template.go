package main

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// fields are the settings that the platform knows of a process, under the names of the page on
// deployment, flattened: "limits.link-mbps". A list has the values "0", "1" and so on below its name.
type fields struct {
	values map[string]string
	lists  map[string][]string
	tables map[string]map[string]string
}

var (
	spanPattern = regexp.MustCompile(`(?s)\{\{#([a-z-]+)\}\}(.*?)\{\{/([a-z-]+)\}\}`)
	gapPattern  = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// fill fills the gaps of a template.
func (f *fields) fill(template string) (string, error) {
	filled := spanPattern.ReplaceAllStringFunc(template, func(span string) string {
		parts := spanPattern.FindStringSubmatch(span)
		return f.fillSpan(parts[1], parts[2])
	})
	missing := ""
	filled = gapPattern.ReplaceAllStringFunc(filled, func(gap string) string {
		name := gapPattern.FindStringSubmatch(gap)[1]
		value, known := f.values[name]
		if !known {
			missing = name
		}
		return value
	})
	if missing != "" || strings.Contains(filled, "{{") {
		return "", fmt.Errorf("a gap of the template is unknown: %q", missing)
	}
	return filled, nil
}

// fillSpan repeats a span for each entry of a list or table.
func (f *fields) fillSpan(name, body string) string {
	var written strings.Builder
	write := func(key, entry string, last bool) {
		comma := ","
		if last {
			comma = ""
		}
		written.WriteString(strings.NewReplacer("{{.}}", entry, "{{@}}", key, "{{,}}", comma).Replace(body))
	}
	for index, entry := range f.lists[name] {
		write(fmt.Sprint(index), entry, index == len(f.lists[name])-1)
	}
	keys := slices.Sorted(maps.Keys(f.tables[name]))
	for index, key := range keys {
		write(key, f.tables[name][key], index == len(keys)-1)
	}
	return written.String()
}
