package adminapi

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/state"
)

// Member is one member of the control group, as the API shows it.
type Member struct {
	// ID is the member ID in decimal. It is text because JSON decoders that parse numbers as
	// floating point round large ones.
	ID   string         `json:"id"`
	Name model.NodeName `json:"name"`
	// Learner reports whether the member has no vote.
	Learner bool `json:"learner,omitempty"`
	Leader  bool `json:"leader,omitempty"`
}

// Members is the response body of GET /v1/members.
type Members struct {
	Items []Member `json:"items"`
}

func showMembers(status replica.Status) []Member {
	members := make([]Member, 0, len(status.Members))
	for _, member := range status.Members {
		members = append(members, Member{
			ID:      strconv.FormatUint(uint64(member.ID), 10),
			Name:    member.Name,
			Learner: member.Learner,
			Leader:  member.Name == status.Leader,
		})
	}
	return members
}

func (server *api) listMembers(writer http.ResponseWriter, request *http.Request) error {
	if _, err := server.view(request); err != nil {
		return err
	}
	return writeJSON(writer, http.StatusOK, Members{Items: showMembers(server.Group.Status())})
}

// NewMember is the request body that adds a learner.
type NewMember struct {
	// Name is the name of the node that joins.
	Name model.NodeName `json:"name"`
}

// MemberAnswer is the response body for a membership change.
type MemberAnswer struct {
	// ID is the member ID of the added, promoted or removed member, in decimal.
	ID string `json:"id"`
}

// addMember adds a learner. It needs no idempotency key: a resent request finds the learner that the
// first one added and returns its ID.
func (server *api) addMember(writer http.ResponseWriter, request *http.Request) error {
	body, err := readBody(writer, request, contentTypeJSON, maximumBodyBytes)
	if err != nil {
		return err
	}
	var wanted NewMember
	if err := decodeBody(body, &wanted); err != nil {
		return err
	}
	if !state.ValidName(string(wanted.Name)) {
		return fieldRefusal(faults.CodeInvalidField, "name", "%q is not a valid node name", string(wanted.Name))
	}
	ctx, cancel := context.WithTimeout(request.Context(), membershipTimeout)
	defer cancel()
	if err := server.barrier(ctx); err != nil {
		return err
	}
	for _, member := range server.Group.Status().Members {
		if member.Name == wanted.Name && member.Learner {
			return writeJSON(writer, http.StatusOK, MemberAnswer{ID: strconv.FormatUint(uint64(member.ID), 10)})
		}
	}
	id, err := server.Group.AddLearner(ctx, wanted.Name)
	if err != nil {
		return outcomeUnknownUnlessCoded(err)
	}
	return writeJSON(writer, http.StatusCreated, MemberAnswer{ID: strconv.FormatUint(uint64(id), 10)})
}

func parseMemberID(request *http.Request) (replica.MemberID, error) {
	number, err := strconv.ParseUint(chi.URLParam(request, "member"), 10, 64)
	if err != nil {
		return 0, fieldRefusal(faults.CodeMalformedRequest, "member", "must be a member ID")
	}
	return replica.MemberID(number), nil
}

// promoteMember makes a learner a voter. A resent request finds that the member is a voter already and
// gets the same response as the first one.
func (server *api) promoteMember(writer http.ResponseWriter, request *http.Request) error {
	return server.changeMember(writer, request, func(ctx context.Context, id replica.MemberID) error {
		if err := server.barrier(ctx); err != nil {
			return err
		}
		for _, member := range server.Group.Status().Members {
			if member.ID == id && !member.Learner {
				return nil
			}
		}
		return server.Group.Promote(ctx, id)
	})
}

func (server *api) removeMember(writer http.ResponseWriter, request *http.Request) error {
	return server.changeMember(writer, request, server.Group.RemoveMember)
}

