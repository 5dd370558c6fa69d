package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture is a back end that serves on a free loopback port.
type fixture struct {
	server *Server
	url    string
	ledger string
}

func newFixture(t *testing.T, options Options) *fixture {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ledger")
	ledger, err := OpenLedger(path)
	require.NoError(t, err)
	options.Node = "backend-1"
	if options.Slots == 0 {
		options.Slots = 2
	}
	if options.FeedInterval == 0 {
		options.FeedInterval = time.Millisecond
	}
	server := NewServer(options, ledger)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.Close()
		require.NoError(t, server.Err())
		require.NoError(t, ledger.Close())
	})
	return &fixture{server: server, url: listener.URL, ledger: path}
}

func (fixture *fixture) entries(t *testing.T) []Entry {
	t.Helper()
	text, err := os.ReadFile(fixture.ledger)
	require.NoError(t, err)
	var entries []Entry
	for line := range strings.Lines(string(text)) {
		var entry Entry
		require.NoError(t, json.Unmarshal([]byte(line), &entry))
		entries = append(entries, entry)
	}
	return entries
}

func (fixture *fixture) post(t *testing.T, path, id, body string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, fixture.url+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(headerRequestID, "agent-"+id)
	request.Header.Set(headerCallerRequestID, id)
	request.Header.Set(headerIdempotencyKey, "key-"+id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response, answer, err
}

func TestWorkIsAnsweredAndRecorded(t *testing.T) {
	for _, path := range []string{"/call/pools", "/once/payout", "/upload/receipt"} {
		t.Run(path, func(t *testing.T) {
			fixture := newFixture(t, Options{})
			response, body, err := fixture.post(t, path, "r1", "hello")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "agent-r1", response.Header.Get(headerRequestID))
			var got answer
			require.NoError(t, json.Unmarshal(body, &got))
			require.Equal(t, "r1", got.Request)
			require.Equal(t, "key-r1", got.Key)
			require.EqualValues(t, 5, got.BodyBytes)
			entries := fixture.entries(t)
			require.Len(t, entries, 2)
			require.Equal(t, EventStart, entries[0].Event)
			require.Equal(t, EventCompleted, entries[1].Event)
			require.Equal(t, "key-r1", entries[1].Key)
		})
	}
}

func TestMisbehavior(t *testing.T) {
	cases := []struct {
		fault Misbehavior
		check func(t *testing.T, fixture *fixture)
	}{
		{Crossed, func(t *testing.T, fixture *fixture) {
			response, body, err := fixture.post(t, "/call", "r2", "")
			require.NoError(t, err)
			require.Contains(t, string(body), `"request":"r1"`)
			require.Equal(t, "agent-r1", response.Header.Get(headerRequestID))
		}},
		{Short, func(t *testing.T, fixture *fixture) {
			_, _, err := fixture.post(t, "/call", "r2", "")
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}},
		{Doubled, func(t *testing.T, fixture *fixture) {
			require.Equal(t, 2, bytes.Count(rawCall(t, fixture), []byte("HTTP/1.1 200 OK")))
		}},
		{Late, func(t *testing.T, fixture *fixture) {
			before := time.Now()
			_, _, err := fixture.post(t, "/call", "r2", "")
			require.NoError(t, err)
			require.GreaterOrEqual(t, time.Since(before), lateByInTests)
		}},
		{Shed, func(t *testing.T, fixture *fixture) {
			response, body, err := fixture.post(t, "/call", "r2", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Equal(t, "1", response.Header.Get("Retry-After"))
			require.Contains(t, string(body), `"ran":"no"`)
			require.Equal(t, "no", response.Header.Get(headerRan))
			require.Len(t, fixture.entries(t), 2, "a shed request must not be recorded as run")
		}},
	}
	for _, testCase := range cases {
		t.Run(string(testCase.fault), func(t *testing.T) {
			fixture := newFixture(t, Options{LateBy: lateByInTests})
			_, _, err := fixture.post(t, "/call", "r1", "")
			require.NoError(t, err)
			fixture.server.SetFaults([]Misbehavior{testCase.fault})
			testCase.check(t, fixture)
		})
	}
}

const lateByInTests = 30 * time.Millisecond

// rawCall sends one call on a new connection and returns all bytes received until the back end
// closes it.
func rawCall(t *testing.T, fixture *fixture) []byte {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(fixture.url, "http://"))
	require.NoError(t, err)
	defer connection.Close()
	_, err = connection.Write([]byte("GET /call HTTP/1.1\r\nHost: backend\r\nX-Request-Id: r2\r\n\r\n"))
	require.NoError(t, err)
	received, err := io.ReadAll(connection)
	require.NoError(t, err)
	return received
}

