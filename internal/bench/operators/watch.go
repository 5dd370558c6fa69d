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
	// pollInterval is the pause between two polls of a process.
	pollInterval = 200 * time.Millisecond
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// metricRevision is the name of the metric with the revision that a balancer
	// routes by.
	metricRevision = "merlinpaddle_balancer_revision"

	hexadecimal = 16
	wordBits    = 64
)

// watcher polls every member and every balancer, each in its own goroutine.
type watcher struct {
	history *history
	layout  *fleet.Layout
	access  access
}

// run polls until ctx ends.
func (watcher watcher) run(ctx context.Context) error {
	var polls sync.WaitGroup
	defer polls.Wait()
	for _, endpoint := range watcher.layout.APIEndpoints() {
		api, err := watcher.access.client([]string{endpoint}, watcher.access.transport(), pollTimeout, pollTimeout)
		if err != nil {
			return err
		}
		polls.Go(func() { repeat(ctx, func() { watcher.pollMember(ctx, api) }) })
	}
	for _, balancer := range watcher.layout.WithRole(fleet.RoleBalancer) {
		polls.Go(func() { repeat(ctx, func() { watcher.pollBalancer(ctx, balancer) }) })
	}
	return nil
}

func repeat(ctx context.Context, poll func()) {
	for ctx.Err() == nil {
		poll()
		pause(ctx, pollInterval)
	}
}

func (watcher watcher) pollMember(ctx context.Context, api *client.Client) {
	for _, answer := range api.Statuses(ctx) {
		if answer.Status == nil {
			continue
		}
		digest, err := digestOf(*answer.Status)
		if err == nil {
			status := answer.Status
			watcher.history.recordMemberStatus(string(status.Node), status.Term, status.Leading, status.Revision, digest)
		}
	}
}

func digestOf(status adminapi.Status) (uint64, error) {
	return strconv.ParseUint(status.ConfigurationDigest, hexadecimal, wordBits)
}

func (watcher watcher) pollBalancer(ctx context.Context, balancer fleet.Process) {
	revision, err := balancerRevision(ctx, balancer)
	if err == nil {
		watcher.history.recordNodeRevision(balancer.Name, revision)
	}
}

// balancerRevision reads from a balancer's metrics the revision that it routes by.
func balancerRevision(ctx context.Context, balancer fleet.Process) (model.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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