// changeMember runs change for the member in the path. An error without a code means that the outcome
// is unknown.
func (server *api) changeMember(writer http.ResponseWriter, request *http.Request, change func(context.Context, replica.MemberID) error) error {
	id, err := parseMemberID(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(request.Context(), membershipTimeout)
	defer cancel()
	if err := change(ctx, id); err != nil {
		return outcomeUnknownUnlessCoded(err)
	}
	return writeJSON(writer, http.StatusOK, MemberAnswer{ID: strconv.FormatUint(uint64(id), 10)})
}

func (server *api) transferLeadership(writer http.ResponseWriter, request *http.Request) error {
	ctx, cancel := context.WithTimeout(request.Context(), membershipTimeout)
	defer cancel()
	if err := server.Group.TransferLeadership(ctx); err != nil {
		return outcomeUnknownUnlessCoded(err)
	}
	return server.getStatus(writer, request)
}

// Status is the status of the answering member and of the group as this member knows it. It is read
// without confirming leadership, so that a member without a quorum answers too.
type Status struct {
	Node    model.NodeName `json:"node"`
	Leader  model.NodeName `json:"leader"`
	Leading bool           `json:"leading"`
	// Refused reports whether the group exists and has no place for this member's empty disk (code
	// 3010).
	Refused   bool           `json:"refused,omitempty"`
	Term      uint64         `json:"term"`
	Committed model.Revision `json:"committed_index"`
	Applied   model.Revision `json:"applied_index"`
	// Revision is the revision of the member's configuration.
	Revision model.Revision `json:"revision"`
	// ConfigurationDigest is the digest of that configuration, in hexadecimal. Members at the same
	// revision have the same digest. It is computed only for ?digest=true, because it reads every
	// bucket.
	ConfigurationDigest string            `json:"configuration_digest,omitempty"`
	Templates           int               `json:"templates"`
	Tenants             int               `json:"tenants"`
	Services            int               `json:"services"`
	Targets             int               `json:"targets"`
	Claims              state.ClaimStatus `json:"claims"`
}

const hexadecimalBase = 16

func (server *api) getStatus(writer http.ResponseWriter, request *http.Request) error {
	status := server.Group.Status()
	view := server.Machine.View()
	answer := Status{
		Node:      server.Node,
		Leader:    status.Leader,
		Leading:   status.Leading,
		Refused:   status.Refused,
		Term:      status.Term,
		Committed: status.Committed,
		Applied:   status.Applied,
		Revision:  view.Configuration.Revision,
		Templates: len(view.Templates()),
		Tenants:   len(view.Tenants()),
		Services:  len(view.Configuration.Services),
		Targets:   len(view.Configuration.Targets),
		Claims:    server.Machine.ClaimStatus(),
	}
	if request.URL.Query().Get("digest") == "true" {
		answer.ConfigurationDigest = strconv.FormatUint(view.Configuration.Digest(), hexadecimalBase)
	}
	return writeJSON(writer, http.StatusOK, answer)
}

// getBackup sends a snapshot of the complete state, claims included.
func (server *api) getBackup(writer http.ResponseWriter, request *http.Request) error {
	if _, err := server.view(request); err != nil {
		return err
	}
	snapshot, err := server.Machine.Snapshot()
	if err != nil {
		return err
	}
	header := writer.Header()
	header.Set("Content-Type", contentTypeBinary)
	header.Set("Content-Length", strconv.Itoa(len(snapshot)))
	header.Set("Cache-Control", "no-store")
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(snapshot)
	return nil
}

// restore loads a backup into an empty group.
func (server *api) restore(writer http.ResponseWriter, request *http.Request) error {
	body, err := readBody(writer, request, contentTypeBinary, maximumRestoreBytes)
	if err != nil {
		return err
	}
	if err := state.CheckSnapshot(body); err != nil {
		return err
	}
	change, err := parseChange(request, body)
	if err != nil {
		return err
	}
	command := state.RestoreState{Change: change, Snapshot: body}
	return server.change(writer, request, command, func(view *state.View) (model.Revision, any) {
		return view.Configuration.Revision, nil
	})
}
