package rollout

import "time"

const (
	// LeaseLength is how long one grant of the control leader lasts, counted
	// by the receiver from the moment at which it asked. It bounds how long a
	// cut-off balancer can hold back what counts as in force.
	LeaseLength = 3 * time.Second
	// ClockMargin covers the difference in rate between two clocks over one
	// lease, and the time between reading a clock and acting.
	ClockMargin = 500 * time.Millisecond
	// FreshWithin is the age up to which a heartbeat counts as fresh.
	FreshWithin = 1500 * time.Millisecond
)

const (
	// historyCapacity is the number of deltas that are kept for subscribers
	// that are behind.
	historyCapacity = 1024
	// maximumDeltas is the number of deltas above which a snapshot is sent.
	maximumDeltasPerUpdate = 256
	// resendAfter is how long a sent update may stay unconfirmed.
	resendAfter = time.Second
	// silentAfter is how long after its last message a subscriber is still
	// sent updates.
	inactiveAfter = LeaseLength
)
