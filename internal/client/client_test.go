package client

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// receivedRequest is a request that reached a member.
type receivedRequest struct {
	host string
	key  string
	path string
}

// reaction handles one request at a member: it writes the answer or returns a transport error.
type reaction func(writer http.ResponseWriter) error

// fakeMembers is a transport that stands in for the members of a group. Each host uses
// its reactions in order and repeats the last one. Its sleep method records the waits.
type fakeMembers struct {
	lock      sync.Mutex
	reactions map[string][]reaction
	requests  []receivedRequest
	sleeps    []time.Duration
}

func (members *fakeMembers) RoundTrip(request *http.Request) (*http.Response, error) {
	members.lock.Lock()
	defer members.lock.Unlock()
	host := request.URL.Host
	members.requests = append(members.requests, receivedRequest{host: host, key: request.Header.Get(adminapi.HeaderIdempotencyKey), path: request.URL.EscapedPath()})
	planned := members.reactions[host]
	if len(planned) > 1 {
		members.reactions[host] = planned[1:]
	}
	recorder := httptest.NewRecorder()
	recorder.Header().Set(adminapi.HeaderNode, "node-"+host)
	if err := planned[0](recorder); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// hosts returns the hosts of all requests in order, separated by spaces.
func (members *fakeMembers) hosts() string {
	var hosts []string
	for _, request := range members.requests {
		hosts = append(hosts, request.host)
	}
	return strings.Join(hosts, " ")
}

func (members *fakeMembers) sleep(_ context.Context, wait time.Duration) error {
	members.sleeps = append(members.sleeps, wait)
	return nil
}

// newTestClient returns a client whose endpoints are the given hosts of members.
func newTestClient(t *testing.T, members *fakeMembers, hosts ...string) *Client {
	t.Helper()
	var endpoints []string
	for _, host := range hosts {
		endpoints = append(endpoints, "http://"+host)
	}
	made, err := New(Options{Endpoints: endpoints, Token: "t", Transport: members, Sleep: members.sleep})
	require.NoError(t, err)
	return made
}

// committed answers that a change was committed at revision 9.
func committed(writer http.ResponseWriter) error {
	return json.NewEncoder(writer).Encode(adminapi.ChangeAnswer{Revision: 9})
}

// refuses returns a reaction that answers with the problem document of a code. Its Retry-After is 2 s for
// statuses that can be retried.
func refuses(code faults.Code, leader model.NodeName) reaction {
	return func(writer http.ResponseWriter) error {
		definition, _ := faults.Lookup(code)
		writer.Header().Set("Content-Type", adminapi.ProblemContentType)
		if definition.HTTPStatus >= 500 || definition.HTTPStatus == http.StatusTooManyRequests {
			writer.Header().Set("Retry-After", "2")
		}
		writer.WriteHeader(definition.HTTPStatus)
		return json.NewEncoder(writer).Encode(adminapi.Problem{Status: definition.HTTPStatus, Code: code, Name: definition.Name, Ran: definition.Ran, Leader: leader})
	}
}

// fails returns a reaction that returns a transport error.
func fails(err error) reaction { return func(http.ResponseWriter) error { return err } }

var (
	refusedDial      = &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	brokenConnection = io.ErrUnexpectedEOF
)

func TestChangesAreRetriedUntilAnswered(t *testing.T) {
	notLeader := refuses(faults.NotLeader, "node-c")
	unknown := refuses(faults.CodeOutcomeUnknown, "")
	cases := []struct {
		name      string
		reactions map[string][]reaction
		hosts     string
		code      faults.Code
		ran       faults.Ran
	}{
		{"first attempt", map[string][]reaction{"a": {committed}}, "a", 0, ""},
		{"follower names a member that has not answered yet",
			map[string][]reaction{"a": {notLeader}, "b": {notLeader}, "c": {committed}}, "a b c", 0, ""},
		{"unreachable member", map[string][]reaction{"a": {fails(refusedDial)}, "b": {committed}}, "a b", 0, ""},
		{"lost answer", map[string][]reaction{"a": {fails(brokenConnection), committed}, "b": {notLeader}, "c": {notLeader}}, "a b c c a", 0, ""},
		{"followers that name an unreachable leader", map[string][]reaction{"a": {fails(refusedDial)},
			"b": {refuses(faults.NotLeader, "node-a"), committed}, "c": {refuses(faults.NotLeader, "node-a")}}, "a b c a b", 0, ""},
		{"election", map[string][]reaction{"a": {refuses(faults.NotLeader, ""), committed}, "b": {refuses(faults.NotLeader, "")}, "c": {fails(refusedDial)}}, "a b c a", 0, ""},
		{"rate limit is retried at the same member", map[string][]reaction{"a": {refuses(faults.CodeRateLimited, ""), committed}}, "a a", 0, ""},
		{"refused by the state machine", map[string][]reaction{"a": {refuses(faults.CodeRevisionMismatch, "")}}, "a", faults.CodeRevisionMismatch, faults.RanNo},
		{"refused by the state machine after a lost answer",
			map[string][]reaction{"a": {unknown}, "b": {refuses(faults.CodeRevisionMismatch, "")}}, "a b", faults.CodeRevisionMismatch, faults.RanNo},
		{"refused before the state machine after a lost answer",
			map[string][]reaction{"a": {unknown}, "b": {refuses(faults.CodeForbidden, "")}}, "a b", faults.CodeForbidden, faults.RanUnknown},
		{"answer without a problem document",
			map[string][]reaction{"a": {func(writer http.ResponseWriter) error { writer.WriteHeader(http.StatusBadGateway); return nil }}, "b": {committed}}, "a b", 0, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members := &fakeMembers{reactions: test.reactions}
			client := newTestClient(t, members, "a", "b", "c")
			answer, err := client.PutTenant(t.Context(), "riga", Change{Base: 3}, state.TenantSpec{})
			require.Equal(t, test.hosts, members.hosts())
			require.Equal(t, test.code, Code(err), "%v", err)
			for _, request := range members.requests {
				require.NotEmpty(t, request.key)
				require.Equal(t, members.requests[0].key, request.key, "every attempt must have the same key")
			}
			if test.code == 0 {
				require.EqualValues(t, 9, answer.Revision)
				return
			}
			require.Equal(t, test.ran == faults.RanUnknown, MayHaveRun(err))
		})
	}
}

