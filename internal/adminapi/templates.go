package adminapi

import (
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// TemplateSummary is one template in a list.
type TemplateSummary struct {
	Name          string             `json:"name"`
	Revision      model.Revision     `json:"revision"`
	LatestVersion uint32             `json:"latest_version"`
	Protocol      state.ProtocolName `json:"protocol"`
	Description   string             `json:"description,omitempty"`
}

func summarizeTemplate(template *state.Template) TemplateSummary {
	latest := template.Latest()
	return TemplateSummary{
		Name:          template.Name,
		Revision:      template.Revision,
		LatestVersion: latest.Version,
		Protocol:      latest.Spec.Protocol,
		Description:   latest.Spec.Description,
	}
}

func (server *api) listTemplates(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	name := func(template *state.Template) string { return template.Name }
	page, err := pageOf(request, view.Configuration.Revision, view.Templates(), name, summarizeTemplate)
	if err != nil {
		return err
	}
	return writeJSON(writer, http.StatusOK, page)
}

func (server *api) getTemplate(writer http.ResponseWriter, request *http.Request) error {
	template, err := server.template(request)
	if err != nil {
		return err
	}
	return writeObject(writer, request, template.Revision, template)
}

// template returns the template in the path.
func (server *api) template(request *http.Request) (*state.Template, error) {
	view, err := server.view(request)
	if err != nil {
		return nil, err
	}
	name := chi.URLParam(request, "template")
	template, known := view.Template(name)
	if !known {
		return nil, faults.New(faults.CodeNotFound, "there is no template %q", name)
	}
	return template, nil
}

func (server *api) getTemplateVersion(writer http.ResponseWriter, request *http.Request) error {
	template, err := server.template(request)
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(chi.URLParam(request, "version"), 10, 32)
	if err != nil || number == 0 {
		return fieldRefusal(faults.CodeMalformedRequest, "version", "must be a positive number")
	}
	version, known := template.Find(uint32(number))
	if !known {
		return faults.New(faults.CodeNotFound, "template %q has no version %d", template.Name, number)
	}
	return writeObject(writer, request, version.Revision, version)
}

func (server *api) putTemplate(writer http.ResponseWriter, request *http.Request) error {
	body, err := readBody(writer, request, contentTypeJSON, maximumBodyBytes)
	if err != nil {
		return err
	}
	command := state.PutTemplate{Name: chi.URLParam(request, "template")}
	if err := decodeBody(body, &command.Spec); err != nil {
		return err
	}
	if isDryRun(request) {
		return writeDryRun(writer, state.CheckTemplate(command.Spec))
	}
	if command.Change, err = parseChange(request, body); err != nil {
		return err
	}
	return server.change(writer, request, command, currentTemplate(command.Name))
}

func (server *api) deleteTemplate(writer http.ResponseWriter, request *http.Request) error {
	change, err := parseChange(request, nil)
	if err != nil {
		return err
	}
	command := state.DeleteTemplate{Change: change, Name: chi.URLParam(request, "template")}
	return server.change(writer, request, command, currentTemplate(command.Name))
}

func currentTemplate(name string) currentValue {
	return func(view *state.View) (model.Revision, any) {
		template, known := view.Template(name)
		if !known {
			return 0, nil
		}
		return template.Revision, template
	}
}

// DryRunAnswer is the response body of a dry run whose change passed the checks.
type DryRunAnswer struct {
	Valid bool `json:"valid"`
}

// isDryRun reports whether the request asks for a check of the change without committing it.
func isDryRun(request *http.Request) bool { return request.URL.Query().Get("dry_run") == "true" }

// writeDryRun answers a dry run, given the errors that the check found.
func writeDryRun(writer http.ResponseWriter, errors []state.FieldError) error {
	if len(errors) > 0 {
		return refusal{error: faults.New(faults.CodeInvalidField, "the change is not valid"), fields: errors}
	}
	return writeJSON(writer, http.StatusOK, DryRunAnswer{Valid: true})
}
