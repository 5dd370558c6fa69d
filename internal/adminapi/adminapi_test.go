package adminapi_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/adminapi/apitest"
	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Bearer tokens of the tests. testTokens gives each its role and tenant.
const (
	adminToken    = "admin-token"
	operatorToken = "operator-token"
	viewerToken   = "viewer-token"
	rigaToken     = "riga-token"
	terangaToken  = "teranga-token"
)

func testTokens(t testing.TB) *auth.Tokens {
	t.Helper()
	var file strings.Builder
	file.WriteString("tokens:\n")
	for _, line := range []struct{ name, token, role, tenant string }{
		{"alice", adminToken, "admin", ""},
		{"deploy", operatorToken, "operator", ""},
		{"watch", viewerToken, "viewer", ""},
		{"riga-deploy", rigaToken, "operator", "riga"},
		{"teranga-deploy", terangaToken, "operator", "teranga"},
	} {
		fmt.Fprintf(&file, "  - {name: %s, sha256: %s, role: %s, tenant: %q}\n", line.name, auth.Hash(line.token), line.role, line.tenant)
	}
	tokens, err := auth.Parse([]byte(file.String()))
	require.NoError(t, err)
	return tokens
}

// fixture is the administration API of a control group with one member.
type fixture struct {
	t       testing.TB
	group   *apitest.Group
	rollout *apitest.Rollout
	handler http.Handler
	// keys is the number of idempotency keys that nextKey returned.
	keys int
}

func newFixture(t testing.TB) *fixture { return newLimitedFixture(t, adminapi.RateLimits{}) }

func newLimitedFixture(t testing.TB, limits adminapi.RateLimits) *fixture {
	fixture := &fixture{t: t, group: apitest.NewGroup(), rollout: &apitest.Rollout{}}
	fixture.handler = adminapi.New(adminapi.Options{
		Node:    apitest.Self,
		Group:   fixture.group,
		Machine: fixture.group.Machine,
		Rollout: fixture.rollout,
		Tokens:  testTokens(t),
		Logger:  zap.NewNop(),
		Limits:  limits,
	})
	return fixture
}

// call is one request to the API.
type call struct {
	method string
	path   string
	token  string
	body   string
	// match is the value of If-Match; "*" means If-None-Match: *.
	match string
	// key is the idempotency key.
	key string
	// knownETag is the value of If-None-Match of a read: the ETag that the caller has already.
	knownETag string
	// contentType is the media type of the body; empty means JSON.
	contentType string
}

// reply is the response to a call.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// send passes one request to the handler and returns its response.
func (fixture *fixture) send(sent call) reply {
	fixture.t.Helper()
	request := httptest.NewRequest(sent.method, sent.path, bytes.NewReader([]byte(sent.body)))
	if sent.token != "" {
		request.Header.Set("Authorization", "Bearer "+sent.token)
	}
	if sent.body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	if sent.contentType != "" {
		request.Header.Set("Content-Type", sent.contentType)
	}
	switch sent.match {
	case "":
	case "*":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", sent.match)
	}
	if sent.knownETag != "" {
		request.Header.Set("If-None-Match", sent.knownETag)
	}
	if sent.key != "" {
		request.Header.Set(adminapi.HeaderIdempotencyKey, sent.key)
	}
	recorder := httptest.NewRecorder()
	fixture.handler.ServeHTTP(recorder, request)
	body, err := io.ReadAll(recorder.Result().Body)
	require.NoError(fixture.t, err)
	return reply{status: recorder.Code, header: recorder.Header(), body: body}
}

func (fixture *fixture) get(token, path string) reply {
	fixture.t.Helper()
	return fixture.send(call{method: http.MethodGet, path: path, token: token})
}

// nextKey returns a new idempotency key.
func (fixture *fixture) nextKey() string {
	fixture.keys++
	return "key-" + strconv.Itoa(fixture.keys)
}

// put sends a change as the administrator and requires its success.
func (fixture *fixture) put(path, match, body string) adminapi.ChangeAnswer {
	fixture.t.Helper()
	answer := fixture.send(call{method: http.MethodPut, path: path, token: adminToken, body: body, match: match, key: fixture.nextKey()})
	require.Less(fixture.t, answer.status, 300, "%s", answer.body)
	return decode[adminapi.ChangeAnswer](fixture.t, answer)
}

