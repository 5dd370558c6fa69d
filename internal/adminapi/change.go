package adminapi

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// formatETag returns the entity tag of a revision.
func formatETag(revision model.Revision) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(revision), 10))
}

// parseETag parses an ETag that formatETag made. It accepts the number without quotes too.
func parseETag(text string) (model.Revision, error) {
	number, quoted := strings.CutPrefix(strings.TrimSpace(text), `"`)
	number, closed := strings.CutSuffix(number, `"`)
	if quoted != closed {
		return 0, fmt.Errorf("unbalanced quotes")
	}
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil || revision == 0 {
		return 0, fmt.Errorf("not an ETag of this API")
	}
	return model.Revision(revision), nil
}

// baseRevision returns the revision that a change is based on: that of the ETag in If-Match, or zero
// for If-None-Match: *, which states that the object must not exist yet.
func baseRevision(header http.Header) (model.Revision, error) {
	match, none := header.Get("If-Match"), header.Get("If-None-Match")
	switch {
	case match != "" && none != "":
		return 0, faults.New(faults.CodeMalformedRequest, "If-Match and If-None-Match are mutually exclusive")
	case none == "*":
		return 0, nil
	case none != "":
		return 0, faults.New(faults.CodeMalformedRequest, "If-None-Match of a change must be *, not %q", none)
	case match == "":
		return 0, faults.New(faults.CodeRevisionRequired, "the change has neither If-Match nor If-None-Match")
	}
	revision, err := parseETag(match)
	if err != nil {
		return 0, faults.New(faults.CodeMalformedRequest, "If-Match %q: %v", match, err)
	}
	return revision, nil
}

// idempotencyKey returns the Idempotency-Key of a change. It must be printable ASCII, at most
// state.MaximumIdempotencyKeyBytes long.
func idempotencyKey(header http.Header) (string, error) {
	key := header.Get(HeaderIdempotencyKey)
	if key == "" {
		return "", faults.New(faults.CodeIdempotencyKeyRequired, "the change has no %s", HeaderIdempotencyKey)
	}
	if len(key) > state.MaximumIdempotencyKeyBytes {
		return "", faults.New(faults.CodeIdempotencyKeyRequired, "%s is longer than %d bytes", HeaderIdempotencyKey, state.MaximumIdempotencyKeyBytes)
	}
	for _, letter := range []byte(key) {
		if letter < ' ' || letter > '~' {
			return "", faults.New(faults.CodeIdempotencyKeyRequired, "%s has characters other than printable ASCII", HeaderIdempotencyKey)
		}
	}
	return key, nil
}

// parseChange returns the part that all changes have in common: the idempotency key with its scope
// and the request's fingerprint, the base revision and the name of the actor.
func parseChange(request *http.Request, body []byte) (state.Change, error) {
	key, err := idempotencyKey(request.Header)
	if err != nil {
		return state.Change{}, err
	}
	base, err := baseRevision(request.Header)
	if err != nil {
		return state.Change{}, err
	}
	identity := contextIdentity(request)
	return state.Change{
		Scope:       scopeOf(identity),
		Key:         key,
		Fingerprint: fingerprint(request, base, body),
		Base:        base,
		Actor:       identity.Name,
	}, nil
}

// fingerprint returns a checksum of the method, path, query, base revision and body of a request. A
// resent request has the same fingerprint; another request with the same idempotency key is refused.
func fingerprint(request *http.Request, base model.Revision, body []byte) uint64 {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s\n%s\n%s\n%d\n", request.Method, request.URL.EscapedPath(), request.URL.Query().Encode(), base)
	_, _ = hash.Write(body)
	return binary.BigEndian.Uint64(hash.Sum(nil))
}

// ChangeAnswer is the response body for a committed change. A committed change is not yet in force:
// GET /v1/rollout reports when every leased balancer runs it.
type ChangeAnswer struct {
	// Revision is the object's new revision, also its ETag.
	Revision model.Revision `json:"revision"`
	// Version is the new version of a template.
	Version uint32 `json:"version,omitempty"`
	// ServiceID is the ID of a changed service.
	ServiceID model.ServiceID `json:"service_id,omitempty"`
	// Replayed reports whether this is the result of an earlier request with the same idempotency
	// key.
	Replayed bool `json:"replayed,omitempty"`
}

// currentValue returns the revision and the value of the object that a refused change was for, or
// zero and nil when there is no such object.
type currentValue func(view *state.View) (model.Revision, any)

// change proposes a command and writes the response: 201 Created for an If-None-Match: * request,
// otherwise 200. When the command is refused it returns a refusal; on a revision mismatch that has the
// object's current value, which lookup returns.
func (server *api) change(writer http.ResponseWriter, request *http.Request, command state.Command, lookup currentValue) error {
	result, err := server.propose(request.Context(), command)
	if err != nil {
		return err
	}
	if result.Replayed {
		writer.Header().Set(HeaderReplayed, "true")
	}
	if !result.Applied() {
		return server.refusalOf(result, lookup)
	}
	status := http.StatusOK
	if request.Header.Get("If-None-Match") == "*" {
		status = http.StatusCreated
	}
	writer.Header().Set("ETag", formatETag(result.Revision))
	return writeJSON(writer, status, ChangeAnswer{
		Revision:  result.Revision,
		Version:   result.Version,
		ServiceID: result.Service,
		Replayed:  result.Replayed,
	})
}

// refusalOf converts the result of a refused command into a refusal. On a revision mismatch it adds
// the object's current revision and value.
func (server *api) refusalOf(result state.Result, lookup currentValue) error {
	refused := resultRefusal(result)
	if result.Code != faults.CodeRevisionMismatch {
		return refused
	}
	revision, current := lookup(server.Machine.View())
	refused.revision = &revision
	refused.current = current
	return refused
}
