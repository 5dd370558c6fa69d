package adminapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"regexp"

	"merlinpaddle/internal/faults"
)

// Maximum sizes of request bodies, in bytes.
const (
	maximumBodyBytes    = 1 << 20
	maximumRestoreBytes = 64 << 20
)

const (
	contentTypeJSON   = "application/json"
	contentTypeBinary = "application/octet-stream"
)

// readBody reads a request body of the given media type, up to maximum bytes. It refuses other media
// types with CodeUnsupportedMediaType and larger bodies with CodeBodyTooLarge.
func readBody(writer http.ResponseWriter, request *http.Request, contentType string, maximum int64) ([]byte, error) {
	mediaType, _, err := mime.ParseMediaType(request.Header.Get("Content-Type"))
	if err != nil || mediaType != contentType {
		return nil, faults.New(faults.CodeUnsupportedMediaType, "Content-Type is %q, not %s", request.Header.Get("Content-Type"), contentType)
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maximum))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, faults.New(faults.CodeBodyTooLarge, "the body is larger than %d bytes", maximum)
	}
	if err != nil {
		return nil, faults.New(faults.CodeMalformedRequest, "the body could not be read: %v", err)
	}
	return body, nil
}

// unknownFieldPattern extracts the field name from encoding/json's error text for an unknown field,
// because that error has no exported type.
var unknownFieldPattern = regexp.MustCompile(`^json: unknown field "(.*)"$`)

// decodeBody decodes a body of exactly one JSON value into the value that into points to. Its error
// names the field that is unknown or has a wrong type.
func decodeBody(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeRefusal(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return faults.New(faults.CodeMalformedRequest, "trailing data after the JSON value")
	}
	return nil
}

// decodeRefusal converts an error of encoding/json into a refusal with code CodeMalformedRequest.
func decodeRefusal(err error) error {
	if match := unknownFieldPattern.FindStringSubmatch(err.Error()); match != nil {
		return fieldRefusal(faults.CodeMalformedRequest, match[1], "unknown field")
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fieldRefusal(faults.CodeMalformedRequest, wrongType.Field, "a JSON %s is not accepted here", wrongType.Value)
	}
	return faults.New(faults.CodeMalformedRequest, "the body is not valid JSON: %v", err)
}
