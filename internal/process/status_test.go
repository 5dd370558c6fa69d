package process

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReadyzNamesUnreadyParts(t *testing.T) {
	tests := []struct {
		name   string
		parts  []Part
		status int
		answer string
	}{
		{"no parts", nil, http.StatusServiceUnavailable, "not ready: \n"},
		{"all parts ready", []Part{{"consensus", true}, {"packets", true}}, http.StatusOK, "ready\n"},
		{"one part not ready", []Part{{"consensus", false}, {"packets", true}}, http.StatusServiceUnavailable, "not ready: consensus\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			readiness := NewReadiness()
			for _, part := range test.parts {
				readiness.Set(part.Name, part.Ready)
			}
			handler := statusHandler(readiness, newRegistry(readiness))

			answer := get(handler, "/readyz")
			require.Equal(t, test.status, answer.Code)
			require.Equal(t, test.answer, answer.Body.String())
			require.Equal(t, http.StatusOK, get(handler, "/healthz").Code)
		})
	}
}

func TestMetricsContainReadinessOfEachPart(t *testing.T) {
	readiness := NewReadiness()
	readiness.Set("consensus", true)
	readiness.Set("packets", false)
	metrics := get(statusHandler(readiness, newRegistry(readiness)), "/metrics").Body.String()
	require.Contains(t, metrics, `merlinpaddle_ready{part="consensus"} 1`)
	require.Contains(t, metrics, `merlinpaddle_ready{part="packets"} 0`)
}

// get returns handler's response to a GET request for path.
func get(handler http.Handler, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}
