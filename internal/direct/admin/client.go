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

// Client calls members in turn until one takes the call.
type Client struct {
	// Members are the admin addresses of members.
	Members []string
}

// Configuration returns the newest declared configuration.
func (client *Client) Configuration(ctx context.Context) (Document, error) {
	var document Document
	err := client.call(ctx, http.MethodGet, pathConfiguration, nil, &document)
	return document, err
}

// Declare replaces the declared configuration. Sending the same version again
// is safe.
func (client *Client) Declare(ctx context.Context, document Document) error {
	body, err := json.Marshal(document)
	if err != nil {
		return faults.New(faults.ConfigurationInvalid, "%v", err)
	}
	return client.call(ctx, http.MethodPut, pathConfiguration, body, nil)
}

// Evacuate orders that a zone is emptied, or, with end, taken back into use. Sending
// an order again is safe.
func (client *Client) Evacuate(ctx context.Context, zone string, end bool) error {
	method := http.MethodPost
	if end {
		method = http.MethodDelete
	}
	return client.call(ctx, method, pathEvacuations+"/"+url.PathEscape(zone), nil, nil)
}

// Evacuations returns the zones that are evacuated.
func (client *Client) Evacuations(ctx context.Context) ([]Evacuation, error) {
	var evacuations []Evacuation
	err := client.call(ctx, http.MethodGet, pathEvacuations, nil, &evacuations)
	return evacuations, err
}

// Targets returns the targets that a member holds.
func (client *Client) Targets(ctx context.Context) ([]Target, error) {
	var targets []Target
	err := client.call(ctx, http.MethodGet, pathTargets, nil, &targets)
	return targets, err
}

// call asks one member after the other; what is invalid is invalid everywhere.
func (client *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	if len(client.Members) == 0 {
		return faults.New(faults.CodeUsage, "no member is named")
	}
	var last error
	for _, member := range client.Members {
		last = callOne(ctx, method, "http://"+member+path, body, into)
		if last == nil || invalidEverywhere(last) || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func invalidEverywhere(err error) bool {
	code := faults.CodeOf(err)
	return code == faults.ConfigurationInvalid || code == faults.ZoneOrderInvalid
}

func callOne(ctx context.Context, method, address string, body []byte, into any) error {
	within, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(within, method, address, bytes.NewReader(body))
	if err != nil {
		return faults.New(faults.CodeUsage, "%v", err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return faults.New(faults.CodeMemberUnreachable, "%v", err)
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return faults.New(faults.CodeMemberUnreachable, "%v", err)
	}
	if answer.StatusCode != http.StatusOK {
		return refusalOf(answer.StatusCode, content)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(content, into); err != nil {
		return faults.New(faults.CodeMemberUnreachable, "the answer cannot be read: %v", err)
	}
	return nil
}

func refusalOf(status int, content []byte) error {
	var told refusal
	if err := json.Unmarshal(content, &told); err != nil || told.Code == 0 {
		return faults.New(faults.CodeMemberUnreachable, "status %d", status)
	}
	return faults.New(faults.Code(told.Code), "%s", told.Error)
}
