package requests

import (
	"time"

	"merlinpaddle/internal/direct/steer"
)

// whereabouts tells how far a request has come on its way to its target.
type whereabouts uint8

// The whereabouts.
const (
	// atTarget: the target has all of it that came.
	atTarget whereabouts = iota
	// inFrontOfLink: its latest packet waits in front of the balancer's link.
	inFrontOfLink
	// stillComing: it is long, and more of its data comes.
	stillComing
)

func (open *request) whereabouts() whereabouts {
	switch {
	case open.content.receiving():
		return stillComing
	case open.waiting:
		return inFrontOfLink
	}
	return atTarget
}

// tellMove tells the listeners that a request at a target moved on.
func (watcher *Watcher) tellMove(target Target, before, after whereabouts) {
	if before == after {
		return
	}
	watcher.tellWhereabouts(target, before, false)
	watcher.tellWhereabouts(target, after, true)
}

func (watcher *Watcher) tellWhereabouts(target Target, place whereabouts, there bool) {
	for _, listener := range watcher.listeners {
		switch place {
		case inFrontOfLink:
			listener.Waiting(target, there)
		case stillComing:
			listener.Receiving(target, there)
		}
	}
}

// Waits takes in that the packet which was placed or noted at now waits in front of the
// balancer's link. Left is called for the packet, or for a later copy of it, unless it is lost.
// A packet that is sent again changes nothing: its target may have the first copy.
func (watcher *Watcher) Queued(segment steer.Segment, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if open, known := shard.requests[key]; known && open.since.Equal(now) && open.hangsOn(segment) {
		watcher.setWaiting(shard, key, open, true)
	}
}

// Left takes in that a packet which waited in front of the balancer's link left it at now.
func (watcher *Watcher) Dequeued(segment steer.Segment, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if open, known := shard.requests[key]; known && open.waiting && open.hangsOn(segment) {
		open.since = now
		watcher.setWaiting(shard, key, open, false)
	}
}

func (watcher *Watcher) setWaiting(shard *shard, key flowKey, open request, waiting bool) {
	before := open.whereabouts()
	open.waiting = waiting
	shard.requests[key] = open
	watcher.tellMove(open.target, before, open.whereabouts())
}

// hangsOn tells whether the target can go on with the request once it has the packet: the
// opening packet, or the latest new data.
func (open *request) hangsOn(segment steer.Segment) bool {
	if open.asked {
		return segment.HasData && segment.Sequence == open.content.latest
	}
	return segment.Opening
}
