package adminapi_test

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/adminapi/apitest"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

func TestTemplateVersions(t *testing.T) {
	fixture := seededFixture(t)
	first := fixture.get(viewerToken, "/v1/templates/web")
	second := fixture.put("/v1/templates/web", first.header.Get("ETag"), templateBody)
	require.EqualValues(t, 2, second.Version)
	service := decode[adminapi.Service](t, fixture.get(viewerToken, tiplinePath))
	require.EqualValues(t, 1, service.Spec.Template.Version, "a service keeps its template version")

	version := decode[state.TemplateVersion](t, fixture.get(viewerToken, "/v1/templates/web/versions/2"))
	require.Equal(t, "alice", version.CreatedBy)
	require.Equal(t, http.StatusNotFound, fixture.get(viewerToken, "/v1/templates/web/versions/3").status)

	used := fixture.send(call{method: http.MethodDelete, path: "/v1/templates/web", token: adminToken,
		match: fixture.get(viewerToken, "/v1/templates/web").header.Get("ETag"), key: "delete"})
	require.Equal(t, http.StatusConflict, used.status)
}

func TestUnchangedObjectIsAnsweredNotModified(t *testing.T) {
	fixture := seededFixture(t)
	tag := fixture.get(viewerToken, tiplinePath).header.Get("ETag")
	again := fixture.send(call{method: http.MethodGet, path: tiplinePath, token: viewerToken, knownETag: tag})
	require.Equal(t, http.StatusNotModified, again.status)
	fixture.put(tiplinePath, tag, serviceBody("192.0.2.1:443", 3, "tip-1", "tip-2"))
	changed := fixture.send(call{method: http.MethodGet, path: tiplinePath, token: viewerToken, knownETag: tag})
	require.Equal(t, http.StatusOK, changed.status)
}

func TestPagesContinueAfterTheCursor(t *testing.T) {
	fixture := seededFixture(t)
	for index := range 7 {
		fixture.put(fmt.Sprintf("/v1/tenants/teranga/services/resa-%d", index), "*",
			serviceBody(fmt.Sprintf("192.0.2.%d:443", 20+index), 2, fmt.Sprintf("resa-target-%d", index)))
	}
	var names []string
	cursor := ""
	for {
		page := decode[adminapi.Page[adminapi.Service]](t, fixture.get(viewerToken, "/v1/services?limit=3&cursor="+url.QueryEscape(cursor)))
		for _, service := range page.Items {
			names = append(names, string(service.Tenant)+"/"+service.Name)
		}
		if page.NextCursor == "" {
			break
		}
		require.Len(t, page.Items, 3)
		cursor = page.NextCursor
	}
	require.Equal(t, []string{"riga/tipline", "teranga/resa-0", "teranga/resa-1", "teranga/resa-2",
		"teranga/resa-3", "teranga/resa-4", "teranga/resa-5", "teranga/resa-6"}, names)
}

func TestTenantTokenSeesItsOwnTenantOnly(t *testing.T) {
	fixture := seededFixture(t)
	services := decode[adminapi.Page[adminapi.Service]](t, fixture.get(terangaToken, "/v1/services"))
	require.Empty(t, services.Items)
	tenants := decode[adminapi.Page[state.Tenant]](t, fixture.get(terangaToken, "/v1/tenants"))
	require.Len(t, tenants.Items, 1)
	fixture.rollout.Set(model.RolloutStatus{Nodes: []model.NodeStatus{{Name: "tip-1"}}})
	require.Empty(t, decode[adminapi.Rollout](t, fixture.get(terangaToken, "/v1/rollout")).Nodes)
	require.Len(t, decode[adminapi.Rollout](t, fixture.get(viewerToken, "/v1/rollout")).Nodes, 1)
}

func TestIdempotencyKeysAreScopedToTheTenant(t *testing.T) {
	fixture := seededFixture(t)
	send := func(token, path, body string) reply {
		return fixture.send(call{method: http.MethodPut, path: path, token: token, body: body, match: "*", key: "same"})
	}
	require.Equal(t, http.StatusCreated, send(rigaToken, "/v1/tenants/riga/services/depot", serviceBody("192.0.2.31:443", 2, "depot-1")).status)
	require.Equal(t, http.StatusCreated, send(terangaToken, "/v1/tenants/teranga/services/resa", serviceBody("192.0.2.32:443", 2, "resa-1")).status)
}

