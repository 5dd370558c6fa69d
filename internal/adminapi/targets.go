package adminapi

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// Load is the load of a target in the latest heartbeat of its agent.
type Load struct {
	// Flows is the number of open flows.
	Flows uint32 `json:"flows"`
	// Running is the number of requests that hold a slot.
	Running uint32 `json:"running"`
	// Waiting is the number of queued requests.
	Waiting uint32 `json:"waiting"`
	// Feeds is the number of open feeds.
	Feeds uint32 `json:"feeds"`
	// Slots is the number of slots that are usable now.
	Slots uint32 `json:"slots"`
	// Cold reports whether the target is in slow start.
	Cold bool `json:"cold,omitempty"`
	// Healthy reports whether new work should be sent to the back end.
	Healthy bool `json:"healthy"`
	// AgeMilliseconds is the time since that heartbeat.
	AgeMilliseconds int64 `json:"age_ms"`
}

// Target is a target as the API shows it.
type Target struct {
	Tenant  model.TenantName `json:"tenant"`
	Service string           `json:"service"`
	Name    string           `json:"name"`
	ID      model.TargetID   `json:"id"`
	Zone    model.ZoneName   `json:"zone"`
	Agent   string           `json:"agent"`
	Backend string           `json:"backend"`
	Phase   string           `json:"phase"`
	// Drained reports whether an operator drained the target.
	Drained bool `json:"drained,omitempty"`
	// Leaving reports whether the target or its service is being removed, and the target's flows have
	// not all ended.
	Leaving     bool              `json:"leaving,omitempty"`
	Incarnation model.Incarnation `json:"incarnation,omitempty"`
	// Buckets counts the buckets that refer to the target. A draining target has no work left once all
	// three counts are zero: it is the head, the alternate or an earlier target of no bucket.
	Buckets state.BucketUse `json:"buckets"`
	// Load is the work that remains at the target. It is missing while the answering member has no
	// load report of the target.
	Load      *Load          `json:"load,omitempty"`
	Revision  model.Revision `json:"revision"`
	UpdatedBy string         `json:"updated_by,omitempty"`
	UpdatedAt time.Time      `json:"updated_at"`
}

// Names of target phases.
const (
	PhaseServing  = "serving"
	PhaseDraining = "draining"
	PhaseDead     = "dead"
)

func phaseName(phase model.TargetPhase) string {
	switch phase {
	case model.PhaseServing:
		return PhaseServing
	case model.PhaseDraining:
		return PhaseDraining
	case model.PhaseDead:
		return PhaseDead
	}
	return ""
}

// targetLister converts the targets of one service to their form in the API.
type targetLister struct {
	view  *state.View
	uses  map[model.TargetID]state.BucketUse
	loads map[model.TargetID]*Load
}

func (server *api) targetLister(view *state.View, service model.ServiceID) targetLister {
	lister := targetLister{view: view, uses: view.BucketUses(service), loads: make(map[model.TargetID]*Load)}
	now := time.Now()
	for _, node := range server.Rollout.Rollout().Nodes {
		if node.Load == nil {
			continue
		}
		lister.loads[node.Load.Target] = &Load{
			Flows:           node.Load.Flows,
			Running:         node.Load.Running,
			Waiting:         node.Load.Waiting,
			Feeds:           node.Load.Feeds,
			Slots:           node.Load.Slots,
			Cold:            node.Load.Cold,
			Healthy:         node.Load.Healthy,
			AgeMilliseconds: now.Sub(node.LastSeen).Milliseconds(),
		}
	}
	return lister
}

func (lister targetLister) show(target model.Target) Target {
	record, _ := lister.view.TargetRecord(target.ID)
	return Target{
		Tenant:      record.Key.Tenant,
		Service:     record.Key.Service,
		Name:        target.Name,
		ID:          target.ID,
		Zone:        target.Zone,
		Agent:       target.Agent.String(),
		Backend:     target.Backend.String(),
		Phase:       phaseName(target.Phase),
		Drained:     record.Drained,
		Leaving:     record.Leaving,
		Incarnation: target.Incarnation,
		Buckets:     lister.uses[target.ID],
		Load:        lister.loads[target.ID],
		Revision:    record.Revision,
		UpdatedBy:   record.UpdatedBy,
		UpdatedAt:   record.UpdatedAt,
	}
}

func (server *api) listTargets(writer http.ResponseWriter, request *http.Request) error {
	view, record, err := server.service(request)
	if err != nil {
		return err
	}
	var targets []model.Target
	for _, id := range record.Targets {
		targets = append(targets, view.Configuration.Targets[id])
	}
	slices.SortFunc(targets, func(left, right model.Target) int { return cmp.Compare(left.Name, right.Name) })
	name := func(target model.Target) string { return target.Name }
	page, err := pageOf(request, view.Configuration.Revision, targets, name, server.targetLister(view, record.ID).show)
	if err != nil {
		return err
	}
	return writeJSON(writer, http.StatusOK, page)
}

func targetKeyOf(request *http.Request) state.TargetKey {
	return state.TargetKey{
		Tenant:  tenantOf(request),
		Service: chi.URLParam(request, "service"),
		Name:    chi.URLParam(request, "target"),
	}
}

func (server *api) getTarget(writer http.ResponseWriter, request *http.Request) error {
	view, err := server.view(request)
	if err != nil {
		return err
	}
	key := targetKeyOf(request)
	target, record, known := view.Target(key)
	if !known {
		return faults.New(faults.CodeNotFound, "service %q has no target %q", key.Service, key.Name)
	}
	// Never 304 Not Modified: the load and the bucket counts change without a new revision.
	writer.Header().Set("ETag", formatETag(record.Revision))
	return writeJSON(writer, http.StatusOK, server.targetLister(view, target.Service).show(target))
}

func (server *api) drainTarget(writer http.ResponseWriter, request *http.Request) error {
	change, err := parseChange(request, nil)
	if err != nil {
		return err
	}
	key := targetKeyOf(request)
	return server.change(writer, request, state.DrainTarget{Change: change, Target: key}, server.currentTarget(key))
}

func (server *api) undrainTarget(writer http.ResponseWriter, request *http.Request) error {
	change, err := parseChange(request, nil)
	if err != nil {
		return err
	}
	key := targetKeyOf(request)
	return server.change(writer, request, state.UndrainTarget{Change: change, Target: key}, server.currentTarget(key))
}

func (server *api) currentTarget(key state.TargetKey) currentValue {
	return func(view *state.View) (model.Revision, any) {
		target, record, known := view.Target(key)
		if !known {
			return 0, nil
		}
		return record.Revision, server.targetLister(view, target.Service).show(target)
	}
}
