package merlinctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// Kinds of documents.
const (
	kindTemplate = "Template"
	kindTenant   = "Tenant"
	kindService  = "Service"
)

// document is one YAML document of an applied file. It declares one object.
type document struct {
	Kind   string          `json:"kind"`
	Tenant string          `json:"tenant,omitempty"`
	Name   string          `json:"name"`
	Spec   json.RawMessage `json:"spec"`

	// location is the file, number and line of the document, for messages.
	location string
	// Only the field of the document's kind is set.
	template state.TemplateSpec
	tenant   state.TenantSpec
	service  adminapi.ServiceSpec
}

// objectName returns the kind and name of the object, for messages.
func (document *document) objectName() string {
	if document.Kind == kindService {
		return fmt.Sprintf("%s %s/%s", document.Kind, document.Tenant, document.Name)
	}
	return fmt.Sprintf("%s %s", document.Kind, document.Name)
}

func (document *document) serviceKey() state.ServiceKey {
	return state.ServiceKey{Tenant: model.TenantName(document.Tenant), Name: document.Name}
}

// readDocuments reads all documents of a YAML file and skips empty ones. An error in one document
// fails the whole file, so that no part of it is applied.
func readDocuments(name string, content io.Reader) ([]*document, error) {
	var documents []*document
	decoder := yaml.NewDecoder(content)
	for number := 1; ; number++ {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, faults.New(faults.CodeUsage, "%s: %v", name, err)
		}
		if isEmpty(&node) {
			continue
		}
		location := fmt.Sprintf("%s: document %d (line %d)", name, number, node.Content[0].Line)
		parsed, err := readDocument(&node)
		if err != nil {
			return nil, faults.New(faults.CodeUsage, "%s: %v", location, err)
		}
		parsed.location = location
		documents = append(documents, parsed)
	}
	if len(documents) == 0 {
		return nil, faults.New(faults.CodeUsage, "%s holds no document", name)
	}
	return documents, nil
}

func isEmpty(node *yaml.Node) bool {
	return len(node.Content) == 0 || node.Content[0].Tag == "!!null"
}

func readDocument(node *yaml.Node) (*document, error) {
	var value any
	if err := node.Decode(&value); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("a mapping key is not a string: %w", err)
	}
	parsed := &document{}
	if err := decodeStrict(encoded, parsed); err != nil {
		return nil, err
	}
	if parsed.Name == "" {
		return nil, errors.New("name is missing")
	}
	if (parsed.Kind == kindService) != (parsed.Tenant != "") {
		return nil, errors.New("tenant belongs to a Service: it is required there and not allowed in other kinds")
	}
	if len(parsed.Spec) == 0 {
		return nil, errors.New("spec is missing")
	}
	return parsed, parsed.decodeSpec()
}

func (document *document) decodeSpec() error {
	switch document.Kind {
	case kindTemplate:
		return decodeStrict(document.Spec, &document.template)
	case kindTenant:
		return decodeStrict(document.Spec, &document.tenant)
	case kindService:
		return decodeStrict(document.Spec, &document.service)
	}
	return fmt.Errorf("kind %q is not %s, %s or %s", document.Kind, kindTemplate, kindTenant, kindService)
}

// decodeStrict decodes JSON into a value and refuses unknown fields.
func decodeStrict(encoded []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
