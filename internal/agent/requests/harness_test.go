package requests

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/agent/upstream"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// waitLimit bounds the wait for an expected event. It checks no latency.
const waitTimeout = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchangeScript is the fake back end's handling of one request. It reports whether the connection
// stays open for another one.
type exchangeScript func(connection net.Conn, request *http.Request) bool

// fakeBackend is an HTTP/1.1 back end whose script writes raw answers, so that it can violate HTTP.
type fakeBackend struct {
	listener net.Listener
	script   atomic.Pointer[exchangeScript]
	// requests and connections count what the back end received.
	requests    atomic.Int32
	connections atomic.Int32
	serving     sync.WaitGroup
	// lock guards open, the set of open connections.
	lock sync.Mutex
	open map[net.Conn]struct{}
}

func newFakeBackend(t *testing.T, script exchangeScript) *fakeBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &fakeBackend{listener: listener, open: make(map[net.Conn]struct{})}
	backend.setScript(script)
	backend.serving.Go(backend.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		backend.closeConnections()
		backend.serving.Wait()
	})
	return backend
}

func (backend *fakeBackend) setScript(script exchangeScript) { backend.script.Store(&script) }

func (backend *fakeBackend) address() string { return backend.listener.Addr().String() }

func (backend *fakeBackend) accept() {
	for {
		connection, err := backend.listener.Accept()
		if err != nil {
			return
		}
		backend.connections.Add(1)
		backend.lock.Lock()
		backend.open[connection] = struct{}{}
		backend.lock.Unlock()
		backend.serving.Go(func() { backend.serve(connection) })
	}
}

func (backend *fakeBackend) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		backend.requests.Add(1)
		if !(*backend.script.Load())(connection, request) {
			return
		}
	}
}

func (backend *fakeBackend) closeConnections() {
	backend.lock.Lock()
	defer backend.lock.Unlock()
	for connection := range backend.open {
		_ = connection.Close()
		delete(backend.open, connection)
	}
}

// formatAnswer returns a complete HTTP/1.1 answer to the request with the ID.
func formatAnswer(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, len(body), body)
}

func requestID(request *http.Request) string { return request.Header.Get(protocol.HeaderRequestID) }

// echoAnswer is a script that sends a correct answer, with the method, the path and the length of
// the request's body.
func echoAnswer(connection net.Conn, request *http.Request) bool {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	_, err = io.WriteString(connection, formatAnswer(200, requestID(request), fmt.Sprintf("%s %s %d", request.Method, request.URL.Path, len(body))))
	return err == nil
}

// waitUntilClosed waits until the peer closes the connection.
func waitUntilClosed(connection net.Conn) {
	_, _ = io.Copy(io.Discard, connection)
}

// scriptedClaims implements Claims. It answers every claim with answer, unless unanswered is set,
// and counts the calls.
type scriptedClaims struct {
	lock       sync.Mutex
	answer     claim.Answer
	unanswered bool
	released   int
	recorded   []protocol.ClaimOutcome
	forgotten  int
	claimed    int
}

func (claims *scriptedClaims) Claim(_ time.Time, key protocol.ClaimKey, _ uint64, _ time.Time, done func(claim.Answer)) uint64 {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.claimed++
	if !claims.unanswered {
		answer := claims.answer
		answer.Grant.Key = key
		done(answer)
	}
	return 1
}

func (claims *scriptedClaims) Abandon(time.Time, uint64) {}

func (claims *scriptedClaims) Release(time.Time, claim.Grant) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.released++
}

func (claims *scriptedClaims) Record(_ time.Time, _ claim.Grant, outcome protocol.ClaimOutcome) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.recorded = append(claims.recorded, outcome)
}

func (claims *scriptedClaims) Forget(claim.Grant) {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.forgotten++
}

// granted returns an answer with a grant that is valid for a minute.
func granted() claim.Answer {
	return claim.Answer{State: protocol.ClaimGranted, Grant: claim.Grant{Correlation: 1, StartBefore: time.Now().Add(time.Minute)}}
}

