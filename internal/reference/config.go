package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"time"

	"merlinpaddle/internal/settings"
)

const configHeader = `# Settings

Each process has one YAML file. The file overrides the defaults, environment
variables (MERLINPADDLE_BALANCER__WORKERS for balancer.workers) override the
file, and ` + "`--set section.key=value`" + ` overrides both. Unknown keys and values
that break a rule are rejected with file, field and value;
` + "`merlinpaddle config check`" + ` checks a file and ` + "`merlinpaddle config print`" + `
shows the settings in force. Durations have a unit, as in 500ms. In rules, the
bounds of durations are in nanoseconds.

This page is generated from the code by ` + "`merlinpaddle reference config`" + `; a
test keeps the two equal.

| key | type | default | rule | meaning |
|---|---|---|---|---|
`

// fieldComments holds the doc comment of each field, by the names of its struct and of the field.
type fieldComments map[string]map[string]string

// Config returns the reference page of settings. It fails only if the settings' source cannot be
// parsed.
func Config() (string, error) {
	comments, err := readComments(settings.Source)
	if err != nil {
		return "", err
	}
	var page strings.Builder
	page.WriteString(configHeader)
	writeFields(&page, comments, "", reflect.ValueOf(settings.Default()))
	return page.String(), nil
}

func readComments(source string) (fieldComments, error) {
	parsed, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		return nil, fmt.Errorf("parse the settings' source: %w", err)
	}
	comments := make(fieldComments)
	ast.Inspect(parsed, func(node ast.Node) bool {
		declared, isType := node.(*ast.TypeSpec)
		if !isType {
			return true
		}
		structure, isStruct := declared.Type.(*ast.StructType)
		if isStruct {
			comments[declared.Name.Name] = readFieldComments(structure)
		}
		return true
	})
	return comments, nil
}

func readFieldComments(structure *ast.StructType) map[string]string {
	found := make(map[string]string)
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			found[name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
		}
	}
	return found
}

func writeFields(page *strings.Builder, comments fieldComments, prefix string, value reflect.Value) {
	structure := value.Type()
	for index := range structure.NumField() {
		field := structure.Field(index)
		key := prefix + field.Tag.Get("koanf")
		if isSection(field.Type) {
			writeFields(page, comments, key+".", value.Field(index))
			continue
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s |\n", key, typeName(field.Type),
			defaultText(value.Field(index)), field.Tag.Get("validate"), comments[structure.Name()][field.Name])
		if field.Type.Kind() == reflect.Slice && isSection(field.Type.Elem()) {
			writeFields(page, comments, key+"[].", reflect.Zero(field.Type.Elem()))
		}
	}
}

func isSection(fieldType reflect.Type) bool { return fieldType.Kind() == reflect.Struct }

func typeName(fieldType reflect.Type) string {
	switch {
	case fieldType == reflect.TypeFor[time.Duration]():
		return "duration"
	case fieldType.Kind() == reflect.Slice:
		return "list of " + typeName(fieldType.Elem())
	case fieldType.Kind() == reflect.Struct:
		return strings.ToLower(fieldType.Name())
	default:
		return fieldType.Kind().String()
	}
}

func defaultText(value reflect.Value) string {
	if value.IsZero() {
		return "-"
	}
	return fmt.Sprint(value.Interface())
}
