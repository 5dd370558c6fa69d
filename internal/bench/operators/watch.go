package operators

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/bench/fleet"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/model"
)

const (
	// watchInterval is the time between two looks at a process.
	watchInterval = 200 * time.Millisecond
	// lookTimeout bounds one look.
	lookTimeout = time.Second
	// metricRevision is the revision that a balancer routes by.
	metricRevision = "merlinpaddle_balancer_revision"

	hexadecimal = 16
	wordBits    = 64
)

// watcher looks at every member and every balancer, each on its own.
type watcher struct {
	history *history
	layout  *fleet.Layout
	access  access
}

// run watches until ctx ends.
func (watcher watcher) run(ctx context.Context) error {
	var looks sync.WaitGroup
	defer looks.Wait()
	for _, endpoint := range watcher.layout.APIEndpoints() {
		api, err := watcher.access.client([]string{endpoint}, watcher.access.transport(), lookTimeout, lookTimeout)
		if err != nil {
			return err
		}
		looks.Go(func() { repeat(ctx, func() { watcher.lookAtMember(ctx, api) }) })
	}
	for _, balancer := range watcher.layout.WithRole(fleet.RoleBalancer) {
		looks.Go(func() { repeat(ctx, func() { watcher.lookAtBalancer(ctx, balancer) }) })
	}
	return nil
}

func repeat(ctx context.Context, look func()) {
	for ctx.Err() == nil {
		look()
		pause(ctx, watchInterval)
	}
}

func (watcher watcher) lookAtMember(ctx context.Context, api *client.Client) {
	for _, answer := range api.Statuses(ctx) {
		if answer.Status == nil {
			continue
		}
		digest, err := digestOf(*answer.Status)
		if err == nil {
			status := answer.Status
			watcher.history.memberSeen(string(status.Node), status.Term, status.Leading, status.Revision, digest)
		}
	}
}

func digestOf(status adminapi.Status) (uint64, error) {
	return strconv.ParseUint(status.ConfigurationDigest, hexadecimal, wordBits)
}

func (watcher watcher) lookAtBalancer(ctx context.Context, balancer fleet.Process) {
	revision, err := balancerRevision(ctx, balancer)
	if err == nil {
		watcher.history.nodeSeen(balancer.Name, revision)
	}
}

// balancerRevision asks a balancer itself which revision it routes by.
func balancerRevision(ctx context.Context, balancer fleet.Process) (model.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", balancer.Status), nil)
	if err != nil {
		return 0, fmt.Errorf("metrics of %s: %w", balancer.Name, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("metrics of %s: %w", balancer.Name, err)
	}
	defer response.Body.Close()
	decoder := expfmt.NewDecoder(response.Body, expfmt.ResponseFormat(response.Header))
	for {
		var family dto.MetricFamily
		if err := decoder.Decode(&family); err != nil {
			return 0, fmt.Errorf("metrics of %s have no %s: %w", balancer.Name, metricRevision, err)
		}
		if family.GetName() == metricRevision && len(family.GetMetric()) == 1 {
			return model.Revision(family.GetMetric()[0].GetGauge().GetValue()), nil
		}
	}
}
