package operators

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// echoServer starts a TCP server that echoes what it receives, and returns its
// address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer accepted.Close()
				_, _ = io.Copy(accepted, accepted)
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func send(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := connection.Write([]byte(text))
	require.NoError(t, err)
}

func receive(t *testing.T, connection net.Conn, count int) string {
	t.Helper()
	buffer := make([]byte, count)
	_, err := io.ReadFull(connection, buffer)
	require.NoError(t, err)
	return string(buffer)
}

func TestACutHoldsBytesBackUntilItHeals(t *testing.T) {
	links := NewLinks(netip.MustParseAddr("127.0.0.1"))
	defer func() { require.NoError(t, links.Close()) }()
	target := echoServer(t)
	crossing, err := links.Add("a", "b", target)
	require.NoError(t, err)
	otherLink, err := links.Add("b", "c", target)
	require.NoError(t, err)
	cut, open := dial(t, crossing), dial(t, otherLink)
	send(t, cut, "before")
	require.Equal(t, "before", receive(t, cut, len("before")))

	links.Cut("a")
	send(t, cut, "during")
	send(t, open, "beside")
	require.Equal(t, "beside", receive(t, open, len("beside")), "a link between other zones stays open")
	crossingCut, _ := links.isCut(linkEnds{from: "a", to: "b"})
	require.True(t, crossingCut)

	links.Cut()
	require.Equal(t, "during", receive(t, cut, len("during")), "the bytes held back arrive after the cut heals")
}

func TestLinksWithinAZoneAreNeverCut(t *testing.T) {
	for _, test := range []struct {
		ends    linkEnds
		crosses bool
	}{
		{linkEnds{"a", "a"}, false},
		{linkEnds{"a", "b"}, true},
		{linkEnds{"b", "a"}, true},
		{linkEnds{"b", "c"}, false},
		{linkEnds{"a", "d"}, true},
	} {
		require.Equal(t, test.crosses, test.ends.crosses(map[string]bool{"a": true, "d": true}), "%v", test.ends)
	}
}

// fakeMember simulates a control member with one register. It accepts changes on
// any base, as a leader without read barriers and quorum would. A faulty one also
// ignores idempotency keys and applies a resent change again.
type fakeMember struct {
	lock     sync.Mutex
	revision model.Revision
	changes  int
	keys     map[string]model.Revision
	faulty   bool
}

func (member *fakeMember) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	member.lock.Lock()
	defer member.lock.Unlock()
	if request.Method == http.MethodGet {
		parameters := map[string]json.RawMessage{changedParameter: json.RawMessage("7")}
		_ = json.NewEncoder(writer).Encode(adminapi.Service{Spec: adminapi.ServiceSpec{Parameters: parameters}, Revision: member.revision})
		return
	}
	key := request.Header.Get(adminapi.HeaderIdempotencyKey)
	first, known := member.keys[key]
	if !known || member.faulty {
		member.changes++
		member.revision++
		first = member.revision
		member.keys[key] = first
	}
	_ = json.NewEncoder(writer).Encode(adminapi.ChangeAnswer{Revision: first})
}

func testRegister() register {
	return register{
		key:  state.ServiceKey{Tenant: "riga", Name: "ledger"},
		spec: adminapi.ServiceSpec{Parameters: map[string]json.RawMessage{}},
	}
}

func testHistory() *history {
	created := newHistory()
	created.beginPhase("test")
	return created
}

func clientOf(t *testing.T, server *httptest.Server, transport http.RoundTripper) *client.Client {
	t.Helper()
	api, err := client.New(client.Options{Endpoints: []string{server.URL}, Token: "t", Transport: transport})
	require.NoError(t, err)
	return api
}

func (history *history) violatedInvariants() string {
	var names []string
	for _, violation := range history.report.Violations() {
		names = append(names, string(violation.Invariant))
	}
	return strings.Join(names, " ")
}

func TestResumedLeaderServingStaleStateIsReported(t *testing.T) {
	server := httptest.NewServer(&fakeMember{revision: 5, keys: make(map[string]model.Revision)})
	defer server.Close()
	history := testHistory()
	leader := &frozenLeader{name: "control-1", api: clientOf(t, server, http.DefaultTransport), registers: []register{testRegister()},
		values: &values{}, history: history, revisionsAtFreeze: map[string]model.Revision{"riga/ledger": 5}}
	history.latest["riga/ledger"] = 9
	leader.read(t.Context(), testRegister())
	require.Equal(t, 1, leader.counts.staleReads)
	require.Equal(t, "linearizable", history.violatedInvariants())
	leader.change(t.Context(), testRegister())
	require.Equal(t, 1, leader.counts.changesAccepted)
	require.Equal(t, "linearizable one-winner", history.violatedInvariants())
}

func TestChangeAppliedTwiceIsReported(t *testing.T) {
	for violated, faulty := range map[string]bool{"": false, "applied-once": true} {
		control := &fakeMember{revision: 5, keys: make(map[string]model.Revision), faulty: faulty}
		server := httptest.NewServer(control)
		history := testHistory()
		worker := &operator{name: "operator", api: clientOf(t, server, http.DefaultTransport), history: history}
		change := client.Change{Base: 5, Key: "key"}
		revision, result := changeRegister(t.Context(), history, worker.api, worker.name, testRegister(), change, 8)
		require.Equal(t, checker.ResultAccepted, result)
		worker.resend(t.Context(), testRegister(), change, 8, revision)
		require.Equal(t, violated, history.violatedInvariants())
		server.Close()
	}
}

func TestLostRequestsAndAnswersAreSentAgainWithTheirKey(t *testing.T) {
	for _, test := range []struct {
		name      string
		transport lossyTransport
		changes   int
	}{
		{"requests", lossyTransport{requestShare: 1}, 0},
		{"answers", lossyTransport{answerShare: 1}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			transport := test.transport
			control := &fakeMember{revision: 5, keys: make(map[string]model.Revision)}
			server := httptest.NewServer(control)
			defer server.Close()
			lost := 0
			transport.RoundTripper = http.DefaultTransport
			transport.lost = func() { lost++ }
			api, err := client.New(client.Options{Endpoints: []string{server.URL}, Token: "t", Transport: transport,
				Sleep: func(context.Context, time.Duration) error {
					if lost > 3 {
						return context.DeadlineExceeded
					}
					return nil
				}})
			require.NoError(t, err)
			_, err = api.PutService(t.Context(), testRegister().key, client.Change{Base: 5, Key: "key"}, testRegister().withValue(3))
			require.True(t, client.MayHaveRun(err))
			require.Equal(t, 4, lost)
			require.Equal(t, test.changes, control.changes, "retries with the same key apply the change at most once")
		})
	}
}

func TestTableMarksViolatedAndHeldChecks(t *testing.T) {
	history := testHistory()
	history.recordNodeRevision("balancer-1", 9)
	history.recordNodeRevision("balancer-1", 8)
	history.recordMemberStatus("control-1", 3, true, 9, 1)
	history.recordMemberStatus("control-2", 3, true, 9, 2)
	require.Equal(t, "no-revert one-leader replicas-agree", history.violatedInvariants())
	table := Result{Violations: history.report.Violations()}.Table()
	require.Contains(t, table, "| no balancer's revision goes back | **violated** |")
	require.Contains(t, table, "| a resent change is applied once | held |")
}
