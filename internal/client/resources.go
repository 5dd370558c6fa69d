package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// pageLimit is the number of items that list requests for each page.
const pageLimit = 500

// path returns the path of escaped segments below /v1.
func path(segments ...string) string {
	escaped := make([]string, 0, len(segments))
	for _, segment := range segments {
		escaped = append(escaped, url.PathEscape(segment))
	}
	return "/v1/" + strings.Join(escaped, "/")
}

// fetch executes the call and decodes the JSON body of its answer.
func fetch[Value any](ctx context.Context, client *Client, call apiCall) (Value, error) {
	var value Value
	received, err := client.do(ctx, call)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(received.body, &value); err != nil {
		return value, faults.New(faults.CodeInternalFault, "the member's answer cannot be decoded: %v", err)
	}
	return value, nil
}

// get reads the value at a path.
func get[Value any](ctx context.Context, client *Client, path string, query url.Values) (Value, error) {
	return fetch[Value](ctx, client, apiCall{method: http.MethodGet, path: path, query: query})
}

// list reads all pages of the list at a path.
func list[Item any](ctx context.Context, client *Client, path string) ([]Item, error) {
	items := []Item{}
	query := url.Values{"limit": {strconv.Itoa(pageLimit)}}
	for {
		page, err := get[adminapi.Page[Item]](ctx, client, path, query)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if page.NextCursor == "" {
			return items, nil
		}
		query.Set("cursor", page.NextCursor)
	}
}

// put creates or changes the value at a path.
func (client *Client) put(ctx context.Context, path string, change Change, value any) (adminapi.ChangeAnswer, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return adminapi.ChangeAnswer{}, fmt.Errorf("encode the change: %w", err)
	}
	return fetch[adminapi.ChangeAnswer](ctx, client, apiCall{method: http.MethodPut, path: path, body: body, contentType: "application/json", header: change.header()})
}

// dryRun validates a change of the value at a path without committing it.
func (client *Client) dryRun(ctx context.Context, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode the change: %w", err)
	}
	_, err = client.do(ctx, apiCall{method: http.MethodPut, path: path, query: url.Values{"dry_run": {"true"}}, body: body, contentType: "application/json"})
	return err
}

// remove deletes the value at a path.
func (client *Client) remove(ctx context.Context, path string, query url.Values, change Change) (adminapi.ChangeAnswer, error) {
	return fetch[adminapi.ChangeAnswer](ctx, client, apiCall{method: http.MethodDelete, path: path, query: query, header: change.header()})
}

// Templates returns all templates.
func (client *Client) Templates(ctx context.Context) ([]adminapi.TemplateSummary, error) {
	return list[adminapi.TemplateSummary](ctx, client, path("templates"))
}

// Template returns a template with its versions.
func (client *Client) Template(ctx context.Context, name string) (state.Template, error) {
	return get[state.Template](ctx, client, path("templates", name), nil)
}

// PutTemplate creates a template, or a new version of it.
func (client *Client) PutTemplate(ctx context.Context, name string, change Change, spec state.TemplateSpec) (adminapi.ChangeAnswer, error) {
	return client.put(ctx, path("templates", name), change, spec)
}

// CheckTemplate validates a template without changing anything.
func (client *Client) CheckTemplate(ctx context.Context, name string, spec state.TemplateSpec) error {
	return client.dryRun(ctx, path("templates", name), spec)
}

// DeleteTemplate removes a template that no service uses.
func (client *Client) DeleteTemplate(ctx context.Context, name string, change Change) (adminapi.ChangeAnswer, error) {
	return client.remove(ctx, path("templates", name), nil, change)
}

// Tenants returns the tenants that the token may see.
func (client *Client) Tenants(ctx context.Context) ([]state.Tenant, error) {
	return list[state.Tenant](ctx, client, path("tenants"))
}

// Tenant returns one tenant.
func (client *Client) Tenant(ctx context.Context, name model.TenantName) (state.Tenant, error) {
	return get[state.Tenant](ctx, client, path("tenants", string(name)), nil)
}