func TestRolloutWaitsUntilTheRevisionIsInForce(t *testing.T) {
	fixture := seededFixture(t)
	committed := fixture.group.Machine.Configuration().Revision
	path := fmt.Sprintf("/v1/rollout?revision=%d", committed)
	early := decode[adminapi.Rollout](t, fixture.get(viewerToken, path))
	require.False(t, *early.Reached)
	require.Equal(t, committed, early.Committed)

	answers := make(chan reply, 1)
	go func() { answers <- fixture.get(viewerToken, path+"&wait=30s") }()
	fixture.rollout.Set(model.RolloutStatus{Committed: committed, InForce: committed})
	late := decode[adminapi.Rollout](t, <-answers)
	require.True(t, *late.Reached)
	require.Equal(t, committed, late.InForce)
}

// Tenants and templates are not part of the configuration that nodes run, so no node ever reports the
// revision of such a change. It counts as in force once the latest earlier change of the configuration
// is.
func TestRolloutOfAChangeOutsideTheConfiguration(t *testing.T) {
	fixture := seededFixture(t)
	before := fixture.group.Machine.Configuration().Revision
	changed := fixture.put("/v1/tenants/teranga-photos", "*", `{}`)
	require.Greater(t, changed.Revision, before)
	path := fmt.Sprintf("/v1/rollout?revision=%d", changed.Revision)

	fixture.rollout.Set(model.RolloutStatus{Committed: before, InForce: before - 1})
	require.False(t, *decode[adminapi.Rollout](t, fixture.get(viewerToken, path)).Reached)
	fixture.rollout.Set(model.RolloutStatus{Committed: before, InForce: before})
	require.True(t, *decode[adminapi.Rollout](t, fixture.get(viewerToken, path)).Reached)

	unknown := fmt.Sprintf("/v1/rollout?revision=%d", changed.Revision+1)
	require.False(t, *decode[adminapi.Rollout](t, fixture.get(viewerToken, unknown)).Reached, "a revision that is not committed yet is not in force")
}

func TestMembers(t *testing.T) {
	fixture := seededFixture(t)
	add := call{method: http.MethodPost, path: "/v1/members", token: adminToken, body: `{"name":"control-4"}`}
	added := fixture.send(add)
	require.Equal(t, http.StatusCreated, added.status, "%s", added.body)
	id := decode[adminapi.MemberAnswer](t, added).ID
	again := fixture.send(add)
	require.Equal(t, http.StatusOK, again.status, "a resent request must not add a second learner")
	require.Equal(t, id, decode[adminapi.MemberAnswer](t, again).ID)

	promote := call{method: http.MethodPost, path: "/v1/members/" + id + "/promote", token: adminToken}
	fixture.group.SetFaults(apitest.Faults{Membership: fmt.Errorf("connection lost")})
	unknown := decode[adminapi.Problem](t, fixture.send(promote))
	require.EqualValues(t, 4016, unknown.Code)
	fixture.group.SetFaults(apitest.Faults{})
	require.Equal(t, http.StatusOK, fixture.send(promote).status)

	members := decode[adminapi.Members](t, fixture.get(viewerToken, "/v1/members"))
	require.Equal(t, []adminapi.Member{{ID: "1", Name: "control-1", Leader: true}, {ID: id, Name: "control-4"}}, members.Items)
	require.Equal(t, http.StatusOK, fixture.send(call{method: http.MethodDelete, path: "/v1/members/" + id, token: adminToken}).status)
	require.Equal(t, http.StatusOK, fixture.send(call{method: http.MethodPost, path: "/v1/leadership/transfer", token: adminToken}).status)
}

