package compare

import (
	"time"

	"merlinpaddle/internal/model"
)

const (
	phaseServing  = model.PhaseServing
	phaseDraining = model.PhaseDraining
	phaseDead     = model.PhaseDead
)

// targetNode is one target with the request queue of its back end.
type targetNode struct {
	id    model.TargetID
	phase model.TargetPhase
	// dead reports whether the machine is dead, whether control has detected it or not.
	dead bool
	// drainedAt is the time at which the drain started.
	drainedAt time.Time
	// flows is the number of open flows.
	flows int
	// rate is the sum of the request rates of the open flows, in requests a second.
	rate     float64
	requests *requestQueue
	// recent is a ring buffer of the number of requests at the latest samples. next is the index of
	// the oldest sample.
	recent [windowSamples]float64
	next   int
}

// isServing reports whether the target is alive and its phase is serving.
func (target *targetNode) isServing() bool { return target.phase == phaseServing && !target.dead }

// load returns the target's current load, which its report may contradict.
func (target *targetNode) load(slots int) model.TargetLoad {
	load := model.TargetLoad{Target: target.id, Flows: uint32(target.flows), Slots: uint32(slots), Healthy: true}
	if target.requests != nil {
		load.Running = uint32(target.requests.running)
		load.Waiting = uint32(len(target.requests.waiting))
	}
	return load
}

// requestQueue serves requests in the order of their arrival.
type requestQueue struct {
	run     *run
	running int
	waiting []waitingRequest
}

// waitingRequest is a request before it gets a slot.
type waitingRequest struct {
	arrived     time.Time
	serviceTime time.Duration
}

// admit starts or queues a request that occupies a slot for serviceTime, or sheds it if the queue
// is full.
func (queue *requestQueue) admit(serviceTime time.Duration) {
	request := waitingRequest{arrived: queue.run.clock.Now(), serviceTime: serviceTime}
	switch {
	case queue.running < queue.run.options.Slots:
		queue.start(request)
	case len(queue.waiting) < queue.run.options.Queue:
		queue.waiting = append(queue.waiting, request)
	default:
		queue.run.result.Shed++
	}
}

func (queue *requestQueue) start(request waitingRequest) {
	queue.running++
	queue.run.waits.add(queue.run.clock.Now().Sub(request.arrived))
	queue.run.clock.After(request.serviceTime, queue.finish)
}

func (queue *requestQueue) finish() {
	queue.running--
	if len(queue.waiting) == 0 {
		return
	}
	next := queue.waiting[0]
	queue.waiting = queue.waiting[1:]
	queue.start(next)
}

// loadReports simulates the load reports of targets, which may be delayed, frozen or wrong. None of
// the algorithms reads them: agents of the full chain use the current load of their own target.
type loadReports struct {
	run       *run
	history   [][]model.TargetLoad
	delivered map[model.TargetID]model.TargetLoad
	// frozen has the targets whose reports are not delivered any more.
	frozen map[model.TargetID]bool
	// zeroReporter is the target whose reports state zero load, or zero.
	zeroReporter model.TargetID
}

// record records the current loads and delivers those that are Options.ReportLag old. It is called
// every second.
func (reports *loadReports) record() {
	loads := make([]model.TargetLoad, 0, len(reports.run.targets))
	for _, target := range reports.run.targets {
		if !target.dead {
			loads = append(loads, target.load(reports.run.options.Slots))
		}
	}
	reports.history = append(reports.history, loads)
	lag := int(reports.run.options.ReportLag / time.Second)
	if len(reports.history) <= lag {
		return
	}
	for _, load := range reports.history[0] {
		reports.deliver(load)
	}
	reports.history = reports.history[1:]
}

// deliver stores a report unless the target's reports are frozen. The report of zeroReporter is
// changed to zero load.
func (reports *loadReports) deliver(load model.TargetLoad) {
	if reports.frozen[load.Target] {
		return
	}
	if load.Target == reports.zeroReporter {
		load.Flows, load.Running, load.Waiting = 0, 0, 0
	}
	reports.delivered[load.Target] = load
}

// Load returns the latest delivered report of a target, and whether there is one.
func (reports *loadReports) Load(target model.TargetID) (model.TargetLoad, bool) {
	load, known := reports.delivered[target]
	return load, known
}

// freeze stops the delivery of reports of every second serving target.
func (reports *loadReports) freeze() {
	for index, target := range reports.run.serving() {
		if index%2 == 1 {
			reports.frozen[target.id] = true
		}
	}
}

// reportNoLoad makes the reports of target state zero load from now on.
func (reports *loadReports) reportNoLoad(target model.TargetID) {
	reports.zeroReporter = target
	delete(reports.frozen, target)
}
