package compare

import (
	"encoding/gob"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// shortestDelay and longestDelay bound the time until a node applies a change. The delays are
	// uniformly distributed and differ between nodes and changes.
	shortestDelay = 100 * time.Millisecond
	longestDelay  = 2 * time.Second
	// stragglerEvery and stragglerDelay model slow balancers: on average one in stragglerEvery
	// changes at a balancer is delayed by stragglerDelay more.
	stragglerEvery = 8
	stragglerDelay = 8 * time.Second
)

// nodeID identifies a balancer or an agent. number is the balancer's number or the agent's target
// ID.
type nodeID struct {
	isAgent bool
	number  int
}

func balancerID(balancer *balancerNode) nodeID { return nodeID{number: balancer.number} }

func agentID(target model.TargetID) nodeID { return nodeID{isAgent: true, number: int(target)} }

// propagation delivers published values to the nodes, each after its own delay. A node never
// returns to an older value.
type propagation[Value any] struct {
	run      *run
	revision uint32
	newest   Value
	nodes    map[nodeID]*appliedValue[Value]
	// order has the nodes in the order in which they joined, so that runs are deterministic.
	order []nodeID
}

// appliedValue is the value that a node has applied, with its revision.
type appliedValue[Value any] struct {
	revision uint32
	value    Value
}

// newPropagation returns a propagation in which the balancers of the run have applied first.
func newPropagation[Value any](run *run, first Value) *propagation[Value] {
	created := &propagation[Value]{run: run, newest: first, nodes: make(map[nodeID]*appliedValue[Value])}
	for _, balancer := range run.balancers {
		created.join(balancerID(balancer))
	}
	return created
}

// join adds a node, which starts with the newest value.
func (propagation *propagation[Value]) join(joining nodeID) {
	propagation.nodes[joining] = &appliedValue[Value]{revision: propagation.revision, value: propagation.newest}
	propagation.order = append(propagation.order, joining)
}

// appliedBy returns the value that a node has applied.
func (propagation *propagation[Value]) appliedBy(receiver nodeID) Value {
	return propagation.nodes[receiver].value
}

// publish sends a value to all nodes. A node that has applied a newer revision meanwhile ignores it.
func (propagation *propagation[Value]) publish(value Value) {
	propagation.revision++
	propagation.newest = value
	revision := propagation.revision
	for _, receiver := range propagation.order {
		applied := propagation.nodes[receiver]
		propagation.run.clock.After(propagation.delay(receiver), func() {
			if revision > applied.revision {
				applied.revision, applied.value = revision, value
			}
		})
	}
}

// delay returns the time until receiver applies the newest revision.
func (propagation *propagation[Value]) delay(receiver nodeID) time.Duration {
	key := uint64(receiver.number) << 1
	if receiver.isAgent {
		key++
	}
	number := propagation.run.draw(key, propagation.revision, drawDelay)
	delay := shortestDelay + time.Duration(uniform(number)*float64(longestDelay-shortestDelay))
	if !receiver.isAgent && number%stragglerEvery == 0 {
		delay += stragglerDelay
	}
	return delay
}

// byteCounter counts the bytes of values on one gob stream, as a node receives them.
type byteCounter struct {
	total   uint64
	encoder *gob.Encoder
}

func newByteCounter() *byteCounter {
	counter := &byteCounter{}
	counter.encoder = gob.NewEncoder(counter)
	return counter
}

// Write implements io.Writer.
func (counter *byteCounter) Write(data []byte) (int, error) {
	counter.total += uint64(len(data))
	return len(data), nil
}

// add counts the bytes of one value. It panics if gob cannot encode it, which is a programming
// error.
func (counter *byteCounter) add(value any) {
	if err := counter.encoder.Encode(value); err != nil {
		panic("compare: encode a control message: " + err.Error())
	}
}