func TestBackupAndRestore(t *testing.T) {
	source := seededFixture(t)
	backup := source.get(adminToken, "/v1/backup")
	require.Equal(t, http.StatusOK, backup.status)
	restore := call{method: http.MethodPost, path: "/v1/restore", token: adminToken, body: string(backup.body),
		contentType: "application/octet-stream", match: "*", key: "restore"}

	destination := newFixture(t)
	destination.keys = 1000 // the backup has the results of the source's idempotency keys, which must not be reused
	answer := destination.send(restore)
	require.Equal(t, http.StatusCreated, answer.status, "%s", answer.body)
	require.Equal(t, source.group.Machine.Configuration().Digest(), destination.group.Machine.Configuration().Digest())
	require.Equal(t, http.StatusCreated, destination.send(restore).status, "a resent restore gets its first response")

	before := destination.group.Machine.Configuration().Revision
	tag := destination.get(adminToken, tiplinePath).header.Get("ETag")
	destination.put(tiplinePath, tag, serviceBody("192.0.2.1:443", 4, "tip-1", "tip-2"))
	require.Greater(t, destination.group.Machine.Configuration().Revision, before, "new revisions are higher than those of the backup")

	restore.key = "restore-again"
	refused := decode[adminapi.Problem](t, destination.send(restore))
	require.EqualValues(t, 4018, refused.Code)
}

func TestDryRunChangesNothing(t *testing.T) {
	fixture := seededFixture(t)
	for path, body := range map[string]string{
		"/v1/templates/next":           templateBody,
		"/v1/tenants/next":             `{"maximum_services": 3}`,
		"/v1/tenants/riga/services/up": serviceBody("192.0.2.50:443", 2, "up-1"),
	} {
		before := fixture.group.Status().Committed
		answer := fixture.send(call{method: http.MethodPut, path: path + "?dry_run=true", token: adminToken, body: body})
		require.Equal(t, http.StatusOK, answer.status, "%s", answer.body)
		require.True(t, decode[adminapi.DryRunAnswer](t, answer).Valid)
		require.Equal(t, before, fixture.group.Status().Committed)
	}
	wrong := fixture.send(call{method: http.MethodPut, path: "/v1/tenants/x?dry_run=true", token: adminToken, body: `{"maximum_services": -1}`})
	require.Equal(t, http.StatusUnprocessableEntity, wrong.status)
}

func TestRateLimitIsPerToken(t *testing.T) {
	fixture := newLimitedFixture(t, adminapi.RateLimits{PerSecond: 0.001, Burst: 2, UnknownPerSecond: 0.001, UnknownBurst: 1})
	require.Equal(t, http.StatusOK, fixture.get(viewerToken, "/v1/status").status)
	require.Equal(t, http.StatusOK, fixture.get(viewerToken, "/v1/status").status)
	limited := fixture.get(viewerToken, "/v1/status")
	require.Equal(t, http.StatusTooManyRequests, limited.status)
	wait, err := strconv.Atoi(limited.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, wait, 990)
	require.EqualValues(t, "", decode[adminapi.Problem](t, limited).Ran)
	require.Equal(t, http.StatusOK, fixture.get(operatorToken, "/v1/status").status, "another token has its own limit")

	require.Equal(t, http.StatusUnauthorized, fixture.get("guess-1", "/v1/status").status)
	require.Equal(t, http.StatusTooManyRequests, fixture.get("guess-2", "/v1/status").status, "requests with unknown tokens share one limit")
}

func TestStatus(t *testing.T) {
	fixture := seededFixture(t)
	status := decode[adminapi.Status](t, fixture.get(viewerToken, "/v1/status?digest=true"))
	require.Equal(t, apitest.Self, status.Node)
	require.True(t, status.Leading)
	require.Equal(t, 1, status.Services)
	require.Equal(t, 2, status.Targets)
	require.Equal(t, strconv.FormatUint(fixture.group.Machine.Configuration().Digest(), 16), status.ConfigurationDigest)
}

// brokenRollout is a RolloutReader that panics, to make a handler panic.
type brokenRollout struct{}

func (brokenRollout) Rollout() model.RolloutStatus { panic("broken") }

func TestPanicInAHandlerIsAnsweredAsInternalFault(t *testing.T) {
	group := apitest.NewGroup()
	fixture := &fixture{t: t, group: group, handler: adminapi.New(adminapi.Options{
		Node: apitest.Self, Group: group, Machine: group.Machine, Rollout: brokenRollout{}, Tokens: testTokens(t), Logger: zap.NewNop(),
	})}
	answer := fixture.get(viewerToken, "/v1/rollout")
	require.Equal(t, http.StatusInternalServerError, answer.status)
	require.EqualValues(t, 4024, decode[adminapi.Problem](t, answer).Code)
}
