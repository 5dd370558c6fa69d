package compare

import (
	"cmp"
	"encoding/binary"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// hashOf returns the hash of a flow, which all algorithms use.
func hashOf(tuple model.FiveTuple) uint64 { return routing.FlowHash(tuple) }

// sortFlows sorts flows by number, so that iterating over a map does not affect the results.
func sortFlows(flows []*flowState) {
	slices.SortFunc(flows, func(left, right *flowState) int {
		return cmp.Compare(left.plan.number, right.plan.number)
	})
}

// members has the targets that may open new flows, as of one revision.
type members struct {
	serving []model.TargetID
}

// choose returns the target with the highest weight for hash (rendezvous hashing). This is
// consistent hashing in which all targets have equal shares. It returns zero if there is no serving
// target.
func (members members) choose(hash uint64) model.TargetID {
	var best model.TargetID
	var bestWeight uint64
	for _, target := range members.serving {
		if weight := weightOf(hash, target); best == 0 || weight > bestWeight {
			best, bestWeight = target, weight
		}
	}
	return best
}

func weightOf(hash uint64, target model.TargetID) uint64 {
	var key [12]byte
	binary.BigEndian.PutUint64(key[0:], hash)
	binary.BigEndian.PutUint32(key[8:], uint32(target))
	return xxhash.Sum64(key[:])
}

// membership returns the targets whose committed phase is serving.
func (run *run) membership() members {
	var current members
	for _, target := range run.targets {
		if target.phase == phaseServing {
			current.serving = append(current.serving, target.id)
		}
	}
	return current
}

// hashing is plain consistent hashing. All other algorithms except fullChain embed it.
type hashing struct {
	run         *run
	memberships *propagation[members]
	counter     *byteCounter
}

func newHashing(run *run) *hashing {
	return &hashing{run: run, memberships: newPropagation(run, run.membership()), counter: newByteCounter()}
}

func (hashing *hashing) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	return hashing.deliver(hashing.memberships.appliedBy(balancerID(balancer)).choose(flow.hash), flow, opening)
}

// deliver returns the result of a packet at a target that knows only its own flows: the target
// accepts opening packets and packets of flows that it owns, and resets all others.
func (hashing *hashing) deliver(target model.TargetID, flow *flowState, opening bool) outcome {
	switch {
	case !hashing.run.isLive(target):
		return outcome{verdict: verdictLost}
	case opening || flow.owner == target:
		return outcome{verdict: verdictDelivered, target: target}
	default:
		return outcome{verdict: verdictReset, target: target}
	}
}

func (hashing *hashing) flowClosed(*flowState) {}

func (hashing *hashing) targetsChanged() {
	hashing.counter.add(hashing.run.targetRecord())
	hashing.memberships.publish(hashing.run.membership())
}

// targetRecord returns a target as a change of the targets sends it to each node. Only its encoded
// size matters.
func (run *run) targetRecord() model.Target {
	return model.Target{ID: model.TargetID(len(run.targets)), Service: comparedService, Phase: phaseServing, Agent: serviceAddress}
}

func (hashing *hashing) targetJoined(model.TargetID) {}

func (hashing *hashing) targetDied(model.TargetID) {}

func (hashing *hashing) balancerJoined(balancer *balancerNode) {
	hashing.memberships.join(balancerID(balancer))
}

func (hashing *hashing) state() StateBytes {
	return StateBytes{Table: float64(len(hashing.run.targets)) * float64(reflect.TypeFor[model.Target]().Size())}
}

func (hashing *hashing) controlBytes() (down, up uint64) { return hashing.counter.total, 0 }

// connectionID uses hashing for opening packets and for TCP. Later packets of QUIC flows go to
// their owner, whose ID is part of the connection ID that the owner issued.
type connectionID struct{ *hashing }

func (connectionID connectionID) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	if !opening && flow.plan.quic {
		return connectionID.deliver(flow.owner, flow, false)
	}
	return connectionID.hashing.route(balancer, flow, opening)
}

// flowTable is hashing with a flow table at each balancer, which overrides the hash. Balancers do
// not share their tables.
type flowTable struct {
	*hashing
	tables map[int]*flow.Cache
}

// tableCapacity is the capacity of a balancer's flow table, in flows.
const tableCapacity = 1 << 17

func newFlowTable(run *run) *flowTable {
	flowTable := &flowTable{hashing: newHashing(run), tables: make(map[int]*flow.Cache)}
	for _, balancer := range run.balancers {
		flowTable.tables[balancer.number] = flow.NewCache(tableCapacity)
	}
	return flowTable
}

func (flowTable *flowTable) route(balancer *balancerNode, flow *flowState, opening bool) outcome {
	table := flowTable.tables[balancer.number]
	if target, known := table.Lookup(flow.hash, flow.tuple); known && flowTable.run.target(target).phase != phaseDead {
		return flowTable.deliver(target, flow, opening)
	}
	target := flowTable.memberships.appliedBy(balancerID(balancer)).choose(flow.hash)
	table.Insert(flow.hash, flow.tuple, target)
	return flowTable.deliver(target, flow, opening)
}

// flowClosed removes the flow from the tables of all balancers, as if each had seen the flow close.
func (flowTable *flowTable) flowClosed(flow *flowState) {
	for _, table := range flowTable.tables {
		table.Remove(flow.hash, flow.tuple)
	}
}

func (flowTable *flowTable) balancerJoined(balancer *balancerNode) {
	flowTable.hashing.balancerJoined(balancer)
	flowTable.tables[balancer.number] = flow.NewCache(tableCapacity)
}

func (flowTable *flowTable) state() StateBytes {
	state := flowTable.hashing.state()
	state.Balancers = cacheBytes(flowTable.run, flowTable.tables)
	return state
}

// cacheBytes returns the memory, in bytes, of the flows in the caches of the live balancers. Each
// flow counts with its share of a cache's memory, so that unused capacity does not count.
func cacheBytes(run *run, caches map[int]*flow.Cache) float64 {
	total := 0.0
	for _, balancer := range run.alive {
		cache := caches[balancer.number]
		total += float64(cache.Len()) * float64(cache.Bytes()) / tableCapacity
	}
	return total
}
