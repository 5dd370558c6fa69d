package compare

import "merlinpaddle/internal/model"

// WayName names a way of routing.
type AlgorithmName string

// The ways, and the baselines that know everything without lag.
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

// AllWays returns the ways in the order of the report.
func AllAlgorithms() []AlgorithmName {
	return []AlgorithmName{
		AlgorithmHashing, AlgorithmFlowTable, AlgorithmTwoHop, AlgorithmConnectionID, AlgorithmChain, AlgorithmLeastFlows, AlgorithmLeastRequests,
		AlgorithmLeastRate,
	}
}

// verdict tells what became of a packet.
type verdict uint8

const (
	// verdictDelivered is a packet that reached a target that accepted it.
	verdictDelivered verdict = iota + 1
	// verdictReset is a packet that a target answered with a reset.
	verdictReset
	// verdictLost is a packet that reached no live target.
	verdictLost
)

// outcome is the end of one packet's way.
type outcome struct {
	verdict verdict
	target  model.TargetID
	// passes is how often a target passed the packet on.
	passes int
}

// way is one way of routing under comparison.
type way interface {
	// route takes a packet from a balancer to where it ends. An opening packet
	// that is delivered opens the flow at that target.
	route(balancer *balancerNode, flow *flowState, opening bool) outcome
	// closed tells that a flow ended at its owner.
	closed(flow *flowState)
	// targetsChanged tells that control committed a change of the targets.
	targetsChanged()
	// targetJoined tells that a target's machine started.
	targetJoined(target model.TargetID)
	// targetDied tells that a target lost all its state.
	targetDied(target model.TargetID)
	// balancerJoined tells that a balancer started with empty state.
	balancerJoined(balancer *balancerNode)
	// state returns the present state in bytes.
	state() StateBytes
	// controlBytes returns the bytes that every balancer received so far, and
	// those that targets reported upwards.
	controlBytes() (down, up uint64)
}

// StateBytes is the memory that a way needs at one moment, in bytes.
type StateBytes struct {
	// Balancers is what all balancers keep for flows.
	Balancers float64 `json:"balancers"`
	// Targets is what all targets keep for flows beyond their own connections.
	Targets float64 `json:"targets"`
	// Table is what one node keeps for the service whatever its flows.
	Table float64 `json:"table"`
}

// newWay returns the way called name.
func newWay(run *run, name AlgorithmName) way {
	switch name {
	case AlgorithmFlowTable:
		return newFlowTable(run)
	case AlgorithmTwoHop:
		return newTwoHop(run)
	case AlgorithmConnectionID:
		return connectionID{newHashing(run)}
	case AlgorithmChain:
		return newChain(run)
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