func TestLeaderIsPreferred(t *testing.T) {
	members := &fakeMembers{reactions: map[string][]reaction{
		"a": {refuses(faults.NotLeader, "node-c")}, "b": {refuses(faults.NotLeader, "node-c")}, "c": {committed},
	}}
	client := newTestClient(t, members, "a", "b", "c")
	for range 2 {
		_, err := client.PutTenant(t.Context(), "riga", Change{Base: 3}, state.TenantSpec{})
		require.NoError(t, err)
	}
	require.Equal(t, "a b c c", members.hosts())

	members.reactions["c"] = []reaction{refuses(faults.NotLeader, "node-b")}
	members.reactions["b"] = []reaction{committed}
	_, err := client.PutTenant(t.Context(), "riga", Change{Base: 3}, state.TenantSpec{})
	require.NoError(t, err)
	require.Equal(t, "a b c c c b", members.hosts(), "a known leader must be the next attempt")
}

func TestBackoffGrowsAndHonorsRetryAfter(t *testing.T) {
	noLeader := refuses(faults.NotLeader, "")
	members := &fakeMembers{reactions: map[string][]reaction{"a": {noLeader, noLeader, noLeader, committed}}}
	client := newTestClient(t, members, "a")
	_, err := client.PutTenant(t.Context(), "riga", Change{}, state.TenantSpec{})
	require.NoError(t, err)
	require.Equal(t, []time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second}, members.sleeps)

	members.reactions["a"] = []reaction{fails(refusedDial), fails(refusedDial), fails(refusedDial), committed}
	members.sleeps = nil
	_, err = client.PutTenant(t.Context(), "riga", Change{}, state.TenantSpec{})
	require.NoError(t, err)
	for index, wait := range members.sleeps {
		bound := firstBackoff << index
		require.GreaterOrEqual(t, wait, bound/2)
		require.Less(t, wait, bound)
	}
}

