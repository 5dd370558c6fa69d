package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// reply holds the fields of an answer's body that the caller checks.
type reply struct {
	Request      string `json:"request"`
	Key          string `json:"key"`
	Node         string `json:"node"`
	BodyBytes    int64  `json:"body_bytes"`
	BodyChecksum string `json:"body_checksum"`
}

// expectation holds the values that the answer to a request must repeat.
type expectation struct {
	// attempts are the identifiers under which the request was sent, the latest last.
	attempts []string
	key      string
	body     []byte
}

// checkReply returns an error when body is not the answer to the expected request. A request with
// an idempotency key may get the answer to one of its earlier attempts.
func checkReply(body []byte, expected expectation) (reply, error) {
	var got reply
	if err := json.Unmarshal(body, &got); err != nil {
		return reply{}, fmt.Errorf("the answer of %d bytes cannot be read: %w", len(body), err)
	}
	return got, got.check(expected)
}

func (got reply) check(expected expectation) error {
	if !expected.matchesAttempt(got.Request) {
		return fmt.Errorf("the answer names request %q, the attempts were %q", got.Request, expected.attempts)
	}
	if got.Key != expected.key {
		return fmt.Errorf("the answer names key %q, expected %q", got.Key, expected.key)
	}
	if got.BodyBytes != int64(len(expected.body)) {
		return fmt.Errorf("the back end received %d bytes, expected %d", got.BodyBytes, len(expected.body))
	}
	if sum := strconv.FormatUint(xxhash.Sum64(expected.body), 16); got.BodyChecksum != sum {
		return fmt.Errorf("the back end received a body with checksum %s, expected %s", got.BodyChecksum, sum)
	}
	return nil
}

// checkEchoedID returns an error when the answer's X-Request-Id header differs from the request's.
// An answer without the header passes.
func checkEchoedID(response *http.Response, request *http.Request) error {
	sent, named := request.Header.Get(headerRequestID), response.Header.Get(headerRequestID)
	if named != "" && named != sent {
		return fmt.Errorf("the answer's header names request %q, expected %q", named, sent)
	}
	return nil
}

// matchesAttempt reports whether identifier is a valid one for the answer: the latest attempt's, or
// any attempt's when the request has an idempotency key.
func (expected expectation) matchesAttempt(identifier string) bool {
	latest := expected.attempts[len(expected.attempts)-1]
	if expected.key == "" {
		return identifier == latest
	}
	for _, attempt := range expected.attempts {
		if identifier == attempt {
			return true
		}
	}
	return false
}
