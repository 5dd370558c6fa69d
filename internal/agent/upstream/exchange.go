package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/protocol"
)

const (
	// maximumAnswersPerRequest bounds the answers of one request that are read, including the final
	// one.
	maximumAnswersPerRequest = 8
	// sendGrace is how long after the end of its answer a request may still be sent before its
	// connection is closed.
	sendGrace = 100 * time.Millisecond
)

// BeforeSend is called right before the first byte is sent to the back end. If it returns an error,
// nothing is sent, so the request does not run.
type BeforeSend func() error

// Answer is the back end's answer. Its body must be closed.
type Answer struct {
	*http.Response
	// Body returns io.EOF only after the complete body. A truncated body ends with an error with
	// code BackendAnswerShort, or BackendTimeout if the deadline has passed.
	Body io.ReadCloser
}

// Do sends request to the back end and returns its answer once the header is received. requestID is
// sent in a header field, and the answer must have the same. The errors have codes that say whether
// the request may have run. When ctx ends, the connection is closed, which cancels the request at
// the back end.
func (pool *Pool) Do(ctx context.Context, request *http.Request, requestID string, beforeSend BeforeSend) (*Answer, error) {
	request.Header.Set(protocol.HeaderRequestID, requestID)
	for {
		taken, err := pool.acquire(ctx)
		if err != nil {
			return nil, err
		}
		taken.beforeSend = beforeSend
		answer, err := pool.exchange(ctx, taken, request, requestID)
		if err == nil {
			return answer, nil
		}
		// The back end had closed the idle connection before a byte was written. Nothing
		// reached the back end, so the request may be sent on another connection.
		stale := errors.Is(err, errNothingSent) && taken.reused && ctx.Err() == nil
		if !stale || !rewind(request) {
			return nil, err
		}
	}
}

// rewind resets the request's body to its start, so that the request can be sent again. It reports
// whether it could.
func rewind(request *http.Request) bool {
	if request.Body == nil || request.Body == http.NoBody {
		return true
	}
	if request.GetBody == nil {
		return false
	}
	body, err := request.GetBody()
	request.Body = body
	return err == nil
}

// exchange is the exchange of one request and its answer on a connection.
type exchange struct {
	pool       *Pool
	connection *connection
	requestID  string
	// streamedBody reports whether the body is read from the caller while it is sent.
	streamedBody bool
	// stopCloseOnCancel stops the closing of the connection when the context ends. It returns false
	// if the context has ended already.
	stopCloseOnCancel func() bool
	// sendDone gets the result of sending the request, once.
	sendDone chan error
	finished sync.Once
}

// exchange sends request on the connection and returns its answer once the header is received.
// After an error the connection is closed.
func (pool *Pool) exchange(ctx context.Context, taken *connection, request *http.Request, requestID string) (*Answer, error) {
	current := &exchange{
		pool:         pool,
		connection:   taken,
		requestID:    requestID,
		streamedBody: request.Body != nil && request.Body != http.NoBody && request.GetBody == nil,
		sendDone:     make(chan error, 1),
	}
	current.stopCloseOnCancel = context.AfterFunc(ctx, taken.close)
	go current.send(request)
	response, err := current.readHeader(request)
	if err != nil {
		current.abort()
		return nil, current.classifyError(ctx, err)
	}
	body := &answerBody{exchange: current, ctx: ctx, response: response}
	return &Answer{Response: response, Body: body}, nil
}

// send writes the request. It runs concurrently with the reading of the answer, because a back end
// may answer before it has read the complete body.
func (exchange *exchange) send(request *http.Request) {
	writer := bufio.NewWriter(exchange.connection)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	exchange.sendDone <- err
	if err != nil {
		// The request cannot be completed on this connection. Closing it also ends the wait for
		// the answer.
		exchange.connection.close()
	}
}

