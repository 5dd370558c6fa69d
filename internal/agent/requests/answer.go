package requests

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"merlinpaddle/internal/agent/upstream"
	"merlinpaddle/internal/protocol"
)

const (
	// answerBufferSize is how much of an answer's body is read before its header is sent to the
	// caller, in bytes. An answer that is truncated within this size becomes a refusal with an
	// error code; one that is truncated later can only become a stream reset.
	answerBufferSize = 64 << 10
	// feedBufferSize is the size of the buffer of one feed, in bytes.
	feedBufferSize = 16 << 10
)

// copyAnswerHeader copies the answer's header to writer, with the request ID that the caller sent.
func copyAnswerHeader(writer http.ResponseWriter, answer *upstream.Answer, callerID string) {
	copyEndToEndFields(writer.Header(), answer.Header)
	writer.Header().Set(protocol.HeaderRequestID, callerID)
}

// forwardAnswer sends an answer to the caller. A returned error means that nothing was sent. When
// the answer is truncated after its header was sent, it resets the stream, which callers cannot
// mistake for the end of the answer.
func forwardAnswer(writer http.ResponseWriter, answer *upstream.Answer, callerID string) error {
	start, ended, err := readPrefix(answer.Body)
	if err != nil {
		return err
	}
	copyAnswerHeader(writer, answer, callerID)
	if ended && answer.ContentLength < 0 && len(answer.Trailer) == 0 {
		writer.Header().Set("Content-Length", strconv.Itoa(len(start)))
	}
	writer.WriteHeader(answer.StatusCode)
	if _, err := writer.Write(start); err != nil && len(start) > 0 {
		panic(http.ErrAbortHandler)
	}
	if !ended {
		copyRest(writer, answer.Body, make([]byte, answerBufferSize), func() {})
	}
	copyTrailer(writer, answer)
	return nil
}

// readPrefix reads up to answerBufferSize bytes of body. ended reports whether the body ended
// before that size.
func readPrefix(body io.Reader) (start []byte, ended bool, err error) {
	start, err = io.ReadAll(io.LimitReader(body, answerBufferSize))
	if err != nil {
		return nil, false, err
	}
	if len(start) < answerBufferSize {
		return start, true, nil
	}
	return start, false, nil
}

// copyRest copies the rest of body, and calls afterWrite after each write. It resets the stream
// when body or writer fails.
func copyRest(writer io.Writer, body io.Reader, buffer []byte, afterWrite func()) {
	for {
		count, err := body.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
			afterWrite()
		}
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
	}
}

// copyTrailer sends the answer's trailer fields after the body.
func copyTrailer(writer http.ResponseWriter, answer *upstream.Answer) {
	for name, values := range answer.Trailer {
		writer.Header()[http.TrailerPrefix+name] = values
	}
}

// forwardFeed sends a feed to the caller until it ends, and flushes after each write so that
// updates are not delayed.
func forwardFeed(writer http.ResponseWriter, answer *upstream.Answer, callerID string) {
	copyAnswerHeader(writer, answer, callerID)
	writer.WriteHeader(answer.StatusCode)
	controller := http.NewResponseController(writer)
	flush := func() { _ = controller.Flush() }
	flush()
	copyRest(writer, answer.Body, make([]byte, feedBufferSize), flush)
	copyTrailer(writer, answer)
}
