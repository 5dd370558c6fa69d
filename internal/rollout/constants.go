package rollout

import "time"

const (
	// LeaseLength is the duration of one grant of the control leader, counted by the receiver from
	// the moment at which it sent the request. It bounds how long a balancer that is disconnected
	// can keep a revision from counting as in force.
	LeaseLength = 3 * time.Second
	// ClockMargin covers the drift between two clocks over one lease, and the time between reading a
	// clock and acting on it.
	ClockMargin = 500 * time.Millisecond
	// FreshWithin is the age up to which a heartbeat counts as fresh; an older one is stale.
	FreshWithin = 1500 * time.Millisecond
)

const (
	// historyCapacity is the maximum number of deltas that a History keeps for subscribers that are
	// behind.
	historyCapacity = 1024
	// maximumDeltasPerUpdate bounds the deltas in one update. A subscriber that lacks more gets a
	// snapshot.
	maximumDeltasPerUpdate = 256
	// resendAfter is how long the publisher waits for a subscriber to confirm an update before it
	// sends the update again.
	resendAfter = time.Second
	// inactiveAfter is how long after its last message a subscriber is still sent updates.
	inactiveAfter = LeaseLength
)
