package requests

import (
	"time"

	"merlinpaddle/internal/direct/steer"
)

// stage is how far the data of a request has come on the way to its target.
type stage uint8

// The stages.
const (
	// atTarget: all data received so far was sent to the target.
	atTarget stage = iota
	// inLinkQueue: the latest packet waits in the queue for the balancer's link.
	inLinkQueue
	// receivingData: the request is long and more of its data is expected.
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

// notifyTransition notifies the listeners that a request at a target changed its stage.
func (watcher *Watcher) notifyTransition(target Target, before, after stage) {
	if before == after {
		return
	}
	watcher.notifyStage(target, before, false)
	watcher.notifyStage(target, after, true)
}

// notifyStage notifies the listeners that a request entered or left a stage.
func (watcher *Watcher) notifyStage(target Target, stage stage, entered bool) {
	for _, listener := range watcher.listeners {
		switch stage {
		case inLinkQueue:
			listener.Waiting(target, entered)
		case receivingData:
			listener.Receiving(target, entered)
		}
	}
}

// Queued records that the packet which was forwarded at now waits in the queue for the balancer's
// link. Dequeued follows for the packet or for a later copy of it, unless it is lost. A
// retransmission changes nothing, because its target may have received the first copy.
func (watcher *Watcher) Queued(segment steer.Segment, now time.Time) {
	key := keyOf(segment)
	shard := watcher.shard(key)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if open, known := shard.requests[key]; known && open.progressAt.Equal(now) && open.dependsOn(segment) {
		watcher.setQueued(shard, key, open, true)
	}
}

// Dequeued records that a packet which waited in the queue for the balancer's link was sent at now.
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

func (watcher *Watcher) setQueued(shard *shard, key flowKey, open request, queued bool) {
	before := open.stage()
	open.queued = queued
	shard.requests[key] = open
	watcher.notifyTransition(open.target, before, open.stage())
}

// dependsOn reports whether the target needs the packet to continue with the request: whether it
// is the opening packet, or the latest new data.
func (open *request) dependsOn(segment steer.Segment) bool {
	if open.hasData {
		return segment.HasData && segment.Sequence == open.content.latestSequence
	}
	return segment.Opening
}
