package backend

import (
	"context"
	"encoding/json"
	"hash"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// answerPadding is the number of bytes that make answers long enough to be cut in the middle.
const answerPadding = 512

// answer is the body of the answer to a call or upload. It repeats the request's identifiers and
// describes the body received, so that the caller can check it.
type answer struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Node    string `json:"node"`
	// Sequence counts the completed runs of this back end, from one.
	Sequence uint64 `json:"sequence"`
	// BodyBytes and BodyChecksum are those of the request's body.
	BodyBytes    int64  `json:"body_bytes"`
	BodyChecksum string `json:"body_checksum"`
	Padding      string `json:"padding"`
	// headerID is the value of the answer's X-Request-Id header.
	headerID string
}

// serveWork returns the handler of calls or uploads. A request acquires a slot, its body is read, the
// work takes a random time, and the answer is sent. Without a free slot the request is refused.
func (server *Server) serveWork(class string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if server.faults.contains(Shed) || server.draining.Load() {
			writeProblem(writer, http.StatusServiceUnavailable, "no", "the back end sheds load")
			return
		}
		if !server.acquireSlot() {
			writeProblem(writer, http.StatusServiceUnavailable, "no", "all slots are taken")
			return
		}
		defer server.releaseSlot()
		server.run(writer, request, identify(request, class))
	}
}

// run does the work of one request that holds a slot, records it in the ledger and answers it.
func (server *Server) run(writer http.ResponseWriter, request *http.Request, identity runIdentity) {
	server.record(EventStart, identity, 0)
	ctx, cancel := withDeadline(request)
	defer cancel()
	checksum := xxhash.New()
	length, err := readBody(writer, request, checksum)
	if err == nil {
		err = sleep(ctx, server.workTime())
	}
	if err != nil {
		server.record(EventCancelled, identity, 0)
		writeProblem(writer, http.StatusGatewayTimeout, "unknown", "the request was cancelled: "+err.Error())
		return
	}
	current := &answer{
		Request:      identity.request,
		Key:          identity.key,
		Node:         server.options.Node,
		Sequence:     server.sequence.Add(1),
		BodyBytes:    length,
		BodyChecksum: strconv.FormatUint(checksum.Sum64(), 16),
		Padding:      padding(),
		headerID:     identity.headerID,
	}
	server.record(EventCompleted, identity, 0)
	server.send(ctx, writer, current)
}

func readBody(writer http.ResponseWriter, request *http.Request, checksum hash.Hash) (int64, error) {
	return io.Copy(checksum, http.MaxBytesReader(writer, request.Body, maximumUploadBytes))
}

// withDeadline returns the request's context, with the deadline that its Request-Timeout header
// sets in milliseconds, if any.
func withDeadline(request *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(request.Header.Get(headerTimeout), 10, 64)
	if err != nil || milliseconds <= 0 {
		return context.WithCancel(request.Context())
	}
	return context.WithTimeout(request.Context(), time.Duration(milliseconds)*time.Millisecond)
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func padding() string {
	text := make([]byte, answerPadding)
	for index := range text {
		text[index] = 'a' + byte(index%26)
	}
	return string(text)
}

// send writes the answer, altered by the active faults.
func (server *Server) send(ctx context.Context, writer http.ResponseWriter, current *answer) {
	previous := server.latestAnswer.swap(current)
	if server.faults.contains(Late) {
		// A late answer is sent even after the client has disconnected or the deadline has passed.
		_ = sleep(context.WithoutCancel(ctx), server.options.LateBy)
	}
	chosen := current
	if server.faults.contains(Crossed) && previous != nil {
		chosen = previous
	}
	body, err := json.Marshal(chosen)
	if err != nil {
		writeProblem(writer, http.StatusInternalServerError, "unknown", err.Error())
		return
	}
	switch {
	case server.faults.contains(Short):
		sendRaw(writer, rawAnswer(chosen.headerID, body, len(body)/2), 0)
	case server.faults.contains(Doubled):
		// The connection stays open for a while, so that a client without checks reuses it and takes
		// the second copy for the answer to its next request.
		complete := rawAnswer(chosen.headerID, body, len(body))
		sendRaw(writer, append(complete, complete...), server.options.LateBy)
	default:
		sendAnswer(writer, chosen.headerID, body)
	}
}

func sendAnswer(writer http.ResponseWriter, requestID string, body []byte) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.Header().Set(headerRequestID, requestID)
	// A write error means that the client has disconnected; the ledger already has the run's end.
	_, _ = writer.Write(body)
}

// rawAnswer returns the bytes of an HTTP/1.1 answer whose Content-Length is that of body, but which
// holds only the first sent bytes of body.
func rawAnswer(requestID string, body []byte, sent int) []byte {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
		headerRequestID + ": " + requestID + "\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	return append([]byte(head), body[:sent]...)
}

// sendRaw hijacks the connection, writes bytes to it and closes it after hold.
func sendRaw(writer http.ResponseWriter, bytes []byte, hold time.Duration) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	connection, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = buffer.Write(bytes)
	_ = buffer.Flush()
	time.Sleep(hold)
}
