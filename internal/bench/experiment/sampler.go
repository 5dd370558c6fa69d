package experiment

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"merlinpaddle/internal/bench/fleet"
)

const (
	sampleInterval = time.Second
	// scrapeWorkers is the maximum number of concurrent scrapes.
	scrapeWorkers = 16
)

// Sample is the state of the serving targets of all services at one moment.
type Sample struct {
	// At is the time since the start of the load, in seconds.
	At      float64        `json:"at"`
	Targets []TargetSample `json:"targets"`
}

// TargetSample is the state of one serving target at one moment.
type TargetSample struct {
	Service     string  `json:"service"`
	Target      string  `json:"target"`
	Connections float64 `json:"connections"`
	Running     float64 `json:"running"`
	Waiting     float64 `json:"waiting"`
	Feeds       float64 `json:"feeds"`
}

// sampler scrapes the agents of serving targets once per sampleInterval.
type sampler struct {
	layout *fleet.Layout
	lock   sync.Mutex
	// serving reports for each agent whether its target counts for imbalance:
	// it is part of a service and neither drained nor dead.
	serving map[string]bool
	samples []Sample
}

func newSampler(layout *fleet.Layout) *sampler {
	created := &sampler{layout: layout, serving: make(map[string]bool)}
	for _, agent := range layout.WithRole(fleet.RoleAgent) {
		created.serving[agent.Name] = !agent.Standby
	}
	return created
}

// setServing sets whether a target is included in later samples. Names that are
// not agents are ignored.
func (sampler *sampler) setServing(target string, serving bool) {
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	if _, known := sampler.serving[target]; known {
		sampler.serving[target] = serving
	}
}

func (sampler *sampler) isServing(target string) bool {
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	return sampler.serving[target]
}

// run takes samples until ctx ends.
func (sampler *sampler) run(ctx context.Context, started time.Time) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sampler.sampleOnce(ctx, started)
		}
	}
}

// sampleOnce scrapes all serving targets and adds a sample. A target whose scrape
// fails is left out of the sample.
func (sampler *sampler) sampleOnce(ctx context.Context, started time.Time) {
	sample := Sample{At: time.Since(started).Seconds()}
	var lock sync.Mutex
	var group errgroup.Group
	group.SetLimit(scrapeWorkers)
	for _, agent := range sampler.layout.WithRole(fleet.RoleAgent) {
		if !sampler.isServing(agent.Name) {
			continue
		}
		group.Go(func() error {
			read, err := scrape(ctx, agent)
			if err != nil {
				return nil
			}
			lock.Lock()
			defer lock.Unlock()
			sample.Targets = append(sample.Targets, TargetSample{
				Service: agent.Service, Target: agent.Name, Connections: read.connections,
				Running: read.running, Waiting: read.waiting, Feeds: read.feeds,
			})
			return nil
		})
	}
	_ = group.Wait()
	sampler.lock.Lock()
	defer sampler.lock.Unlock()
	sampler.samples = append(sampler.samples, sample)
}

// scrapeSystem reads the metrics of each process of the system, by its name.
// Processes whose scrape fails are left out.
func scrapeSystem(ctx context.Context, layout *fleet.Layout) map[string]reading {
	readings := make(map[string]reading)
	var lock sync.Mutex
	var group errgroup.Group
	group.SetLimit(scrapeWorkers)
	for _, role := range systemRoles {
		for _, process := range layout.WithRole(role) {
			group.Go(func() error {
				read, err := scrape(ctx, process)
				if err == nil {
					lock.Lock()
					defer lock.Unlock()
					readings[process.Name] = read
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	return readings
}

// systemRoles are the roles of the system under test, without the bench's own
// processes.
var systemRoles = []fleet.Role{fleet.RoleControl, fleet.RoleRelay, fleet.RoleBalancer, fleet.RoleAgent}
