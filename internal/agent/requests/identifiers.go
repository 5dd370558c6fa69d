package requests

import (
	"fmt"
	"strconv"
	"sync"

	"merlinpaddle/internal/model"
)

const (
	// rememberedIDs is the number of latest request IDs that are not used
	// again.
	rememberedIDs = 8192
	// maximumIDLength bounds a caller's request ID, in bytes.
	maximumIDLength = 128
)

// IDAssigner gives each request an ID that no other request of this agent
// has lately had, so that an answer with the ID can only be that request's.
type IDAssigner struct {
	prefix string

	lock    sync.Mutex
	counter uint64
	seen    map[string]struct{}
	order   []string
	oldest  int
}

// NewIDAssigner returns an assigner whose IDs differ from those of other nodes
// and of other incarnations of node.
func NewIDAssigner(node model.NodeName, incarnation model.Incarnation) *IDAssigner {
	return &IDAssigner{
		prefix: fmt.Sprintf("%s-%x", node, uint64(incarnation)),
		seen:   make(map[string]struct{}, rememberedIDs),
	}
}

// Assign returns the ID under which a request goes to the back end: the
// caller's own when it is usable and was not used lately.
func (identifiers *IDAssigner) Assign(callerID string) string {
	identifiers.lock.Lock()
	defer identifiers.lock.Unlock()
	id := callerID
	if !usableID(id) || identifiers.wasSeen(id) {
		id = identifiers.unique(callerID)
	}
	identifiers.remember(id)
	return id
}

func (identifiers *IDAssigner) wasSeen(id string) bool {
	_, seen := identifiers.seen[id]
	return seen
}

func (identifiers *IDAssigner) unique(callerID string) string {
	identifiers.counter++
	own := identifiers.prefix + "-" + strconv.FormatUint(identifiers.counter, 16)
	if usableID(callerID) {
		return callerID + "." + own
	}
	return own
}

func (identifiers *IDAssigner) remember(id string) {
	identifiers.seen[id] = struct{}{}
	if len(identifiers.order) < rememberedIDs {
		identifiers.order = append(identifiers.order, id)
		return
	}
	delete(identifiers.seen, identifiers.order[identifiers.oldest])
	identifiers.order[identifiers.oldest] = id
	identifiers.oldest = (identifiers.oldest + 1) % rememberedIDs
}

// usableID tells whether id is printable ASCII without spaces and not too
// long, so that every HTTP program passes it on unchanged.
func usableID(id string) bool {
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
