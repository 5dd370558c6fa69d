package process

import (
	"errors"
	"net/http"
	"time"
)

// bodyWithin bounds the time in which a caller sends the body of a call. A connection may
// fall silent for good without a reset; without a bound each of them would hold a
// goroutine and its buffers for ever. Callers wait a second or a little longer for an
// answer, and send 16 MB in two on a link of 100 Mbit/s.
const bodyWithin = 5 * time.Second

// SetBodyDeadline makes reads of a request's body fail once bodyWithin has passed. The returned
// function ends the bound; it is called once the body was read whole. Without that call
// the bound stays, because a server reads what is left of a body before it answers.
func SetBodyDeadline(writer http.ResponseWriter) (done func(), err error) {
	controller := http.NewResponseController(writer)
	err = controller.SetReadDeadline(time.Now().Add(bodyWithin))
	if errors.Is(err, http.ErrNotSupported) {
		// The writer belongs to no connection, so that nothing can fall silent.
		return func() {}, nil
	}
	return func() { _ = controller.SetReadDeadline(time.Time{}) }, err
}
