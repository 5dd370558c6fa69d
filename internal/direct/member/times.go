package member

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// syncBuckets and leaderlessBuckets are bucket bounds in seconds. Syncs range from a fast disk to
// a stalled one, and leaderless times from an election to the loss of a quorum.
var (
	syncBuckets       = []float64{.001, .002, .005, .01, .02, .05, .1, .5, 2}
	leaderlessBuckets = []float64{.1, .2, .4, .8, 1.6, 3.2, 6.4}
)

// histograms are the histograms of disk syncs and of times without a leader.
type histograms struct {
	syncSeconds       prometheus.Histogram
	leaderlessSeconds prometheus.Histogram
}

func newHistograms(registry *prometheus.Registry) *histograms {
	created := &histograms{
		syncSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_sync_seconds", Buckets: syncBuckets,
			Help: "Time of syncs of this member's files and folders.",
		}),
		leaderlessSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "merlinpaddle_direct_leaderless_seconds", Buckets: leaderlessBuckets,
			Help: "Time for which this member knew no leader, from its start or from the loss of one.",
		}),
	}
	registry.MustRegister(created.syncSeconds, created.leaderlessSeconds)
	return created
}

func (histograms *histograms) observeSync(took time.Duration) {
	histograms.syncSeconds.Observe(took.Seconds())
}
