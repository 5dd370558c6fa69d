package steering

import (
	"sync"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// minimumRetransmissionDelay is the time after which another opening packet of a flow is taken
	// for a retransmission by a caller that got no answer. Copies made by the network arrive sooner.
	minimumRetransmissionDelay = 250 * time.Millisecond
	// suspectThreshold is the number of retransmissions, with no packet from the alternate in between,
	// after which the alternate is suspect.
	suspectThreshold = 2
	// suspectDuration is how long no new flows are assigned to a suspect alternate.
	suspectDuration = 5 * time.Second
)

// responseMonitor detects alternates that do not respond, from callers that retransmit their opening
// packets. It is needed until control removes a dead target from the tables, and for as long as a
// network partition between two zones lasts, because control must not declare targets dead then.
// Suspecting a target wrongly only costs balance: the head opens the flow itself. The methods may be
// called concurrently.
type responseMonitor struct {
	lock  sync.Mutex
	peers map[model.TargetID]peerState
}

type peerState struct {
	// retransmissions is the number of retransmissions since the latest packet from the target or
	// since it became suspect.
	retransmissions int
	// suspectUntil is the end of the time in which the target is suspect.
	suspectUntil time.Time
}

func newResponseMonitor() *responseMonitor {
	return &responseMonitor{peers: make(map[model.TargetID]peerState)}
}

// recordResponse records that a packet from target arrived. The target is no longer suspect.
func (monitor *responseMonitor) recordResponse(target model.TargetID) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	delete(monitor.peers, target)
}

// recordRetransmission records that a caller retransmitted the opening packet of a flow that was
// assigned to target.
func (monitor *responseMonitor) recordRetransmission(now time.Time, target model.TargetID) {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	peer := monitor.peers[target]
	peer.retransmissions++
	if peer.retransmissions >= suspectThreshold {
		peer = peerState{suspectUntil: now.Add(suspectDuration)}
	}
	monitor.peers[target] = peer
}

// isSuspect reports whether target is suspect, so that no new flows should be assigned to it.
func (monitor *responseMonitor) isSuspect(now time.Time, target model.TargetID) bool {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	return now.Before(monitor.peers[target].suspectUntil)
}