// readHeader reads the header of the final answer and checks that the answer belongs to this
// request. It skips interim (1xx) answers.
func (exchange *exchange) readHeader(request *http.Request) (*http.Response, error) {
	for range maximumAnswersPerRequest {
		response, err := http.ReadResponse(exchange.connection.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			exchange.connection.headerBytesLeft.Store(-1)
			return response, exchange.checkAnswer(response)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, faults.New(faults.BackendAnswerMismatched, "the back end sent no final answer")
}

// checkAnswer returns an error if the answer has another request ID, or if the end of its body
// could not be distinguished from a broken connection.
func (exchange *exchange) checkAnswer(response *http.Response) error {
	if echoed := response.Header.Get(protocol.HeaderRequestID); echoed != exchange.requestID {
		return faults.New(faults.BackendAnswerMismatched, "the answer carries request ID %q, not %q", echoed, exchange.requestID)
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed && response.Body != http.NoBody {
		return faults.New(faults.BackendAnswerUnframed, "the answer has neither Content-Length nor chunked encoding")
	}
	return nil
}

// errNothingSent means that no byte of a request was sent.
var errNothingSent = errors.New("nothing was sent")

// classifyError returns an error with a code for an error that occurred before the answer's header
// was received. The connection must be closed already.
func (exchange *exchange) classifyError(ctx context.Context, err error) error {
	sendErr, sendEnded := exchange.sendResult()
	switch {
	case faults.CodeOf(err) != 0:
		return err
	case faults.CodeOf(sendErr) != 0:
		return sendErr
	case sendEnded && exchange.connection.written.Load() == 0:
		unreachable := faults.New(faults.BackendUnreachable, "the back end had closed the connection: %v", err)
		return errors.Join(unreachable, errNothingSent)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return faults.New(faults.BackendTimeout, "no answer before the deadline")
	default:
		return faults.New(faults.BackendConnectionLost, "the back end gave no answer: %v", errors.Join(err, sendErr))
	}
}

// sendResult returns the result of sending the request, and false if sending has not ended. Without
// a streamed body it waits for the end, which is immediate because the connection is closed. A
// streamed body may block on the caller.
func (exchange *exchange) sendResult() (result error, ended bool) {
	if !exchange.streamedBody {
		return <-exchange.sendDone, true
	}
	select {
	case err := <-exchange.sendDone:
		return err, true
	default:
		return nil, false
	}
}

// abort ends the exchange and closes the connection.
func (exchange *exchange) abort() {
	exchange.finished.Do(func() {
		exchange.stopCloseOnCancel()
		exchange.pool.discard(exchange.connection)
	})
}

// finish ends the exchange after a complete answer. It returns the connection to the pool if
// keepOpen is set and the request was sent completely as well.
func (exchange *exchange) finish(keepOpen bool) {
	exchange.finished.Do(func() {
		if !exchange.stopCloseOnCancel() || !keepOpen {
			exchange.pool.discard(exchange.connection)
			return
		}
		select {
		case err := <-exchange.sendDone:
			exchange.release(err)
		default:
			go exchange.releaseAfterSend()
		}
	})
}

// releaseAfterSend waits up to sendGrace for the end of sending, which may be shortly after the end
// of the answer. If the back end answered without reading the complete body, the connection is
// closed.
func (exchange *exchange) releaseAfterSend() {
	timer := time.NewTimer(sendGrace)
	defer timer.Stop()
	select {
	case err := <-exchange.sendDone:
		exchange.release(err)
	case <-timer.C:
		exchange.pool.discard(exchange.connection)
	}
}

// release returns the connection to the pool if the request was sent completely, and closes it
// otherwise.
func (exchange *exchange) release(sendErr error) {
	if sendErr != nil {
		exchange.pool.discard(exchange.connection)
		return
	}
	exchange.pool.putBack(exchange.connection)
}

// answerBody reads an answer's body. At its end it returns the connection to the pool or closes it.
type answerBody struct {
	exchange *exchange
	ctx      context.Context
	response *http.Response
	// ended is true after the complete body was read.
	ended bool
}

// Read implements io.Reader.
func (body *answerBody) Read(buffer []byte) (int, error) {
	count, err := body.response.Body.Read(buffer)
	switch {
	case err == nil:
		return count, nil
	case errors.Is(err, io.EOF):
		body.ended = true
		body.exchange.finish(!body.response.Close)
		return count, io.EOF
	default:
		body.exchange.abort()
		return count, body.classifyError(err)
	}
}

// classifyError returns an error with a code for an error while the body was read.
func (body *answerBody) classifyError(err error) error {
	if errors.Is(context.Cause(body.ctx), context.DeadlineExceeded) {
		return faults.New(faults.BackendTimeout, "the answer was incomplete at the deadline")
	}
	return faults.New(faults.BackendAnswerShort, "the answer ended early: %v", err)
}

// Close implements io.Closer. If the body was not read to its end, it closes the connection, so
// that the rest of the answer cannot be read as the answer to a later request.
func (body *answerBody) Close() error {
	if !body.ended {
		body.exchange.abort()
	}
	return nil
}
