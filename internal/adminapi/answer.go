package adminapi

import (
	"encoding/json"
	"fmt"
	"net/http"

	"merlinpaddle/internal/model"
)

// writeJSON writes a response with the given status and value as its JSON body.
func writeJSON(writer http.ResponseWriter, status int, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode the response: %w", err)
	}
	header := writer.Header()
	header.Set("Content-Type", contentTypeJSON)
	header.Set("Cache-Control", "no-store")
	header.Set("X-Content-Type-Options", "nosniff")
	writer.WriteHeader(status)
	// A write error means that the caller closed the connection, so the error cannot be reported.
	_, _ = writer.Write(append(encoded, '\n'))
	return nil
}

// writeObject writes one object and its ETag, or 304 Not Modified when the request's If-None-Match
// is that ETag.
func writeObject(writer http.ResponseWriter, request *http.Request, revision model.Revision, value any) error {
	tag := formatETag(revision)
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return nil
	}
	return writeJSON(writer, http.StatusOK, value)
}
