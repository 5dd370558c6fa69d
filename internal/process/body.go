package process

import (
	"errors"
	"net/http"
	"time"
)

// bodyTimeout bounds the time to read the body of a request. A peer may stop responding without
// closing or resetting its connection; without a bound, each such connection would hold a goroutine
// and its buffers forever. Callers wait for an answer for a second or slightly longer, and send 16 MB
// in two seconds over a link of 100 Mbit/s.
const bodyTimeout = 5 * time.Second

// SetBodyDeadline makes reads of a request's body fail after bodyTimeout. The returned function
// removes the deadline, because handling the request may take longer than that. It must be called
// only after the whole body has been read: otherwise the server reads the rest of the body before it
// answers, and needs the deadline.
func SetBodyDeadline(writer http.ResponseWriter) (done func(), err error) {
	controller := http.NewResponseController(writer)
	err = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		// The writer has no connection, as in tests, so no peer can stop responding.
		return func() {}, nil
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) }, err
}
