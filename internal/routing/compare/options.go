package compare

import (
	"fmt"
	"time"
)

// Options has the parameters of one comparison.
type Options struct {
	// Seed determines all random choices.
	Seed uint64
	// Targets is the number of targets at the start.
	Targets int
	// Balancers is the number of balancers at the start.
	Balancers int
	// FlowsPerSecond is the number of new flows a second for each of the initial targets.
	FlowsPerSecond float64
	// Utilization is the fraction of the slots of the initial targets that the offered requests
	// occupy on average.
	Utilization float64
	// QUICShare is the fraction of the flows that are QUIC; the others are TCP.
	QUICShare float64
	// Slots and Queue are the maximum numbers of requests that run and wait at a target.
	Slots int
	Queue int
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime time.Duration
	// ReportLag is the age at which load reports are delivered.
	ReportLag time.Duration
	// WarmUp is the time before the first change. No samples are taken in it, but events are
	// counted.
	WarmUp time.Duration
	// ChangeInterval is the time between two changes.
	ChangeInterval time.Duration
	// SettledAfter is the time after a change from which on the imbalance counts as settled.
	SettledAfter time.Duration
	// Changes are the changes in order, one at each ChangeInterval.
	Changes []ChangeKind
}

// DefaultOptions returns the options of the comparison that docs/design/routing.md describes.
func DefaultOptions(seed uint64, targets int) Options {
	return Options{
		Seed:           seed,
		Targets:        targets,
		Balancers:      6,
		FlowsPerSecond: 20,
		Utilization:    0.6,
		QUICShare:      0.7,
		Slots:          2,
		Queue:          64,
		ServiceTime:    20 * time.Millisecond,
		ReportLag:      2 * time.Second,
		WarmUp:         2 * time.Minute,
		ChangeInterval: 4 * time.Minute,
		SettledAfter:   2 * time.Minute,
		Changes:        AllChanges(),
	}
}

// Validate returns an error that names the first field with an invalid value, or nil.
func (options Options) Validate() error {
	switch {
	case options.Targets < 2 || options.Targets > maximumTargets:
		return fmt.Errorf("targets: %d must be from 2 to %d", options.Targets, maximumTargets)
	case options.Balancers < 2:
		return fmt.Errorf("balancers: %d must be at least 2", options.Balancers)
	case options.FlowsPerSecond <= 0:
		return fmt.Errorf("flows a second: %g must be positive", options.FlowsPerSecond)
	case options.Utilization <= 0 || options.Utilization >= 1:
		return fmt.Errorf("utilization: %g must lie between 0 and 1", options.Utilization)
	case options.QUICShare < 0 || options.QUICShare > 1:
		return fmt.Errorf("QUIC share: %g must be from 0 to 1", options.QUICShare)
	case options.Slots < 1 || options.Queue < 1:
		return fmt.Errorf("slots %d and queue %d must be at least 1", options.Slots, options.Queue)
	case options.ServiceTime <= 0:
		return fmt.Errorf("service time: %s must be positive", options.ServiceTime)
	case options.ChangeInterval <= options.SettledAfter:
		return fmt.Errorf("change interval: %s must exceed the settling time of %s", options.ChangeInterval, options.SettledAfter)
	}
	return nil
}

// maximumTargets is the maximum number of initial targets.
const maximumTargets = 200

// duration returns the virtual duration of a run: the warm-up and one interval for each change.
func (options Options) duration() time.Duration {
	return options.WarmUp + time.Duration(len(options.Changes))*options.ChangeInterval
}
