package compare

import "merlinpaddle/internal/model"

// AlgorithmName is the name of a routing algorithm, as results and plots contain it.
type AlgorithmName string

// The algorithms, and the baselines that have full knowledge without lag.
const (
	AlgorithmHashing       AlgorithmName = "plain consistent hashing"
	AlgorithmFlowTable     AlgorithmName = "per-balancer flow table"
	AlgorithmTwoHop        AlgorithmName = "two-hop chain"
	AlgorithmConnectionID  AlgorithmName = "connection-ID routing"
	AlgorithmChain         AlgorithmName = "full chain"
	AlgorithmLeastFlows    AlgorithmName = "least flows, all-knowing"
	AlgorithmLeastRequests AlgorithmName = "least requests, all-knowing"
	AlgorithmLeastRate     AlgorithmName = "least request rate, all-knowing"
)

// AllAlgorithms returns the algorithms and baselines in the order of the report.
func AllAlgorithms() []AlgorithmName {
	return []AlgorithmName{
		AlgorithmHashing, AlgorithmFlowTable, AlgorithmTwoHop, AlgorithmConnectionID, AlgorithmChain,
		AlgorithmLeastFlows, AlgorithmLeastRequests, AlgorithmLeastRate,
	}
}

// verdict is the result of routing a packet.
type verdict uint8

// The verdicts.
const (
	// verdictDelivered is a packet that reached a target that accepted it.
	verdictDelivered verdict = iota + 1
	// verdictReset is a packet to which a target responded with a reset.
	verdictReset
	// verdictLost is a packet that reached no live target or that a target dropped.
	verdictLost
)

// outcome is the result of routing one packet.
type outcome struct {
	verdict verdict
	// target is the last target that received the packet; it may be unset if the packet was lost.
	target model.TargetID
	// passes is the number of times that targets forwarded the packet.
	passes int
}

// algorithm is one routing algorithm of the comparison.
type algorithm interface {
	// route routes a packet of flow from balancer until a target accepts or resets it, or until it is
	// lost. An opening packet that is delivered opens the flow at that target.
	route(balancer *balancerNode, flow *flowState, opening bool) outcome
	// flowClosed is called when a flow has ended at its owner.
	flowClosed(flow *flowState)
	// targetsChanged is called when control has committed a change of the targets.
	targetsChanged()
	// targetJoined is called when the machine of a new target has started.
	targetJoined(target model.TargetID)
	// targetDied is called when a target has died and lost all its state.
	targetDied(target model.TargetID)
	// balancerJoined is called when a balancer has started with empty state.
	balancerJoined(balancer *balancerNode)
	// state returns the memory of the current state.
	state() StateBytes
	// controlBytes returns the bytes of control traffic so far: down is what each node received, up
	// is what all targets together reported to control.
	controlBytes() (down, up uint64)
}

// StateBytes is the memory that an algorithm needs at one time, in bytes.
type StateBytes struct {
	// Balancers is the memory for flows in all balancers.
	Balancers float64 `json:"balancers"`
	// Targets is the memory for flows in all targets, in addition to that for their connections.
	Targets float64 `json:"targets"`
	// Table is the memory of one node for the service that does not depend on its flows.
	Table float64 `json:"table"`
}

// newAlgorithm returns the algorithm called name. An unknown name gives plain consistent hashing.
func newAlgorithm(run *run, name AlgorithmName) algorithm {
	switch name {
	case AlgorithmFlowTable:
		return newFlowTable(run)
	case AlgorithmTwoHop:
		return newTwoHop(run)
	case AlgorithmConnectionID:
		return connectionID{newHashing(run)}
	case AlgorithmChain:
		return newFullChain(run)
	case AlgorithmLeastFlows:
		return leastLoaded{hashing: newHashing(run), less: fewerFlows}
	case AlgorithmLeastRequests:
		return leastLoaded{hashing: newHashing(run), less: fewerRequests}
	case AlgorithmLeastRate:
		return leastLoaded{hashing: newHashing(run), less: lowerRate}
	default:
		return newHashing(run)
	}
}