func decode[Value any](t testing.TB, answer reply) Value {
	t.Helper()
	var value Value
	require.NoError(t, json.Unmarshal(answer.body, &value), "%s", answer.body)
	return value
}

const templateBody = `{
	"protocol": "quic",
	"parameters": [
		{"name": "address", "kind": "address", "sets": "address", "required": true},
		{"name": "targets", "kind": "targets", "sets": "targets", "required": true},
		{"name": "slots", "kind": "integer", "sets": "limits.slots_per_target", "default": 2, "minimum": 1, "maximum": 16}
	],
	"limits": {"request_timeout": "5s"},
	"rules": [{"path_prefix": "/call", "class": "call"}]
}`

// serviceBody returns the spec of a service of template web. The ports of a target follow from the
// length and the last letter of its name.
func serviceBody(address string, slots int, targets ...string) string {
	var list []string
	for _, name := range targets {
		port := 2000 + len(name)*100 + int(name[len(name)-1])
		list = append(list, fmt.Sprintf(`{"name":%q,"zone":"ngor-a","agent":"127.0.0.1:%d","backend":"127.0.0.2:%d"}`, name, port, port))
	}
	return fmt.Sprintf(`{"template":{"name":"web"},"parameters":{"address":%q,"slots":%d,"targets":[%s]}}`, address, slots, strings.Join(list, ","))
}

const (
	tiplinePath = "/v1/tenants/riga/services/tipline"
	tip1Path    = tiplinePath + "/targets/tip-1"
)

// seededFixture returns a fixture with the template web, the tenants riga and teranga, and riga's
// service tipline with two targets.
func seededFixture(t testing.TB) *fixture {
	fixture := newFixture(t)
	fixture.put("/v1/templates/web", "*", templateBody)
	fixture.put("/v1/tenants/riga", "*", `{}`)
	fixture.put("/v1/tenants/teranga", "*", `{}`)
	fixture.put(tiplinePath, "*", serviceBody("192.0.2.1:443", 2, "tip-1", "tip-2"))
	return fixture
}

func TestServiceLifecycle(t *testing.T) {
	fixture := seededFixture(t)
	shown := fixture.get(viewerToken, tiplinePath)
	require.Equal(t, http.StatusOK, shown.status)
	service := decode[adminapi.Service](t, shown)
	require.Equal(t, "192.0.2.1:443", service.Address)
	require.Equal(t, uint32(1), service.Spec.Template.Version)
	require.Equal(t, "deploy", updateAsOperator(fixture, shown.header.Get("ETag")))

	deleted := fixture.send(call{method: http.MethodDelete, path: tiplinePath + "?force=true", token: rigaToken,
		match: fixture.get(rigaToken, tiplinePath).header.Get("ETag"), key: fixture.nextKey()})
	require.Equal(t, http.StatusOK, deleted.status, "%s", deleted.body)
	require.Equal(t, http.StatusNotFound, fixture.get(viewerToken, tiplinePath).status)
}

// updateAsOperator changes the service tipline with the operator's token and returns the UpdatedBy that
// the API then shows.
func updateAsOperator(fixture *fixture, match string) string {
	fixture.t.Helper()
	answer := fixture.send(call{method: http.MethodPut, path: tiplinePath, token: operatorToken,
		body: serviceBody("192.0.2.1:443", 3, "tip-1", "tip-2"), match: match, key: fixture.nextKey()})
	require.Equal(fixture.t, http.StatusOK, answer.status, "%s", answer.body)
	return decode[adminapi.Service](fixture.t, fixture.get(viewerToken, tiplinePath)).UpdatedBy
}