// PutTenant creates or changes a tenant.
func (client *Client) PutTenant(ctx context.Context, name model.TenantName, change Change, spec state.TenantSpec) (adminapi.ChangeAnswer, error) {
	return client.put(ctx, path("tenants", string(name)), change, spec)
}

// CheckTenant validates a tenant without changing anything.
func (client *Client) CheckTenant(ctx context.Context, name model.TenantName, spec state.TenantSpec) error {
	return client.dryRun(ctx, path("tenants", string(name)), spec)
}

// DeleteTenant removes a tenant that has no services.
func (client *Client) DeleteTenant(ctx context.Context, name model.TenantName, change Change) (adminapi.ChangeAnswer, error) {
	return client.remove(ctx, path("tenants", string(name)), nil, change)
}

func servicePath(key state.ServiceKey) string {
	return path("tenants", string(key.Tenant), "services", key.Name)
}

// Services returns the services that the token may see.
func (client *Client) Services(ctx context.Context) ([]adminapi.Service, error) {
	return list[adminapi.Service](ctx, client, path("services"))
}

// TenantServices returns the services of one tenant.
func (client *Client) TenantServices(ctx context.Context, tenant model.TenantName) ([]adminapi.Service, error) {
	return list[adminapi.Service](ctx, client, path("tenants", string(tenant), "services"))
}

// Service returns one service.
func (client *Client) Service(ctx context.Context, key state.ServiceKey) (adminapi.Service, error) {
	return get[adminapi.Service](ctx, client, servicePath(key), nil)
}

// PutService creates or changes a service.
func (client *Client) PutService(ctx context.Context, key state.ServiceKey, change Change, spec adminapi.ServiceSpec) (adminapi.ChangeAnswer, error) {
	return client.put(ctx, servicePath(key), change, spec)
}

// CheckService validates a service without changing anything.
func (client *Client) CheckService(ctx context.Context, key state.ServiceKey, spec adminapi.ServiceSpec) error {
	return client.dryRun(ctx, servicePath(key), spec)
}

// DeleteService removes a service once its flows have ended, or immediately if
// force is set.
func (client *Client) DeleteService(ctx context.Context, key state.ServiceKey, change Change, force bool) (adminapi.ChangeAnswer, error) {
	query := url.Values{}
	if force {
		query.Set("force", "true")
	}
	return client.remove(ctx, servicePath(key), query, change)
}

func targetPath(key state.TargetKey, action ...string) string {
	return path(append([]string{"tenants", string(key.Tenant), "services", key.Service, "targets", key.Name}, action...)...)
}

// Targets returns the targets of a service.
func (client *Client) Targets(ctx context.Context, key state.ServiceKey) ([]adminapi.Target, error) {
	return list[adminapi.Target](ctx, client, servicePath(key)+"/targets")
}

// Target returns one target with the buckets and the load that it still has.
func (client *Client) Target(ctx context.Context, key state.TargetKey) (adminapi.Target, error) {
	return get[adminapi.Target](ctx, client, targetPath(key), nil)
}

// Drain drains a target: it gets no new flows.
func (client *Client) Drain(ctx context.Context, key state.TargetKey, change Change) (adminapi.ChangeAnswer, error) {
	return fetch[adminapi.ChangeAnswer](ctx, client, apiCall{method: http.MethodPost, path: targetPath(key, "drain"), header: change.header()})
}

// Undrain lets a target get new flows again.
func (client *Client) Undrain(ctx context.Context, key state.TargetKey, change Change) (adminapi.ChangeAnswer, error) {
	return fetch[adminapi.ChangeAnswer](ctx, client, apiCall{method: http.MethodPost, path: targetPath(key, "undrain"), header: change.header()})
}

// Rollout returns the progress of the configuration's rollout. If revision is not
// zero, it first waits until that revision is in force, for at most wait.
func (client *Client) Rollout(ctx context.Context, revision model.Revision, wait time.Duration) (adminapi.Rollout, error) {
	query := url.Values{}
	if revision > 0 {
		query.Set("revision", strconv.FormatUint(uint64(revision), 10))
	}
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	return get[adminapi.Rollout](ctx, client, path("rollout"), query)
}
