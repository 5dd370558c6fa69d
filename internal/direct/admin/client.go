package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"merlinpaddle/internal/faults"
)

// callTimeout bounds one call to one member.
const callTimeout = 2 * time.Second

// Client calls members in turn until one accepts the call.
type Client struct {
	// Members are the admin addresses of members, as HOST:PORT.
	Members []string
}

// Configuration returns the newest declared configuration.
func (client *Client) Configuration(ctx context.Context) (Document, error) {
	var document Document
	err := client.call(ctx, http.MethodGet, pathConfiguration, nil, &document)
	return document, err
}

// Declare replaces the declared configuration. It is idempotent: sending the same version again
// is safe.
func (client *Client) Declare(ctx context.Context, document Document) error {
	body, err := json.Marshal(document)
	if err != nil {
		return faults.New(faults.ConfigurationInvalid, "%v", err)
	}
	return client.call(ctx, http.MethodPut, pathConfiguration, body, nil)
}

// Evacuate orders the evacuation of a zone, or ends it when end is set. It is idempotent: sending
// an order again is safe.
func (client *Client) Evacuate(ctx context.Context, zone string, end bool) error {
	method := http.MethodPost
	if end {
		method = http.MethodDelete
	}
	return client.call(ctx, method, pathEvacuations+"/"+url.PathEscape(zone), nil, nil)
}

// Evacuations returns the zones under evacuation.
func (client *Client) Evacuations(ctx context.Context) ([]Evacuation, error) {
	var evacuations []Evacuation
	err := client.call(ctx, http.MethodGet, pathEvacuations, nil, &evacuations)
	return evacuations, err
}

// Targets returns the targets that the answering member knows.
func (client *Client) Targets(ctx context.Context) ([]Target, error) {
	var targets []Target
	err := client.call(ctx, http.MethodGet, pathTargets, nil, &targets)
	return targets, err
}

// call tries the members in turn and returns the last error. It stops early at invalid input,
// which every member would refuse.
func (client *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	if len(client.Members) == 0 {
		return faults.New(faults.CodeUsage, "no member address is given")
	}
	var lastErr error
	for _, member := range client.Members {
		lastErr = callMember(ctx, method, "http://"+member+path, body, result)
		if lastErr == nil || isInvalidInput(lastErr) || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// isInvalidInput reports whether an error means that every member would refuse the call.
func isInvalidInput(err error) bool {
	code := faults.CodeOf(err)
	return code == faults.ConfigurationInvalid || code == faults.ZoneOrderInvalid
}

func callMember(ctx context.Context, method, address string, body []byte, result any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, method, address, bytes.NewReader(body))
	if err != nil {
		return faults.New(faults.CodeUsage, "%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return faults.New(faults.CodeMemberUnreachable, "%v", err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return faults.New(faults.CodeMemberUnreachable, "%v", err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, responseBody)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(responseBody, result); err != nil {
		return faults.New(faults.CodeMemberUnreachable, "the response cannot be decoded: %v", err)
	}
	return nil
}

// responseError returns the error that an error response states.
func responseError(status int, responseBody []byte) error {
	var body errorBody
	if err := json.Unmarshal(responseBody, &body); err != nil || body.Code == 0 {
		return faults.New(faults.CodeMemberUnreachable, "status %d", status)
	}
	return faults.New(faults.Code(body.Code), "%s", body.Error)
}
