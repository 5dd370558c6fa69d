package fabric

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/standin/platform"
)

func TestControlRequests(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		status                   int
		answer                   string
	}{
		{"read", http.MethodGet, "/impairments", "", http.StatusOK, `"loss":0.25`},
		{"replace", http.MethodPut, "/impairments", `{"cut_zones":["zone-1"]}`, http.StatusOK, `"loss":0`},
		{"remove", http.MethodDelete, "/impairments", "", http.StatusNoContent, ""},
		{"live balancers", http.MethodGet, "/balancers", "", http.StatusOK, `{"live":1}`},
		{"not JSON", http.MethodPut, "/impairments", `{`, http.StatusBadRequest, "cannot be read"},
		{"unknown field", http.MethodPut, "/impairments", `{"los":1}`, http.StatusBadRequest, "los"},
		{"value out of range", http.MethodPut, "/impairments", `{"loss":3}`, http.StatusBadRequest, "loss: 3"},
		{"body too large", http.MethodPut, "/impairments", `{"cut_zones":["` + strings.Repeat("x", maximumControlBytes) + `"]}`, http.StatusBadRequest, "too large"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fabric := startFabric(t, listedBalancer("b1", openSocket(t), platform.StateLive))
			before := Impairments{Loss: 0.25}
			fabric.network.impairments.Store(&before)
			recorder := httptest.NewRecorder()
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			fabric.ControlHandler().ServeHTTP(recorder, request)
			require.Equal(t, test.status, recorder.Code)
			require.Contains(t, recorder.Body.String(), test.answer)
			if test.status == http.StatusBadRequest {
				require.Equal(t, before, *fabric.network.impairments.Load(), "an invalid request must not change the impairments")
				var problem controlProblem
				require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
				require.Equal(t, faults.FabricControlRefused, problem.Code)
			}
		})
	}
}

// platformAnswer is one answer of the simulated platform.
type platformAnswer struct {
	status int
	body   string
}

func TestPollerKeepsTheLastListThroughFaults(t *testing.T) {
	const valid = `[{"name":"b1","role":"balancer","zone":"z","address":"127.0.0.1:1","state":"live"}]`
	cases := []struct {
		name   string
		answer platformAnswer
		live   int
	}{
		{"the same list", platformAnswer{http.StatusOK, valid}, 1},
		{"an empty list", platformAnswer{http.StatusOK, `[]`}, 0},
		{"a leaving balancer", platformAnswer{http.StatusOK, strings.Replace(valid, "live", "leaving", 1)}, 0},
		{"an unreadable address", platformAnswer{http.StatusOK, strings.Replace(valid, "127.0.0.1:1", "x", 1)}, 0},
		{"an error", platformAnswer{http.StatusInternalServerError, ""}, 1},
		{"not JSON", platformAnswer{http.StatusOK, `<html>`}, 1},
		{"a truncated list", platformAnswer{http.StatusOK, valid[:40]}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer := platformAnswer{http.StatusOK, valid}
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(answer.status)
				_, _ = writer.Write([]byte(answer.body))
			}))
			defer server.Close()
			machines := NewMachines()
			poller, err := NewPoller(server.URL, time.Hour, machines, zap.NewNop(), func(int) {})
			require.NoError(t, err)
			defer poller.client.CloseIdleConnections()
			poller.poll(context.Background())
			require.Equal(t, 1, machines.Live())
			answer = test.answer
			poller.poll(context.Background())
			require.Equal(t, test.live, machines.Live())
		})
	}
}

func TestPollerReadsThePlatformStandIn(t *testing.T) {
	history := platform.NewHistory(0)
	server := httptest.NewServer(platform.NewHandler(history))
	defer server.Close()
	now := time.Now()
	history.Put(now, platform.Machine{Name: "b1", Role: balancerRole, Zone: "z", Address: "127.0.0.1:1", State: platform.StateLive})
	history.Put(now, platform.Machine{Name: "a1", Role: "agent", Zone: "y", Address: "127.0.0.2:1", State: platform.StateLive})
	machines := NewMachines()
	ctx, cancel := context.WithCancel(context.Background())
	live := make(chan int, 1)
	poller, err := NewPoller(server.URL, time.Hour, machines, zap.NewNop(), func(count int) { live <- count })
	require.NoError(t, err)
	defer poller.client.CloseIdleConnections()
	done := make(chan error, 1)
	go func() { done <- poller.Run(ctx) }()
	require.Equal(t, 1, <-live)
	require.Equal(t, "z", machines.view().nextHops[0].zone)
	require.Equal(t, "y", machines.view().zones[loopback.Addr().Next()])
	cancel()
	require.NoError(t, <-done)
}
