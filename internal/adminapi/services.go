package adminapi

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// TemplateRef names the template of a service. Without a version the service gets the latest version
// and keeps it when a later one is added.
type TemplateRef struct {
	Name    string `json:"name"`
	Version uint32 `json:"version,omitempty"`
}

// ServiceSpec is the declared configuration of a service.
type ServiceSpec struct {
	Template TemplateRef `json:"template"`
	// Parameters are the values of the template's parameters, by the names that the template declares.
	Parameters map[string]json.RawMessage `json:"parameters"`
}

// parameterList returns the parameters in order of name, so that equal requests result in equal
// commands.
func (spec ServiceSpec) parameterList() []state.Parameter {
	var parameters []state.Parameter
	for _, name := range slices.Sorted(maps.Keys(spec.Parameters)) {
		parameters = append(parameters, state.Parameter{Name: name, Value: spec.Parameters[name]})
	}
	return parameters
}

// Service is a service as the API shows it.
type Service struct {
	Tenant   model.TenantName   `json:"tenant"`
	Name     string             `json:"name"`
	ID       model.ServiceID    `json:"id"`
	Spec     ServiceSpec        `json:"spec"`
	Protocol state.ProtocolName `json:"protocol"`
	Address  string             `json:"address"`
	// Targets is the number of targets, including those that are being removed.
	Targets int `json:"targets"`
	// Removing reports whether the service is deleted and waits for its flows to end.
	Removing  bool           `json:"removing,omitempty"`
	Revision  model.Revision `json:"revision"`
	UpdatedBy string         `json:"updated_by,omitempty"`
	UpdatedAt time.Time      `json:"updated_at"`
}

func showService(view *state.View, record *state.ServiceRecord) Service {
	configured := view.Configuration.Services[record.ID]
	parameters := make(map[string]json.RawMessage, len(record.Parameters))
	for _, parameter := range record.Parameters {
		parameters[parameter.Name] = parameter.Value
	}
	return Service{
		Tenant:    record.Key.Tenant,
		Name:      record.Key.Name,
		ID:        record.ID,
		Spec:      ServiceSpec{Template: TemplateRef(record.Template), Parameters: parameters},
		Protocol:  state.NameOfProtocol(configured.Protocol),
		Address:   configured.Address.String(),
		Targets:   len(record.Targets),
		Removing:  record.Removing,
		Revision:  record.Revision,
		UpdatedBy: record.UpdatedBy,
		UpdatedAt: record.UpdatedAt,
	}
}

func (server *api) listServices(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	identity := contextIdentity(request)
	visible := slices.DeleteFunc(view.Services(), func(record *state.ServiceRecord) bool { return !identity.MayUse(record.Key.Tenant) })
	return writeServicePage(writer, request, view, visible)
}

func (server *api) listTenantServices(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	if _, known := view.Tenant(tenantOf(request)); !known {
		return faults.New(faults.CodeNotFound, "there is no tenant %q", string(tenantOf(request)))
	}
	return writeServicePage(writer, request, view, view.TenantServices(tenantOf(request)))
}

func writeServicePage(writer http.ResponseWriter, request *http.Request, view *state.View, records []*state.ServiceRecord) error {
	// No name has a zero byte, so this text sorts in the order of the records: by tenant, then by name.
	name := func(record *state.ServiceRecord) string { return string(record.Key.Tenant) + "\x00" + record.Key.Name }
	show := func(record *state.ServiceRecord) Service { return showService(view, record) }
	page, err := pageOf(request, view.Configuration.Revision, records, name, show)
	if err != nil {
		return err
	}
	return writeJSON(writer, http.StatusOK, page)
}

func serviceKeyOf(request *http.Request) state.ServiceKey {
	return state.ServiceKey{Tenant: tenantOf(request), Name: chi.URLParam(request, "service")}
}

// service returns the service in the path, with the view that it was read from.
func (server *api) service(request *http.Request) (*state.View, *state.ServiceRecord, error) {
	view, err := server.view(request)
	if err != nil {
		return nil, nil, err
	}
	key := serviceKeyOf(request)
	record, known := view.Service(key)
	if !known {
		return nil, nil, faults.New(faults.CodeNotFound, "there is no service %q of tenant %q", key.Name, string(key.Tenant))
	}
	return view, record, nil
}

func (server *api) getService(writer http.ResponseWriter, request *http.Request) error {
	view, record, err := server.service(request)
	if err != nil {
		return err
	}
	return writeObject(writer, request, record.Revision, showService(view, record))
}

func (server *api) putService(writer http.ResponseWriter, request *http.Request) error {
	body, err := readBody(writer, request, contentTypeJSON, maximumBodyBytes)
	if err != nil {
		return err
	}
	var spec ServiceSpec
	if err := decodeBody(body, &spec); err != nil {
		return err
	}
	key := serviceKeyOf(request)
	command := state.PutService{
		Tenant:     key.Tenant,
		Name:       key.Name,
		Template:   model.TemplateReference(spec.Template),
		Parameters: spec.parameterList(),
	}
	if isDryRun(request) {
		return server.dryRunService(writer, request, command)
	}
	if command.Change, err = parseChange(request, body); err != nil {
		return err
	}
	return server.change(writer, request, command, currentService(key))
}

func (server *api) dryRunService(writer http.ResponseWriter, request *http.Request, command state.PutService) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	if result := view.CheckService(command); !result.Applied() {
		return resultRefusal(result)
	}
	return writeJSON(writer, http.StatusOK, DryRunAnswer{Valid: true})
}

func (server *api) deleteService(writer http.ResponseWriter, request *http.Request) error {
	change, err := parseChange(request, nil)
	if err != nil {
		return err
	}
	key := serviceKeyOf(request)
	command := state.DeleteService{
		Change: change,
		Tenant: key.Tenant,
		Name:   key.Name,
		Force:  request.URL.Query().Get("force") == "true",
	}
	return server.change(writer, request, command, currentService(key))
}

func currentService(key state.ServiceKey) currentValue {
	return func(view *state.View) (model.Revision, any) {
		record, known := view.Service(key)
		if !known {
			return 0, nil
		}
		return record.Revision, showService(view, record)
	}
}
