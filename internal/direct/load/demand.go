package load

import (
	"math"
	"time"
)

const (
	// sharedFrom is the utilization of a service from which balancers share its
	// load: below, a target by hash has room nearly always, and sharing costs
	// more than it brings.
	sharedFrom = 0.5
	// sharedAtOnceFrom is the utilization from which load is shared without averaging:
	// requests wait already, and each moment in which balancers do not know of each other
	// sends more to full targets.
	sharedAtOnceFrom = 1.0
	// demandSpan is the time over which the utilization is averaged.
	demandSpan = 400 * time.Millisecond
	// demandLasts is how long balancers go on sharing after the last sign that
	// it is worth it.
	demandLasts = 3 * time.Second
)

// Sharing tells whether a node shares the load of targets, and what it knows of it.
type SharingState struct {
	// Shared tells whether reports are sent often.
	Active bool
	// Utilization is the average use of the busiest service by its capacity, as far
	// as the node itself looks.
	Utilization float64
	// Nodes is the number of other nodes whose counts are known.
	Nodes int
}

// announcer calls a function with each change of whether load is shared.
type announcer struct {
	onChange func(sharing SharingState)
	shared   bool
}

func (announcer *announcer) announce(sharing SharingState) {
	if sharing.Active == announcer.shared {
		return
	}
	announcer.shared = sharing.Active
	if announcer.onChange != nil {
		announcer.onChange(sharing)
	}
}

// demand decides whether sharing the load is worth its messages. A balancer
// shares while it finds so itself, or hears from one that does; what it merely
// heard it does not pass on, so that sharing ends once nobody finds it worth it.
type demand struct {
	average    float64
	observedAt time.Time
	// foundAt is when this balancer last found sharing worth it, heardAt when
	// another one last said so.
	foundAt time.Time
	heardAt time.Time
}

// observe takes the present utilization in.
func (demand *demand) observe(utilization float64, now time.Time) {
	passed := now.Sub(demand.observedAt)
	demand.observedAt = now
	if passed > 0 {
		kept := math.Exp(-float64(passed) / float64(demandSpan))
		demand.average = kept*demand.average + (1-kept)*utilization
	}
	if demand.average >= sharedFrom || utilization >= sharedAtOnceFrom {
		demand.foundAt = now
	}
}

// found tells whether this balancer itself finds that sharing is worth it.
func (demand *demand) found(now time.Time) bool { return lately(demand.foundAt, now) }

// high tells whether the load is to be shared.
func (demand *demand) high(now time.Time) bool {
	return lately(demand.foundAt, now) || lately(demand.heardAt, now)
}

func lately(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < demandLasts }
