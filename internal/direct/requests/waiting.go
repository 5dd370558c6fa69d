package requests

import (
	"time"

	"merlinpaddle/internal/direct/steer"
)

// whereabouts tells how far a request has come on its way to its target.
type stage uint8

// The whereabouts.
const (
	// atTarget: the target has all of it that came.
	atTarget stage = iota
	// inFrontOfLink: its latest packet waits in front of the balancer's link.
	inLinkQueue
	// stillComing: it is long, and more of its data comes.
	receivingData
)

func (open *request) stage() stage {
	switch {
	case open.content.receiving():
		return receivingData
	case open.queued:
		return inLinkQueue
	}
	return atTarget
}

// tellMove tells the listeners that a request at a target moved on.
func (watcher *Watcher) notifyTransition(target Target, before, after stage) {
	if before == after {
		return
	}
	watcher.notifyStage(target, before, false)
	watcher.notifyStage(target, after, true)
}

func (watcher *Watcher) notifyStage(target Target, place stage, there bool) {
	for _, listener := range watcher.listeners {
		switch place {
		case inLinkQueue:
			listener.Waiting(target, there)
		case receivingData:
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
	if open, known := shard.requests[key]; known && open.progressAt.Equal(now) && open.dependsOn(segment) {
		watcher.setQueued(shard, key, open, true)
	}
}

// Left takes in that a packet which waited in front of the balancer's link left it at now.
func (watcher *Watcher) Dequeued(segment steer.Segment, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if open, known := shard.requests[key]; known && open.queued && open.dependsOn(segment) {
		open.progressAt = now
		watcher.setQueued(shard, key, open, false)
	}
}

func (watcher *Watcher) setQueued(shard *shard, key flowKey, open request, waiting bool) {
	before := open.stage()
	open.queued = waiting
	shard.requests[key] = open
	watcher.notifyTransition(open.target, before, open.stage())
}

// hangsOn tells whether the target can go on with the request once it has the packet: the
// opening packet, or the latest new data.
func (open *request) dependsOn(segment steer.Segment) bool {
	if open.hasData {
		return segment.HasData && segment.Sequence == open.content.latestSequence
	}
	return segment.Opening
}
