package requests

import (
	"errors"
	"io"
	"sync/atomic"

	"merlinpaddle/internal/faults"
)

// limitedBody reads a caller's body. It turns two failures into errors with codes: a body over the
// limit, and one that the caller did not complete.
type limitedBody struct {
	source io.ReadCloser
	// remaining is how many bytes may still be read; negative means over the limit.
	remaining int64
	// failedWith is the error of the body, or nil. It is atomic because the goroutine that sends
	// the body to the back end sets it and the handler reads it.
	failedWith atomic.Pointer[error]
}

// newLimitedBody returns a body of at most limit bytes of source.
func newLimitedBody(source io.ReadCloser, limit int64) *limitedBody {
	return &limitedBody{source: source, remaining: limit}
}

// Read implements io.Reader.
func (body *limitedBody) Read(buffer []byte) (int, error) {
	count, err := body.source.Read(buffer)
	body.remaining -= int64(count)
	switch {
	case body.remaining < 0:
		return 0, body.recordFailure(faults.New(faults.RequestBodyOverLimit, "the body is longer than the service allows"))
	case err == nil || errors.Is(err, io.EOF):
		return count, err
	default:
		return count, body.recordFailure(faults.New(faults.RequestBodyIncomplete, "the body ended early: %v", err))
	}
}

// recordFailure stores err for failure and returns it.
func (body *limitedBody) recordFailure(err error) error {
	body.failedWith.Store(&err)
	return err
}

// failure returns the error of the caller's body, or nil.
func (body *limitedBody) failure() error {
	if err := body.failedWith.Load(); err != nil {
		return *err
	}
	return nil
}

// Close implements io.Closer.
func (body *limitedBody) Close() error { return body.source.Close() }