// handlerFixture is a handler between an HTTP client and a back end.
type handlerFixture struct {
	t        *testing.T
	backend  *fakeBackend
	claims   *scriptedClaims
	gate     *Gate
	pool     *upstream.Pool
	frontend *httptest.Server
}

// newHandlerFixture returns a fixture with a fake back end that handles requests by script. change
// modifies the service.
func newHandlerFixture(t *testing.T, script exchangeScript, change ...func(*model.Service)) *handlerFixture {
	backend := newFakeBackend(t, script)
	created := newHandlerFixtureAt(t, backend.address(), change...)
	created.backend = backend
	return created
}

// newHandlerFixtureAt returns a fixture whose back end is at address.
func newHandlerFixtureAt(t *testing.T, address string, change ...func(*model.Service)) *handlerFixture {
	service := model.Service{
		ID: 1, Tenant: "riga", Name: "ledger", Limits: model.DefaultLimits(),
		Rules: []model.RequestRule{
			{PathPrefix: "/feed", Class: model.ClassFeed, Weight: 1},
			{PathPrefix: "/upload", Class: model.ClassUpload, Weight: 1},
			{Method: http.MethodPost, PathPrefix: "/once", Class: model.ClassCall, AtMostOnce: true, Weight: 2},
			{PathPrefix: "/", Class: model.ClassCall, Weight: 2},
		},
	}
	for _, apply := range change {
		apply(&service)
	}
	created := &handlerFixture{t: t, claims: &scriptedClaims{answer: granted()}}
	created.gate = NewGate(admission.New(admission.Options{
		Slots: service.Limits.SlotsPerTarget, MaximumQueue: service.Limits.MaximumQueue,
		MaximumFeeds: service.Limits.MaximumConnections, StartedAt: time.Now(), Seed: 1,
	}))
	created.pool = upstream.NewPool(address)
	created.frontend = httptest.NewServer(NewHandler(Options{
		Service: func() model.Service { return service }, Gate: created.gate, Pool: created.pool, Claims: created.claims,
		IDAssigner: NewIDAssigner("agent-1", 7), Metrics: NewMetrics(prometheus.NewRegistry()),
	}))
	t.Cleanup(func() {
		created.frontend.CloseClientConnections()
		created.frontend.Close()
		created.pool.Close()
	})
	return created
}

// send sends one request on a new connection. header has names and values in turn.
func (fixture *handlerFixture) send(method, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequest(method, fixture.frontend.URL+path, strings.NewReader(body))
	require.NoError(fixture.t, err)
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	request.Close = true
	return fixture.frontend.Client().Do(request)
}

// exchange sends one request and returns the answer with its complete body.
func (fixture *handlerFixture) exchange(method, path, body string, header ...string) (*http.Response, string) {
	fixture.t.Helper()
	response, err := fixture.send(method, path, body, header...)
	require.NoError(fixture.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(fixture.t, err)
	return response, string(content)
}

// requireRefused sends a request, checks that it is refused with code, and returns the problem.
func (fixture *handlerFixture) requireRefused(code faults.Code, method, path, body string, header ...string) protocol.Problem {
	fixture.t.Helper()
	response, content := fixture.exchange(method, path, body, header...)
	require.Equal(fixture.t, protocol.ContentTypeProblem, response.Header.Get("Content-Type"), content)
	var problem protocol.Problem
	require.NoError(fixture.t, json.Unmarshal([]byte(content), &problem))
	definition, known := faults.Lookup(code)
	require.True(fixture.t, known)
	require.Equal(fixture.t, int(code), problem.Code, content)
	require.Equal(fixture.t, definition.HTTPStatus, response.StatusCode)
	require.Equal(fixture.t, string(definition.Ran), problem.Ran)
	if problem.RetryAfterMilliseconds > 0 {
		require.NotEmpty(fixture.t, response.Header.Get("Retry-After"))
	}
	return problem
}

// eventually waits until condition is true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for the condition")
		}
		time.Sleep(2 * time.Millisecond)
	}
}
