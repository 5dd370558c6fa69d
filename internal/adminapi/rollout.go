package adminapi

import (
	"net/http"
	"strconv"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// maximumRolloutWait is the maximum of the query parameter "wait".
	maximumRolloutWait = 30 * time.Second
	// rolloutPollInterval is the time between reads of the rollout status while a request waits.
	rolloutPollInterval = 20 * time.Millisecond
)

// Rollout is the progress of the rollout of the configuration.
type Rollout struct {
	// Committed is the revision of the committed configuration.
	Committed model.Revision `json:"committed"`
	// InForce is the highest revision such that every leased balancer runs it or a later one.
	InForce model.Revision `json:"in_force"`
	// Reached reports whether the revision in the query is in force. It is missing when the query
	// has none.
	Reached *bool `json:"reached,omitempty"`
	// Nodes is missing for tokens that are limited to one tenant.
	Nodes []RolloutNode `json:"nodes,omitempty"`
}

// RolloutNode is the rollout status of one balancer or agent.
type RolloutNode struct {
	Name model.NodeName `json:"name"`
	Role model.Role     `json:"role"`
	Zone model.ZoneName `json:"zone"`
	// Applied is the revision that the node runs.
	Applied model.Revision `json:"applied"`
	// Leased reports whether the node may hold a lease.
	Leased bool `json:"leased"`
	// AgeMilliseconds is the time since the node's last heartbeat.
	AgeMilliseconds int64 `json:"age_ms"`
}

// rolloutQuery is the query of GET /v1/rollout.
type rolloutQuery struct {
	revision    model.Revision
	hasRevision bool
	// deadline is the end of the wait for the revision.
	deadline time.Time
}

func parseRolloutQuery(request *http.Request) (rolloutQuery, error) {
	query := rolloutQuery{deadline: time.Now()}
	if text := request.URL.Query().Get("revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return rolloutQuery{}, fieldRefusal(faults.CodeMalformedRequest, "revision", "must be a revision number")
		}
		query.revision = model.Revision(revision)
		query.hasRevision = true
	}
	if text := request.URL.Query().Get("wait"); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 || wait > maximumRolloutWait {
			return rolloutQuery{}, fieldRefusal(faults.CodeMalformedRequest, "wait", "must be a duration up to %s", maximumRolloutWait)
		}
		query.deadline = query.deadline.Add(wait)
	}
	return query, nil
}

// getRollout waits, if the query has a wait, until the revision in the query is in force. The status
// in the response is read after leadership was confirmed (unless ?stale=true), so a previous leader that
// was paused or replaced does not report an outdated one.
func (server *api) getRollout(writer http.ResponseWriter, request *http.Request) error {
	query, err := parseRolloutQuery(request)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(rolloutPollInterval)
	defer ticker.Stop()
	for server.Rollout.Rollout().InForce < server.requiredRevision(query.revision) && time.Now().Before(query.deadline) {
		select {
		case <-request.Context().Done():
			return nil
		case <-ticker.C:
		}
	}
	view, err := server.view(request)
	if err != nil {
		return err
	}
	status := server.Rollout.Rollout()
	answer := Rollout{Committed: max(status.Committed, view.Configuration.Revision), InForce: status.InForce}
	if query.hasRevision {
		reached := status.InForce >= server.requiredRevision(query.revision)
		answer.Reached = &reached
	}
	if contextIdentity(request).Tenant == "" {
		answer.Nodes = showNodes(status.Nodes)
	}
	return writeJSON(writer, http.StatusOK, answer)
}

// requiredRevision returns the revision that balancers must run for wanted to be in force. Templates,
// tenants and members are not part of the configuration that balancers run, so a change of these is in
// force once the latest earlier change of the configuration is. A revision that this member has not
// applied yet is returned unchanged.
func (server *api) requiredRevision(wanted model.Revision) model.Revision {
	if server.Machine.Revision() < wanted {
		return wanted
	}
	return min(wanted, server.Machine.Configuration().Revision)
}

func showNodes(nodes []model.NodeStatus) []RolloutNode {
	now := time.Now()
	shown := make([]RolloutNode, 0, len(nodes))
	for _, node := range nodes {
		shown = append(shown, RolloutNode{
			Name:            node.Name,
			Role:            node.Role,
			Zone:            node.Zone,
			Applied:         node.Applied,
			Leased:          node.Leased,
			AgeMilliseconds: now.Sub(node.LastSeen).Milliseconds(),
		})
	}
	return shown
}
