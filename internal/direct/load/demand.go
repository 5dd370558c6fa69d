package load

import (
	"math"
	"time"
)

const (
	// sharingThreshold is the average utilization of a service from which balancers share load.
	// Below it, a target chosen by hashing nearly always has a free slot, and sharing costs more
	// than it gains.
	sharingThreshold = 0.5
	// immediateThreshold is the utilization from which load is shared without averaging:
	// requests already queue, and until balancers know each other's counts they send more
	// requests to full targets.
	immediateThreshold = 1.0
	// averagingTime is the time constant of the utilization's exponential average.
	averagingTime = 400 * time.Millisecond
	// sharingHoldTime is how long balancers keep sharing after it was last found worthwhile.
	sharingHoldTime = 3 * time.Second
)

// SharingState describes whether and with whom a node shares load counts.
type SharingState struct {
	// Active reports whether reports are sent frequently.
	Active bool
	// Utilization is the average utilization of the busiest service (at a member: pool), from
	// 0 for idle to 1 for full and above. A balancer that reports to a collector does not
	// update it.
	Utilization float64
	// Nodes is the number of other nodes whose counts are currently known.
	Nodes int
}

// changeNotifier calls a function each time load sharing starts or ends.
type changeNotifier struct {
	onChange func(sharing SharingState)
	active   bool
}

func (notifier *changeNotifier) notify(sharing SharingState) {
	if sharing.Active == notifier.active {
		return
	}
	notifier.active = sharing.Active
	if notifier.onChange != nil {
		notifier.onChange(sharing)
	}
}

// demand decides whether load sharing is worth its messages. A node shares load while its own
// utilization calls for it, or while a report from a node with such a utilization is recent. It
// does not relay what other nodes want, so sharing ends once no node's own utilization calls
// for it.
type demand struct {
	averageUtilization float64
	observedAt         time.Time
	// wantedLocallyAt is when this node's own utilization last called for sharing,
	// wantedRemotelyAt when another node last reported that its utilization did.
	wantedLocallyAt  time.Time
	wantedRemotelyAt time.Time
}

// observe updates the average with the current utilization.
func (demand *demand) observe(utilization float64, now time.Time) {
	elapsed := now.Sub(demand.observedAt)
	demand.observedAt = now
	if elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(averagingTime))
		demand.averageUtilization = decay*demand.averageUtilization + (1-decay)*utilization
	}
	if demand.averageUtilization >= sharingThreshold || utilization >= immediateThreshold {
		demand.wantedLocallyAt = now
	}
}

// wantedLocally reports whether this node's own utilization calls for sharing.
func (demand *demand) wantedLocally(now time.Time) bool { return isRecent(demand.wantedLocallyAt, now) }

// wanted reports whether load is to be shared.
func (demand *demand) wanted(now time.Time) bool {
	return isRecent(demand.wantedLocallyAt, now) || isRecent(demand.wantedRemotelyAt, now)
}

func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < sharingHoldTime }