func TestErrorSaysWhetherTheChangeMayHaveRun(t *testing.T) {
	cases := []struct {
		name  string
		first reaction
		code  faults.Code
		ran   bool
	}{
		{"no connection", fails(refusedDial), faults.CodeMemberUnreachable, false},
		{"certificate rejected", fails(&tls.CertificateVerificationError{Err: errors.New("unknown authority")}), faults.CodeMemberUnreachable, false},
		{"connection broken", fails(brokenConnection), faults.CodeOutcomeUnknown, true},
		{"unknown outcome", refuses(faults.CodeOutcomeUnknown, ""), faults.CodeOutcomeUnknown, true},
		{"no leader", refuses(faults.NotLeader, ""), faults.NotLeader, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			members := &fakeMembers{reactions: map[string][]reaction{"a": {test.first}}}
			client := newTestClient(t, members, "a")
			client.options.Sleep = func(context.Context, time.Duration) error { return context.DeadlineExceeded }
			_, err := client.Drain(t.Context(), state.TargetKey{Tenant: "riga", Service: "tipline", Name: "tip-1"}, Change{Base: 4})
			require.Equal(t, test.code, Code(err))
			require.Equal(t, test.ran, MayHaveRun(err))
		})
	}
}

func TestFailedReadNeverReportsMayHaveRun(t *testing.T) {
	members := &fakeMembers{reactions: map[string][]reaction{"a": {fails(brokenConnection)}}}
	client := newTestClient(t, members, "a")
	client.options.Sleep = func(context.Context, time.Duration) error { return context.DeadlineExceeded }
	_, err := client.Tenant(t.Context(), "riga")
	require.Equal(t, faults.CodeMemberUnreachable, Code(err))
	require.False(t, MayHaveRun(err))
}

func TestRemovalWithLostAnswerSucceeds(t *testing.T) {
	members := &fakeMembers{reactions: map[string][]reaction{"a": {fails(brokenConnection), refuses(faults.UnknownMember, "")}}}
	require.NoError(t, newTestClient(t, members, "a").RemoveMember(t.Context(), "7"))
	members.reactions["a"] = []reaction{refuses(faults.UnknownMember, "")}
	require.Equal(t, faults.UnknownMember, Code(newTestClient(t, members, "a").RemoveMember(t.Context(), "7")))
}

func TestListsReadAllPages(t *testing.T) {
	pages := []reaction{}
	for number := range 3 {
		pages = append(pages, func(writer http.ResponseWriter) error {
			page := adminapi.Page[state.Tenant]{Items: []state.Tenant{{Name: model.TenantName(fmt.Sprint("t", number))}}}
			if number < 2 {
				page.NextCursor = fmt.Sprint("c", number)
			}
			return json.NewEncoder(writer).Encode(page)
		})
	}
	members := &fakeMembers{reactions: map[string][]reaction{"a": pages}}
	tenants, err := newTestClient(t, members, "a").Tenants(t.Context())
	require.NoError(t, err)
	require.Len(t, tenants, 3)
}

func TestNamesAreEscapedInPaths(t *testing.T) {
	members := &fakeMembers{reactions: map[string][]reaction{"a": {refuses(faults.CodeNotFound, "")}}}
	_, err := newTestClient(t, members, "a").Template(t.Context(), "../tenants")
	require.Equal(t, faults.CodeNotFound, Code(err))
	require.Equal(t, "/v1/templates/..%2Ftenants", members.requests[0].path)
}

func TestOptionsAreChecked(t *testing.T) {
	for _, options := range []Options{
		{},
		{Endpoints: []string{"ftp://x"}},
		{Endpoints: []string{"http://"}},
		{Endpoints: []string{"x"}, Authority: "/does/not/exist"},
	} {
		_, err := New(options)
		require.Equal(t, faults.CodeUsage, faults.CodeOf(err), "%v", options)
	}
}