func TestRefusals(t *testing.T) {
	body := serviceBody("192.0.2.9:443", 2, "depot-1")
	put := call{method: http.MethodPut, path: "/v1/tenants/riga/services/depot", token: operatorToken, body: body, match: "*", key: "k"}
	change := func(edit func(*call)) call {
		changed := put
		edit(&changed)
		return changed
	}
	cases := []struct {
		name   string
		call   call
		status int
		code   int
		field  string
	}{
		{"no token", call{method: "GET", path: "/v1/services"}, 401, 4002, ""},
		{"unknown token", call{method: "GET", path: "/v1/services", token: "guess"}, 401, 4002, ""},
		{"viewer changes", change(func(c *call) { c.token = viewerToken }), 403, 4003, ""},
		{"operator changes a template", call{method: "PUT", path: "/v1/templates/x", token: operatorToken, body: templateBody, match: "*", key: "k"}, 403, 4003, ""},
		{"other tenant", change(func(c *call) { c.token = terangaToken }), 403, 4003, ""},
		{"other tenant reads", call{method: "GET", path: tiplinePath, token: terangaToken}, 403, 4003, ""},
		{"unknown tenant is refused like another tenant", call{method: "GET", path: "/v1/tenants/nobody/services/x", token: terangaToken}, 403, 4003, ""},
		{"tenant token reads members", call{method: "GET", path: "/v1/members", token: rigaToken}, 403, 4003, ""},
		{"operator takes a backup", call{method: "GET", path: "/v1/backup", token: operatorToken}, 403, 4003, ""},
		{"unknown path", call{method: "GET", path: "/v1/none", token: viewerToken}, 404, 4004, ""},
		{"unknown service", call{method: "GET", path: "/v1/tenants/riga/services/none", token: viewerToken}, 404, 4004, ""},
		{"unknown tenant", change(func(c *call) { c.path = "/v1/tenants/none/services/x" }), 404, 4004, ""},
		{"unknown template", change(func(c *call) { c.body = strings.Replace(body, `"web"`, `"none"`, 1) }), 404, 4004, ""},
		{"unknown template version", change(func(c *call) { c.body = strings.Replace(body, `"web"`, `"web","version":9`, 1) }), 404, 4004, ""},
		{"unsupported method", call{method: "PATCH", path: tiplinePath, token: operatorToken}, 405, 4021, ""},
		{"no precondition", change(func(c *call) { c.match = "" }), 428, 4006, ""},
		{"precondition is not an ETag of this API", change(func(c *call) { c.match = `"x"` }), 400, 4001, ""},
		{"precondition with unbalanced quotes", change(func(c *call) { c.match = `"7` }), 400, 4001, ""},
		{"no key", change(func(c *call) { c.key = "" }), 400, 4007, ""},
		{"long key", change(func(c *call) { c.key = strings.Repeat("k", 129) }), 400, 4007, ""},
		{"other media type", change(func(c *call) { c.contentType = "text/plain" }), 415, 4014, ""},
		{"broken JSON", change(func(c *call) { c.body = `{` }), 400, 4001, ""},
		{"trailing data after the JSON", change(func(c *call) { c.body = body + `{}` }), 400, 4001, ""},
		{"unknown field", change(func(c *call) { c.body = `{"templates":{}}` }), 400, 4001, "templates"},
		{"wrong type", change(func(c *call) { c.body = `{"template":{"name":5}}` }), 400, 4001, "template.name"},
		{"too large", change(func(c *call) { c.body = `{"template":{"name":"` + strings.Repeat("x", 1<<20) + `"}}` }), 413, 4013, ""},
		{"parameter out of range", change(func(c *call) { c.body = serviceBody("192.0.2.9:443", 99, "depot-1") }), 422, 4010, "parameters.slots"},
		{"unknown target field", change(func(c *call) { c.body = strings.Replace(body, `"zone"`, `"zones"`, 1) }), 422, 4010, "parameters.targets"},
		{"stale revision", change(func(c *call) { c.path = tiplinePath; c.match = `"1"` }), 412, 4005, ""},
		{"exists already", change(func(c *call) { c.path = tiplinePath }), 412, 4005, ""},
		{"address in use", change(func(c *call) { c.body = serviceBody("192.0.2.1:443", 2, "depot-1") }), 409, 4009, ""},
		{"target name in use", change(func(c *call) {
			c.path = "/v1/tenants/teranga/services/resa"
			c.body = serviceBody("192.0.2.9:443", 2, "tip-1")
		}), 409, 4009, ""},
		{"page limit", call{method: "GET", path: "/v1/services?limit=0", token: viewerToken}, 400, 4001, "limit"},
		{"cursor", call{method: "GET", path: "/v1/services?cursor=%21", token: viewerToken}, 400, 4001, "cursor"},
		{"wait", call{method: "GET", path: "/v1/rollout?wait=1h", token: viewerToken}, 400, 4001, "wait"},
		{"member ID", call{method: "DELETE", path: "/v1/members/one", token: adminToken}, 400, 4001, "member"},
		{"unknown member", call{method: "DELETE", path: "/v1/members/77", token: adminToken}, 404, 3007, ""},
		{"invalid backup", call{method: "POST", path: "/v1/restore", token: adminToken, body: "x", contentType: "application/octet-stream", match: "*", key: "k"}, 422, 4019, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := seededFixture(t)
			fixture.t = t
			before := fixture.group.Machine.Configuration()
			answer := fixture.send(test.call)
			problem := decode[adminapi.Problem](t, answer)
			require.Equal(t, test.code, int(problem.Code), "%s", answer.body)
			require.Equal(t, test.status, answer.status, "%s", answer.body)
			require.Equal(t, adminapi.ProblemContentType, answer.header.Get("Content-Type"))
			require.Equal(t, fmt.Sprintf("urn:merlinpaddle:error:%d", test.code), problem.Type)
			require.NotEmpty(t, problem.Detail)
			if test.field != "" {
				require.NotEmpty(t, problem.Errors)
				require.Equal(t, test.field, problem.Errors[0].Field)
			}
			require.Same(t, before, fixture.group.Machine.Configuration(), "a refused request must not change the configuration")
		})
	}
}

