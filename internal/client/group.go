package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Members returns the members of the control group.
func (client *Client) Members(ctx context.Context) ([]adminapi.Member, error) {
	members, err := get[adminapi.Members](ctx, client, path("members"), nil)
	return members.Items, err
}

// AddMember adds a learner and returns its member ID. If the learner exists already,
// it returns that learner's ID, so a retry is safe.
func (client *Client) AddMember(ctx context.Context, name model.NodeName) (adminapi.MemberAnswer, error) {
	body, err := json.Marshal(adminapi.NewMember{Name: name})
	if err != nil {
		return adminapi.MemberAnswer{}, fmt.Errorf("encode the member: %w", err)
	}
	return fetch[adminapi.MemberAnswer](ctx, client, apiCall{method: http.MethodPost, path: path("members"), body: body, contentType: "application/json"})
}

// PromoteMember makes a learner a voter.
func (client *Client) PromoteMember(ctx context.Context, id string) error {
	_, err := client.do(ctx, apiCall{method: http.MethodPost, path: path("members", id, "promote")})
	return err
}

// RemoveMember removes a member. It succeeds when the member is unknown after an
// attempt whose answer was lost, because that attempt may have removed it.
func (client *Client) RemoveMember(ctx context.Context, id string) error {
	_, err := client.do(ctx, apiCall{method: http.MethodDelete, path: path("members", id)})
	if Code(err) == faults.UnknownMember && MayHaveRun(err) {
		return nil
	}
	return err
}

// TransferLeadership makes the leader transfer leadership to another voter.
func (client *Client) TransferLeadership(ctx context.Context) error {
	_, err := client.do(ctx, apiCall{method: http.MethodPost, path: path("leadership", "transfer")})
	return err
}

// Backup returns a snapshot of the complete state.
func (client *Client) Backup(ctx context.Context) ([]byte, error) {
	received, err := client.do(ctx, apiCall{method: http.MethodGet, path: path("backup")})
	return received.body, err
}

// Restore restores a backup into an empty group.
func (client *Client) Restore(ctx context.Context, backup []byte, change Change) (adminapi.ChangeAnswer, error) {
	return fetch[adminapi.ChangeAnswer](ctx, client, apiCall{method: http.MethodPost, path: path("restore"), body: backup,
		contentType: "application/octet-stream", header: change.header()})
}

// EndpointStatus is the status of the member at one endpoint, or the problem that
// prevented reading it.
type EndpointStatus struct {
	Endpoint string           `json:"endpoint"`
	Status   *adminapi.Status `json:"status,omitempty"`
	Problem  string           `json:"problem,omitempty"`
}

// Statuses queries the status of the member at each endpoint, with one attempt
// each.
func (client *Client) Statuses(ctx context.Context) []EndpointStatus {
	var statuses []EndpointStatus
	for _, queried := range client.endpoints {
		status := EndpointStatus{Endpoint: queried.base.String()}
		received, err := client.status(ctx, queried)
		if err != nil {
			status.Problem = err.Error()
		} else {
			status.Status = &received
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// status queries the status of the member at one endpoint, with its state digest.
func (client *Client) status(ctx context.Context, queried *endpoint) (adminapi.Status, error) {
	received, failure := client.attempt(ctx, queried, apiCall{method: http.MethodGet, path: path("status"), query: url.Values{"digest": {"true"}}})
	if failure != nil {
		return adminapi.Status{}, failure
	}
	var status adminapi.Status
	if err := json.Unmarshal(received.body, &status); err != nil {
		return adminapi.Status{}, faults.New(faults.CodeInternalFault, "the member's answer cannot be decoded: %v", err)
	}
	return status, nil
}