func TestReportsUnderMisbehavior(t *testing.T) {
	cases := []struct {
		name    string
		faults  []Misbehavior
		health  int
		running string
	}{
		{"actual reports", nil, http.StatusOK, `"running":2`},
		{"load frozen", []Misbehavior{LoadFrozen}, http.StatusOK, `"running":0`},
		{"wrong", []Misbehavior{Wrong}, http.StatusServiceUnavailable, `"running":0`},
		{"health frozen while shedding", []Misbehavior{HealthFrozen, Shed}, http.StatusOK, `"running":2`},
		{"shedding", []Misbehavior{Shed}, http.StatusServiceUnavailable, `"running":2`},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(t, Options{})
			fixture.server.SetFaults(testCase.faults)
			require.True(t, fixture.server.acquireSlot())
			require.True(t, fixture.server.acquireSlot())
			health, err := http.Get(fixture.url + "/health")
			require.NoError(t, err)
			health.Body.Close()
			require.Equal(t, testCase.health, health.StatusCode)
			load, err := http.Get(fixture.url + "/load")
			require.NoError(t, err)
			defer load.Body.Close()
			text, err := io.ReadAll(load.Body)
			require.NoError(t, err)
			require.Contains(t, string(text), testCase.running)
		})
	}
}

func TestRequestsBeyondSlotsAreShed(t *testing.T) {
	fixture := newFixture(t, Options{Slots: 1})
	require.True(t, fixture.server.acquireSlot())
	response, body, err := fixture.post(t, "/once", "r1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Contains(t, string(body), `"ran":"no"`)
	require.Empty(t, fixture.entries(t))
}

func TestCancelledRunIsRecorded(t *testing.T) {
	cases := []struct {
		name    string
		timeout string
		cancel  bool
	}{
		{"deadline", "20", false},
		{"client disconnected", "", true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(t, Options{ServiceTime: 1000 * time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, fixture.url+"/call", nil)
			require.NoError(t, err)
			request.Header.Set(headerTimeout, testCase.timeout)
			if testCase.cancel {
				go func() {
					for fixture.server.running.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				response.Body.Close()
			}
			require.Eventually(t, func() bool { return len(fixture.entries(t)) == 2 }, 10*time.Second, time.Millisecond)
			require.Equal(t, EventCancelled, fixture.entries(t)[1].Event)
			require.Eventually(t, func() bool { return fixture.server.running.Load() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

func TestFeedResumesWithoutGaps(t *testing.T) {
	fixture := newFixture(t, Options{})
	request, err := http.NewRequest(http.MethodGet, fixture.url+"/feed/pool?for=50ms", nil)
	require.NoError(t, err)
	request.Header.Set(headerRequestID, "f1")
	request.Header.Set(headerLastEventID, "41")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	scanner := bufio.NewScanner(response.Body)
	var lines []string
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	text := strings.Join(lines, "\n")
	require.True(t, strings.HasPrefix(text, "id: 42\n"), text)
	require.Contains(t, text, "event: end")
	require.Equal(t, EventCompleted, fixture.entries(t)[1].Event)
	require.Positive(t, fixture.entries(t)[1].Updates)
}

func TestControlRefusesBadInput(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
	}{
		{"valid", `{"misbehavior":["late","wrong"]}`, http.StatusNoContent},
		{"unknown fault", `{"misbehavior":["explode"]}`, http.StatusUnprocessableEntity},
		{"unknown field", `{"faults":[]}`, http.StatusBadRequest},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			fixture := newFixture(t, Options{})
			request, err := http.NewRequest(http.MethodPut, fixture.url+"/control", strings.NewReader(testCase.body))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			response.Body.Close()
			require.Equal(t, testCase.status, response.StatusCode)
		})
	}
}

func TestColdStartFactorFallsToOne(t *testing.T) {
	server := NewServer(Options{ColdStart: 10 * time.Second}, nil)
	require.InDelta(t, initialColdStartFactor, server.coldStartFactor(server.started), 0.001)
	require.InDelta(t, 1+(initialColdStartFactor-1)/2, server.coldStartFactor(server.started.Add(5*time.Second)), 0.001)
	require.InDelta(t, 1, server.coldStartFactor(server.started.Add(10*time.Second)), 0.001)
}

func TestEchoNamesTheBackEnd(t *testing.T) {
	connection, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- Echo{Node: "backend-1"}.Serve(ctx, connection) }()
	client, err := net.Dial("udp", connection.LocalAddr().String())
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Write([]byte("ping"))
	require.NoError(t, err)
	buffer := make([]byte, 64)
	length, err := client.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "backend-1\nping", string(buffer[:length]))
	cancel()
	require.NoError(t, <-served)
}
