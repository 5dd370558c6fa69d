package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func send(handler http.Handler, method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func list(t *testing.T, handler http.Handler) []Machine {
	t.Helper()
	answer := send(handler, http.MethodGet, "/machines", "")
	require.Equal(t, http.StatusOK, answer.Code)
	var machines []Machine
	require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &machines))
	return machines
}

func TestMachineRequests(t *testing.T) {
	const valid = `{"name":"b1","role":"balancer","zone":"z1","address":"127.0.0.1:6081","state":"live"}`
	cases := []struct {
		name, method, path, body string
		status                   int
		detail                   string
	}{
		{"register", http.MethodPost, "/machines", valid, http.StatusOK, ""},
		{"not JSON", http.MethodPost, "/machines", `{`, http.StatusBadRequest, "cannot be read"},
		{"unknown field", http.MethodPost, "/machines", `{"nme":"b1"}`, http.StatusBadRequest, "nme"},
		{"no name", http.MethodPost, "/machines", strings.Replace(valid, `"b1"`, `""`, 1), http.StatusUnprocessableEntity, "name"},
		{"unknown role", http.MethodPost, "/machines", strings.Replace(valid, `"balancer"`, `"router"`, 1), http.StatusUnprocessableEntity, "role"},
		{"host name as address", http.MethodPost, "/machines", strings.Replace(valid, "127.0.0.1", "localhost", 1), http.StatusUnprocessableEntity, "address"},
		{"unknown state", http.MethodPost, "/machines", strings.Replace(valid, `"live"`, `"gone"`, 1), http.StatusUnprocessableEntity, "state"},
		{"remove unknown", http.MethodDelete, "/machines/b9", "", http.StatusNotFound, "b9"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			answer := send(NewHandler(NewHistory(0)), testCase.method, testCase.path, testCase.body)
			require.Equal(t, testCase.status, answer.Code)
			require.Contains(t, answer.Body.String(), testCase.detail)
		})
	}
}

func TestListLagsByDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 2 * time.Second
		handler := NewHandler(NewHistory(delay))
		live := `{"name":"b1","role":"balancer","zone":"z1","address":"127.0.0.1:6081","state":"live"}`
		require.Equal(t, http.StatusOK, send(handler, http.MethodPost, "/machines", live).Code)
		require.Empty(t, list(t, handler), "a new machine must not be listed before the delay")
		time.Sleep(delay)
		require.Len(t, list(t, handler), 1)

		leaving := strings.Replace(live, `"live"`, `"leaving"`, 1)
		require.Equal(t, http.StatusOK, send(handler, http.MethodPost, "/machines", leaving).Code)
		require.Equal(t, StateLive, list(t, handler)[0].State, "the change must not be listed before the delay")
		time.Sleep(delay / 2)
		require.Equal(t, http.StatusNoContent, send(handler, http.MethodDelete, "/machines/b1", "").Code)
		time.Sleep(delay / 2)
		require.Equal(t, StateLeaving, list(t, handler)[0].State)
		time.Sleep(delay / 2)
		require.Empty(t, list(t, handler))
	})
}

func TestHistoryPrunesOldVersions(t *testing.T) {
	history := NewHistory(time.Second)
	start := time.Unix(1000, 0)
	for second := range 100 {
		history.Put(start.Add(time.Duration(second)*time.Second), Machine{Name: "b1"})
	}
	require.LessOrEqual(t, len(history.versions), 3)
}
