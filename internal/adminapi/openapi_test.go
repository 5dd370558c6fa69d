package adminapi_test

import (
	"net/http"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/state"
)

const openAPIFile = "../../docs/openapi.yaml"

// reference is a reference to a component. Ref is empty for an inline definition.
type reference struct {
	Ref string `yaml:"$ref"`
}

// operation is the part of an OpenAPI operation that the tests check.
type operation struct {
	OperationID string               `yaml:"operationId"`
	Parameters  []reference          `yaml:"parameters"`
	Responses   map[string]yaml.Node `yaml:"responses"`
}

// pathItem is one OpenAPI path with its operations.
type pathItem struct {
	Parameters []reference `yaml:"parameters"`
	Get        *operation  `yaml:"get"`
	Put        *operation  `yaml:"put"`
	Post       *operation  `yaml:"post"`
	Delete     *operation  `yaml:"delete"`
}

// parameter is one parameter of the components.
type parameter struct {
	Name string `yaml:"name"`
	In   string `yaml:"in"`
}

// schema is one schema of the components.
type schema struct {
	Properties map[string]yaml.Node `yaml:"properties"`
}

// openAPI is the part of the OpenAPI document that the tests check.
type openAPI struct {
	Paths      map[string]pathItem `yaml:"paths"`
	Components struct {
		Parameters map[string]parameter `yaml:"parameters"`
		Responses  map[string]yaml.Node `yaml:"responses"`
		Schemas    map[string]schema    `yaml:"schemas"`
	} `yaml:"components"`
}

// readOpenAPI returns the OpenAPI document, decoded and as text.
func readOpenAPI(t *testing.T) (openAPI, string) {
	t.Helper()
	content, err := os.ReadFile(openAPIFile)
	require.NoError(t, err)
	var document openAPI
	require.NoError(t, yaml.Unmarshal(content, &document))
	return document, string(content)
}

// operations returns the operations of the path, by method.
func (item pathItem) operations() map[string]*operation {
	all := map[string]*operation{http.MethodGet: item.Get, http.MethodPut: item.Put, http.MethodPost: item.Post, http.MethodDelete: item.Delete}
	for method, operation := range all {
		if operation == nil {
			delete(all, method)
		}
	}
	return all
}

func TestOpenAPIPathsMatchTheRouter(t *testing.T) {
	document, _ := readOpenAPI(t)
	var documented []string
	for path, item := range document.Paths {
		for method := range item.operations() {
			documented = append(documented, method+" "+path)
		}
	}
	var routed []string
	router, isRouter := newFixture(t).handler.(chi.Routes)
	require.True(t, isRouter)
	require.NoError(t, chi.Walk(router, func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		routed = append(routed, method+" "+route)
		return nil
	}))
	slices.Sort(documented)
	slices.Sort(routed)
	require.Equal(t, routed, documented)
}

var pathParameterPattern = regexp.MustCompile(`\{([a-z]+)\}`)

func TestOpenAPIParametersMatchTheirPaths(t *testing.T) {
	document, _ := readOpenAPI(t)
	for path, item := range document.Paths {
		var inPath, declared []string
		for _, match := range pathParameterPattern.FindAllStringSubmatch(path, -1) {
			inPath = append(inPath, match[1])
		}
		for _, used := range item.Parameters {
			declared = append(declared, document.Components.Parameters[lastSegment(used.Ref)].Name)
		}
		require.Equal(t, inPath, declared, path)
		for method, operation := range item.operations() {
			require.NotEmpty(t, operation.OperationID, path)
			require.Contains(t, operation.Responses, "default", "%s %s", method, path)
			require.Greater(t, len(operation.Responses), 1, "%s %s", method, path)
		}
	}
}

func lastSegment(reference string) string { return reference[strings.LastIndex(reference, "/")+1:] }

var referencePattern = regexp.MustCompile(`#/components/(\w+)/(\w+)`)

func TestOpenAPIReferencesResolve(t *testing.T) {
	document, text := readOpenAPI(t)
	used := make(map[string]bool)
	for _, match := range referencePattern.FindAllStringSubmatch(text, -1) {
		used[match[1]+"/"+match[2]] = true
		switch match[1] {
		case "parameters":
			require.Contains(t, document.Components.Parameters, match[2])
		case "responses":
			require.Contains(t, document.Components.Responses, match[2])
		case "schemas":
			require.Contains(t, document.Components.Schemas, match[2])
		}
	}
	for name := range document.Components.Parameters {
		require.True(t, used["parameters/"+name], "parameter %s is not used", name)
	}
}

func TestOpenAPISchemasMatchTheGoTypes(t *testing.T) {
	document, _ := readOpenAPI(t)
	types := map[string]any{
		"ChangeAnswer":        adminapi.ChangeAnswer{},
		"Problem":             adminapi.Problem{},
		"FieldError":          state.FieldError{},
		"ParameterDefinition": state.ParameterDefinition{},
		"RuleTemplate":        state.RuleTemplate{},
		"ClassWeight":         state.ClassWeight{},
		"LimitValues":         state.LimitValues{},
		"TemplateSpec":        state.TemplateSpec{},
		"TemplateVersion":     state.TemplateVersion{},
		"Template":            state.Template{},
		"TemplateSummary":     adminapi.TemplateSummary{},
		"TenantSpec":          state.TenantSpec{},
		"Tenant":              state.Tenant{},
		"TemplateRef":         adminapi.TemplateRef{},
		"ServiceSpec":         adminapi.ServiceSpec{},
		"Service":             adminapi.Service{},
		"TargetParameter":     state.TargetParameter{},
		"BucketUse":           state.BucketUse{},
		"Load":                adminapi.Load{},
		"Target":              adminapi.Target{},
		"RolloutNode":         adminapi.RolloutNode{},
		"Rollout":             adminapi.Rollout{},
		"Member":              adminapi.Member{},
		"Members":             adminapi.Members{},
		"NewMember":           adminapi.NewMember{},
		"MemberAnswer":        adminapi.MemberAnswer{},
		"ClaimStatus":         state.ClaimStatus{},
		"Status":              adminapi.Status{},
		"TemplatePage":        adminapi.Page[adminapi.TemplateSummary]{},
		"TenantPage":          adminapi.Page[state.Tenant]{},
		"ServicePage":         adminapi.Page[adminapi.Service]{},
		"TargetPage":          adminapi.Page[adminapi.Target]{},
	}
	for name, schema := range document.Components.Schemas {
		if len(schema.Properties) == 0 {
			continue
		}
		value, known := types[name]
		require.True(t, known, "schema %s has no type in the code", name)
		var documented []string
		for property := range schema.Properties {
			documented = append(documented, property)
		}
		require.ElementsMatch(t, fieldsOf(reflect.TypeOf(value)), documented, name)
		delete(types, name)
	}
	require.Empty(t, types, "types without a schema")
}

// fieldsOf returns the JSON names of the fields of a struct type.
func fieldsOf(structure reflect.Type) []string {
	var fields []string
	for index := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(index).Tag.Get("json"), ",")
		fields = append(fields, name)
	}
	return fields
}