func TestConcurrentChangesOfOneRevisionHaveOneWinner(t *testing.T) {
	fixture := seededFixture(t)
	tag := fixture.get(operatorToken, tiplinePath).header.Get("ETag")
	const operators = 8
	replies := make(chan reply, operators)
	for operator := range operators {
		go func() {
			replies <- fixture.send(call{method: http.MethodPut, path: tiplinePath, token: operatorToken, match: tag,
				key: fmt.Sprintf("race-%d", operator), body: serviceBody("192.0.2.1:443", operator+1, "tip-1", "tip-2")})
		}()
	}
	winners := 0
	var losers []reply
	for range operators {
		answer := <-replies
		if answer.status == http.StatusOK {
			winners++
			continue
		}
		losers = append(losers, answer)
	}
	require.Equal(t, 1, winners)
	latest := fixture.get(operatorToken, tiplinePath)
	for _, answer := range losers {
		require.Equal(t, http.StatusPreconditionFailed, answer.status)
		require.Equal(t, latest.header.Get("ETag"), answer.header.Get("ETag"))
		problem := decode[adminapi.Problem](t, answer)
		current, err := json.Marshal(problem.Current)
		require.NoError(t, err)
		require.JSONEq(t, string(latest.body), string(current), "a refused change returns the current value")
	}
}

func TestResentChangeGetsTheFirstAnswer(t *testing.T) {
	fixture := seededFixture(t)
	sent := call{method: http.MethodPut, path: tiplinePath, token: operatorToken, match: fixture.get(operatorToken, tiplinePath).header.Get("ETag"),
		key: "resend", body: serviceBody("192.0.2.1:443", 5, "tip-1", "tip-2")}

	fixture.group.SetFaults(apitest.Faults{AfterCommit: io.ErrUnexpectedEOF})
	lost := fixture.send(sent)
	require.Equal(t, http.StatusGatewayTimeout, lost.status)
	problem := decode[adminapi.Problem](t, lost)
	require.EqualValues(t, "unknown", problem.Ran)
	require.NotEmpty(t, lost.header.Get("Retry-After"))

	fixture.group.SetFaults(apitest.Faults{})
	committed := fixture.group.Machine.Configuration().Revision
	resent := fixture.send(sent)
	require.Equal(t, http.StatusOK, resent.status, "%s", resent.body)
	require.Equal(t, "true", resent.header.Get(adminapi.HeaderReplayed))
	require.Equal(t, committed, decode[adminapi.ChangeAnswer](t, resent).Revision)
	require.Equal(t, committed, fixture.group.Machine.Configuration().Revision, "the resent change must not be applied again")

	other := sent
	other.body = serviceBody("192.0.2.1:443", 6, "tip-1", "tip-2")
	refused := fixture.send(other)
	require.Equal(t, http.StatusUnprocessableEntity, refused.status)
	require.EqualValues(t, 4008, decode[adminapi.Problem](t, refused).Code)

	otherBase := sent
	otherBase.match = fmt.Sprintf("%q", strconv.Itoa(int(committed)))
	require.Equal(t, http.StatusUnprocessableEntity, fixture.send(otherBase).status, "another base revision is another request")
}

