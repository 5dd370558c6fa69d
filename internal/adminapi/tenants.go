package adminapi

import (
	"net/http"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

func (server *api) listTenants(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	identity := contextIdentity(request)
	var visible []*state.Tenant
	for _, tenant := range view.Tenants() {
		if identity.MayUse(tenant.Name) {
			visible = append(visible, tenant)
		}
	}
	name := func(tenant *state.Tenant) string { return string(tenant.Name) }
	show := func(tenant *state.Tenant) *state.Tenant { return tenant }
	page, err := pageOf(request, view.Configuration.Revision, visible, name, show)
	if err != nil {
		return err
	}
	return writeJSON(writer, http.StatusOK, page)
}

func (server *api) getTenant(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	tenant, known := view.Tenant(tenantOf(request))
	if !known {
		return faults.New(faults.CodeNotFound, "there is no tenant %q", string(tenantOf(request)))
	}
	return writeObject(writer, request, tenant.Revision, tenant)
}

func (server *api) putTenant(writer http.ResponseWriter, request *http.Request) error {
	body, err := readBody(writer, request, contentTypeJSON, maximumBodyBytes)
	if err != nil {
		return err
	}
	command := state.PutTenant{Name: tenantOf(request)}
	if err := decodeBody(body, &command.Spec); err != nil {
		return err
	}
	if isDryRun(request) {
		return writeDryRun(writer, state.CheckTenant(command.Spec))
	}
	if command.Change, err = parseChange(request, body); err != nil {
		return err
	}
	return server.change(writer, request, command, currentTenant(command.Name))
}

func (server *api) deleteTenant(writer http.ResponseWriter, request *http.Request) error {
	change, err := parseChange(request, nil)
	if err != nil {
		return err
	}
	command := state.DeleteTenant{Change: change, Name: tenantOf(request)}
	return server.change(writer, request, command, currentTenant(command.Name))
}

func currentTenant(name model.TenantName) currentValue {
	return func(view *state.View) (model.Revision, any) {
		tenant, known := view.Tenant(name)
		if !known {
			return 0, nil
		}
		return tenant.Revision, tenant
	}
}
