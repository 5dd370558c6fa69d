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

// waitLimit ends a test that waits for something that never comes.
const waitLimit = 10 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchangeScript is how the fake back end treats one request. It returns
// whether the connection stays open for another.
type exchangeScript func(connection net.Conn, request *http.Request) bool

// fakeBackend is an HTTP/1.1 back end that can break every rule.
type fakeBackend struct {
	listener net.Listener
	script   atomic.Pointer[exchangeScript]
	// requests and connections count what arrived.
	requests    atomic.Int32
	connections atomic.Int32
	serving     sync.WaitGroup
	lock        sync.Mutex
	open        map[net.Conn]struct{}
}

func newFakeBackend(t *testing.T, script exchangeScript) *fakeBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &fakeBackend{listener: listener, open: make(map[net.Conn]struct{})}
	backend.behave(script)
	backend.serving.Go(backend.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		backend.closeConnections()
		backend.serving.Wait()
	})
	return backend
}

func (backend *fakeBackend) behave(script exchangeScript) { backend.script.Store(&script) }

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

// answerText is a whole HTTP/1.1 answer to the request with the ID.
func answerText(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, len(body), body)
}

func requestID(request *http.Request) string { return request.Header.Get(protocol.HeaderRequestID) }

// answerWhole reads the request and answers it as it should be.
func answerWhole(connection net.Conn, request *http.Request) bool {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	_, err = io.WriteString(connection, answerText(200, requestID(request), fmt.Sprintf("%s %s %d", request.Method, request.URL.Path, len(body))))
	return err == nil
}

// waitClosed waits until the peer closes the connection.
func waitClosed(connection net.Conn) {
	_, _ = io.Copy(io.Discard, connection)
}

// scriptedClaims answers claims as a test says.
type scriptedClaims struct {
	lock     sync.Mutex
	answer   claim.Answer
	silent   bool
	released int
	recorded []protocol.ClaimOutcome
	forgot   int
	asked    int
}

func (claims *scriptedClaims) Claim(_ time.Time, key protocol.ClaimKey, _ uint64, _ time.Time, done func(claim.Answer)) uint64 {
	claims.lock.Lock()
	defer claims.lock.Unlock()
	claims.asked++
	if !claims.silent {
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
	claims.forgot++
}

func granted() claim.Answer {
	return claim.Answer{State: protocol.ClaimGranted, Grant: claim.Grant{Correlation: 1, StartBefore: time.Now().Add(time.Minute)}}
}

// rig is a handler between a client and a fake back end.
type rig struct {
	t       *testing.T
	backend *fakeBackend
	claims  *scriptedClaims
	gate    *Gate
	pool    *upstream.Pool
	front   *httptest.Server
}

func newRig(t *testing.T, script exchangeScript, change ...func(*model.Service)) *rig {
	backend := newFakeBackend(t, script)
	created := newRigAt(t, backend.address(), change...)
	created.backend = backend
	return created
}

func newRigAt(t *testing.T, address string, change ...func(*model.Service)) *rig {
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
	created := &rig{t: t, claims: &scriptedClaims{answer: granted()}}
	created.gate = NewGate(admission.New(admission.Options{
		Slots: service.Limits.SlotsPerTarget, MaximumQueue: service.Limits.MaximumQueue,
		MaximumFeeds: service.Limits.MaximumConnections, StartedAt: time.Now(), Seed: 1,
	}))
	created.pool = upstream.NewPool(address)
	created.front = httptest.NewServer(NewHandler(Options{
		Service: func() model.Service { return service }, Gate: created.gate, Pool: created.pool, Claims: created.claims,
		IDAssigner: NewIDAssigner("agent-1", 7), Metrics: NewMetrics(prometheus.NewRegistry()),
	}))
	t.Cleanup(func() {
		created.front.CloseClientConnections()
		created.front.Close()
		created.pool.Close()
	})
	return created
}

// send sends one request on a connection of its own.
func (rig *rig) send(method, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequest(method, rig.front.URL+path, strings.NewReader(body))
	require.NoError(rig.t, err)
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	request.Close = true
	return rig.front.Client().Do(request)
}

// get sends a request and returns its whole answer.
func (rig *rig) get(method, path, body string, header ...string) (*http.Response, string) {
	rig.t.Helper()
	response, err := rig.send(method, path, body, header...)
	require.NoError(rig.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(rig.t, err)
	return response, string(content)
}

// refused checks that a request is refused with code and returns the problem.
func (rig *rig) refused(code faults.Code, method, path, body string, header ...string) protocol.Problem {
	rig.t.Helper()
	response, content := rig.get(method, path, body, header...)
	require.Equal(rig.t, protocol.ContentTypeProblem, response.Header.Get("Content-Type"), content)
	var problem protocol.Problem
	require.NoError(rig.t, json.Unmarshal([]byte(content), &problem))
	definition, known := faults.Lookup(code)
	require.True(rig.t, known)
	require.Equal(rig.t, int(code), problem.Code, content)
	require.Equal(rig.t, definition.HTTPStatus, response.StatusCode)
	require.Equal(rig.t, string(definition.Ran), problem.Ran)
	if problem.RetryAfterMilliseconds > 0 {
		require.NotEmpty(rig.t, response.Header.Get("Retry-After"))
	}
	return problem
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not come true")
		}
		time.Sleep(2 * time.Millisecond)
	}
}
