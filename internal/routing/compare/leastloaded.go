package compare

// leastLoaded is a baseline with full knowledge: it knows the owner of each flow and the current
// load of each target without lag, and opens a flow at the target with the least load.
type leastLoaded struct {
	*hashing
	// less reports whether left has less load than right.
	less func(left, right *targetNode) bool
}

func (baseline leastLoaded) route(_ *balancerNode, flow *flowState, opening bool) outcome {
	if !opening {
		return baseline.deliver(flow.owner, flow, false)
	}
	serving := baseline.run.serving()
	best := serving[0]
	for _, candidate := range serving[1:] {
		if baseline.less(candidate, best) {
			best = candidate
		}
	}
	return baseline.deliver(best.id, flow, true)
}

// fewerFlows reports whether left has fewer open flows than right.
func fewerFlows(left, right *targetNode) bool { return left.flows < right.flows }

// fewerRequests reports whether left has fewer running and waiting requests than right, or fewer
// open flows if they have equally many.
func fewerRequests(left, right *targetNode) bool {
	if difference := left.requests.total() - right.requests.total(); difference != 0 {
		return difference < 0
	}
	return left.flows < right.flows
}

// lowerRate reports whether the open flows of left send fewer requests a second than those of
// right. Outside a model these rates are unknown.
func lowerRate(left, right *targetNode) bool { return left.rate < right.rate }

// total returns the number of running and waiting requests.
func (queue *requestQueue) total() int { return queue.running + len(queue.waiting) }
