package requests

import (
	"fmt"
	"strconv"
	"sync"

	"merlinpaddle/internal/model"
)

const (
	// maximumRecentIDs is the number of latest request IDs that are not assigned again.
	maximumRecentIDs = 8192
	// maximumIDLength bounds a caller's request ID, in bytes.
	maximumIDLength = 128
)

// IDAssigner assigns each request an ID that none of this agent's latest maximumRecentIDs requests
// had, so that an answer with the ID can only belong to that request.
type IDAssigner struct {
	// prefix is part of each generated ID.
	prefix string

	lock sync.Mutex
	// counter is the number of generated IDs.
	counter uint64
	// recent and ring both hold the recent IDs. ring is in the order of assignment, from index
	// oldest once it is full.
	recent map[string]struct{}
	ring   []string
	oldest int
}

// NewIDAssigner returns an assigner whose generated IDs differ from those of other nodes and of
// other incarnations of node.
func NewIDAssigner(node model.NodeName, incarnation model.Incarnation) *IDAssigner {
	return &IDAssigner{
		prefix: fmt.Sprintf("%s-%x", node, uint64(incarnation)),
		recent: make(map[string]struct{}, maximumRecentIDs),
	}
}

// Assign returns the ID with which a request is sent to the back end: that of the caller if it is
// usable and was not used recently, otherwise a generated one.
func (assigner *IDAssigner) Assign(callerID string) string {
	assigner.lock.Lock()
	defer assigner.lock.Unlock()
	id := callerID
	if !isUsableID(id) || assigner.isRecent(id) {
		id = assigner.newUniqueID(callerID)
	}
	assigner.addRecent(id)
	return id
}

// isRecent reports whether id was assigned recently.
func (assigner *IDAssigner) isRecent(id string) bool {
	_, seen := assigner.recent[id]
	return seen
}

// newUniqueID generates an ID, with the caller's ID as its beginning if that is usable.
func (assigner *IDAssigner) newUniqueID(callerID string) string {
	assigner.counter++
	generated := assigner.prefix + "-" + strconv.FormatUint(assigner.counter, 16)
	if isUsableID(callerID) {
		return callerID + "." + generated
	}
	return generated
}

// addRecent records an assigned ID and removes the oldest recorded one if there are too many.
func (assigner *IDAssigner) addRecent(id string) {
	assigner.recent[id] = struct{}{}
	if len(assigner.ring) < maximumRecentIDs {
		assigner.ring = append(assigner.ring, id)
		return
	}
	delete(assigner.recent, assigner.ring[assigner.oldest])
	assigner.ring[assigner.oldest] = id
	assigner.oldest = (assigner.oldest + 1) % maximumRecentIDs
}

// isUsableID reports whether id consists of printable ASCII characters without spaces and is at
// most maximumIDLength long, so that HTTP implementations forward it unchanged.
func isUsableID(id string) bool {
	if id == "" || len(id) > maximumIDLength {
		return false
	}
	for _, character := range []byte(id) {
		if character <= ' ' || character > '~' {
			return false
		}
	}
	return true
}
