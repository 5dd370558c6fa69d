package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/settings"
)

// The back end is healthy only if it answers its health path itself, with status
// 200 and within healthTimeout.
func TestHealthReports(t *testing.T) {
	otherServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(otherServer.Close)
	cases := []struct {
		name    string
		handler http.HandlerFunc
		healthy bool
	}{
		{"healthy", func(http.ResponseWriter, *http.Request) {}, true},
		{"another success status", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }, false},
		{"unhealthy", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusServiceUnavailable) }, false},
		{"no answer within the timeout", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }, false},
		{"connection closed before the answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
		{"redirect to another server", func(writer http.ResponseWriter, request *http.Request) {
			http.Redirect(writer, request, otherServer.URL, http.StatusFound)
		}, false},
		{"endless body", func(writer http.ResponseWriter, request *http.Request) {
			for request.Context().Err() == nil {
				if _, err := writer.Write([]byte(strings.Repeat("a", 1000))); err != nil {
					return
				}
			}
		}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backend := httptest.NewServer(test.handler)
			defer backend.Close()
			config := settings.Default()
			config.Agent.Backend = backend.Listener.Addr().String()
			agent := &Agent{settings: config}
			client := newHealthClient()
			defer client.CloseIdleConnections()
			require.Equal(t, test.healthy, agent.checkHealth(t.Context(), client))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		backend := httptest.NewServer(nil)
		config := settings.Default()
		config.Agent.Backend = backend.Listener.Addr().String()
		backend.Close()
		client := newHealthClient()
		defer client.CloseIdleConnections()
		require.False(t, (&Agent{settings: config}).checkHealth(t.Context(), client))
	})
}