func TestFollowerNamesTheLeader(t *testing.T) {
	fixture := seededFixture(t)
	fixture.group.SetFaults(apitest.Faults{Leader: "control-2"})
	change := call{method: http.MethodPost, path: tip1Path + "/drain", token: operatorToken, match: `"4"`, key: "drain"}
	for _, sent := range []call{change, {method: http.MethodGet, path: tiplinePath, token: viewerToken}} {
		answer := fixture.send(sent)
		require.Equal(t, string(apitest.Self), answer.header.Get(adminapi.HeaderNode))
		problem := decode[adminapi.Problem](t, answer)
		require.Equal(t, faults.NotLeader, problem.Code)
		require.EqualValues(t, "control-2", problem.Leader)
	}
	require.Equal(t, http.StatusOK, fixture.get(viewerToken, tiplinePath+"?stale=true").status, "a stale read needs no leader")
	require.Equal(t, http.StatusOK, fixture.get(viewerToken, "/v1/status").status)
}

func TestFailedProposalReportsWhetherItRan(t *testing.T) {
	drain := call{method: http.MethodPost, path: tip1Path + "/drain", token: operatorToken, key: "drain"}
	cases := []struct {
		name   string
		faults apitest.Faults
		ran    string
		code   int
	}{
		{"not committed, error without a code", apitest.Faults{BeforeCommit: io.ErrClosedPipe}, "unknown", 4016},
		{"committed, answer lost", apitest.Faults{AfterCommit: io.ErrClosedPipe}, "unknown", 4016},
		{"follower", apitest.Faults{Leader: "control-3"}, "no", 3001},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := seededFixture(t)
			fixture.t = t
			sent := drain
			sent.match = fixture.get(operatorToken, tip1Path).header.Get("ETag")
			fixture.group.SetFaults(test.faults)
			problem := decode[adminapi.Problem](t, fixture.send(sent))
			require.EqualValues(t, test.code, problem.Code)
			require.EqualValues(t, test.ran, problem.Ran)
		})
	}
}

func TestDrainShowsRemainingWork(t *testing.T) {
	fixture := seededFixture(t)
	before := fixture.get(viewerToken, tip1Path)
	target := decode[adminapi.Target](t, before)
	require.Equal(t, adminapi.PhaseServing, target.Phase)
	require.Positive(t, target.Buckets.Heads)
	fixture.rollout.Set(model.RolloutStatus{Nodes: []model.NodeStatus{
		{Name: "tip-1", Role: model.RoleAgent, Load: &model.TargetLoad{Target: target.ID, Feeds: 7, Flows: 9, Healthy: true}},
	}})

	drained := fixture.send(call{method: http.MethodPost, path: tip1Path + "/drain", token: rigaToken, match: before.header.Get("ETag"), key: "drain"})
	require.Equal(t, http.StatusOK, drained.status, "%s", drained.body)
	target = decode[adminapi.Target](t, fixture.get(viewerToken, tip1Path))
	require.Equal(t, adminapi.PhaseDraining, target.Phase)
	require.Zero(t, target.Buckets.Heads)
	require.Positive(t, target.Buckets.Earlier)
	require.EqualValues(t, 7, target.Load.Feeds)

	undrained := fixture.send(call{method: http.MethodPost, path: tip1Path + "/undrain", token: rigaToken, match: drained.header.Get("ETag"), key: "undrain"})
	require.Equal(t, http.StatusOK, undrained.status, "%s", undrained.body)
}
