package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledBodyTimesOut guards against a handler that never ends because its caller sends only a
// part of the body and leaves the connection open.
func TestStalledBodyTimesOut(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		done, err := SetBodyDeadline(writer)
		if err == nil {
			_, err = io.ReadAll(request.Body)
			done()
		}
		ended <- err
	}))
	defer server.Close()
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer connection.Close()
	_, err = fmt.Fprint(connection, "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nsome")
	require.NoError(t, err)
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(10 * bodyTimeout):
		t.Fatal("the handler did not end")
	}
}

// TestBodyDeadlineWithoutConnection checks that a writer without a connection, which supports no
// deadlines, is not an error.
func TestBodyDeadlineWithoutConnection(t *testing.T) {
	writer := httptest.NewRecorder()
	done, err := SetBodyDeadline(writer)
	require.NoError(t, err, "a writer without a connection")
	done()
}
