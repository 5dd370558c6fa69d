package adminapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// router returns the handler of all paths, each with the role that it needs.
func (server *api) router() http.Handler {
	router := chi.NewRouter()
	router.Use(server.assignRequestID, server.recoverPanic, server.authenticate)
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		server.fail(writer, request, faults.New(faults.CodeNotFound, "there is no path %s", request.URL.Path))
	})
	router.MethodNotAllowed(func(writer http.ResponseWriter, request *http.Request) {
		server.fail(writer, request, faults.New(faults.CodeMethodNotAllowed, "%s does not support %s", request.URL.Path, request.Method))
	})
	router.Route("/v1", func(router chi.Router) {
		server.routeTemplates(router)
		server.routeTenants(router)
		server.routeServices(router)
		server.routeTargets(router)
		server.routeGroup(router)
	})
	return router
}

func (server *api) routeTemplates(router chi.Router) {
	router.Get("/templates", server.requireRole(auth.RoleViewer, server.listTemplates))
	router.Get("/templates/{template}", server.requireRole(auth.RoleViewer, server.getTemplate))
	router.Get("/templates/{template}/versions/{version}", server.requireRole(auth.RoleViewer, server.getTemplateVersion))
	router.Put("/templates/{template}", server.requireGlobalRole(auth.RoleAdmin, server.putTemplate))
	router.Delete("/templates/{template}", server.requireGlobalRole(auth.RoleAdmin, server.deleteTemplate))
}

func (server *api) routeTenants(router chi.Router) {
	router.Get("/tenants", server.requireRole(auth.RoleViewer, server.listTenants))
	router.Get("/tenants/{tenant}", server.requireTenantRole(auth.RoleViewer, server.getTenant))
	router.Put("/tenants/{tenant}", server.requireGlobalRole(auth.RoleAdmin, server.putTenant))
	router.Delete("/tenants/{tenant}", server.requireGlobalRole(auth.RoleAdmin, server.deleteTenant))
}

func (server *api) routeServices(router chi.Router) {
	router.Get("/services", server.requireRole(auth.RoleViewer, server.listServices))
	router.Get("/tenants/{tenant}/services", server.requireTenantRole(auth.RoleViewer, server.listTenantServices))
	router.Get("/tenants/{tenant}/services/{service}", server.requireTenantRole(auth.RoleViewer, server.getService))
	router.Put("/tenants/{tenant}/services/{service}", server.requireTenantRole(auth.RoleOperator, server.putService))
	router.Delete("/tenants/{tenant}/services/{service}", server.requireTenantRole(auth.RoleOperator, server.deleteService))
}

func (server *api) routeTargets(router chi.Router) {
	const targets = "/tenants/{tenant}/services/{service}/targets"
	router.Get(targets, server.requireTenantRole(auth.RoleViewer, server.listTargets))
	router.Get(targets+"/{target}", server.requireTenantRole(auth.RoleViewer, server.getTarget))
	router.Post(targets+"/{target}/drain", server.requireTenantRole(auth.RoleOperator, server.drainTarget))
	router.Post(targets+"/{target}/undrain", server.requireTenantRole(auth.RoleOperator, server.undrainTarget))
}

func (server *api) routeGroup(router chi.Router) {
	router.Get("/rollout", server.requireRole(auth.RoleViewer, server.getRollout))
	router.Get("/status", server.requireRole(auth.RoleViewer, server.getStatus))
	router.Get("/members", server.requireGlobalRole(auth.RoleViewer, server.listMembers))
	router.Post("/members", server.requireGlobalRole(auth.RoleAdmin, server.addMember))
	router.Post("/members/{member}/promote", server.requireGlobalRole(auth.RoleAdmin, server.promoteMember))
	router.Delete("/members/{member}", server.requireGlobalRole(auth.RoleAdmin, server.removeMember))
	router.Post("/leadership/transfer", server.requireGlobalRole(auth.RoleAdmin, server.transferLeadership))
	router.Get("/backup", server.requireGlobalRole(auth.RoleAdmin, server.getBackup))
	router.Post("/restore", server.requireGlobalRole(auth.RoleAdmin, server.restore))
}

// tenantOf returns the tenant in the path.
func tenantOf(request *http.Request) model.TenantName {
	return model.TenantName(chi.URLParam(request, "tenant"))
}
