package member

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// syncBuckets and leaderlessBuckets are bounds in seconds: from a fast disk to a
// stalled one, and from an election to the loss of a quorum.
var (
	syncBuckets       = []float64{.001, .002, .005, .01, .02, .05, .1, .5, 2}
	leaderlessBuckets = []float64{.1, .2, .4, .8, 1.6, 3.2, 6.4}
)

// times are histograms of what a member waits for.
type times struct {
	synced     prometheus.Histogram
	leaderless prometheus.Histogram
}

func newTimes(registry *prometheus.Registry) *times {
	made := &times{
		synced: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_sync_seconds", Buckets: syncBuckets,
			Help: "Time of syncs of this member's files and folders.",
		}),
		leaderless: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_leaderless_seconds", Buckets: leaderlessBuckets,
			Help: "Time for which this member knew no leader, from its start or from the loss of one.",
		}),
	}
	registry.MustRegister(made.synced, made.leaderless)
	return made
}

func (times *times) observeSync(took time.Duration) { times.synced.Observe(took.Seconds()) }
