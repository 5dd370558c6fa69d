package world

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

const (
	// initialQueueLimit is the queue limit that services start with.
	initialQueueLimit = 64
	// setupTimeout bounds the virtual time until all nodes serve.
	setupTimeout = 40 * time.Second
	// pollInterval is the virtual time between two checks of a condition that the world waits for.
	pollInterval = 100 * time.Millisecond
	// settleTime is the virtual time after setup in which leases, the states of targets and reported
	// loads settle before callers' traffic begins.
	settleTime = 8 * time.Second
)

// Start starts all processes, creates the services and waits until every balancer and agent serves
// them. If that fails, it reports a violation and returns false.
func (world *World) Start() bool {
	world.StartControl()
	for _, relay := range world.relays {
		relay.process.Start()
	}
	for _, balancer := range world.balancers {
		balancer.process.Start()
	}
	for _, agent := range world.agents {
		agent.process.Start()
	}
	if !world.CreateServices() {
		return false
	}
	if !world.waitFor(setupTimeout, world.allNodesServe) {
		world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), "the world did not come up")
		return false
	}
	world.run.Scheduler.RunFor(settleTime)
	world.fabric.start()
	world.startSampling()
	return true
}

// StartControl starts the control members alone.
func (world *World) StartControl() {
	world.machineList.start()
	for _, member := range world.members {
		member.process.Start()
	}
}

// waitFor runs the world until condition holds, and reports whether it did within limit.
func (world *World) waitFor(limit time.Duration, condition func() bool) bool {
	for waited := time.Duration(0); waited < limit; waited += pollInterval {
		if condition() {
			return true
		}
		world.run.Scheduler.RunFor(pollInterval)
	}
	return condition()
}

// allNodesServe reports whether every balancer has all services and every agent has found its target.
func (world *World) allNodesServe() bool {
	for _, balancer := range world.balancers {
		if len(balancer.store.Current().Services) < len(world.services) {
			return false
		}
	}
	for _, agent := range world.agents {
		if agent.instance.steering == nil {
			return false
		}
	}
	return true
}

// sampleInterval is how often the balancers' leases are sampled.
const sampleInterval = 250 * time.Millisecond

// startSampling begins to sample the balancers' leases for the checkers.
func (world *World) startSampling() {
	world.run.Scheduler.Every(sampleInterval, func() bool {
		world.checks.sample()
		return true
	})
}

// CreateServices creates the templates, the tenants and the services one after the other, and reports
// whether all were accepted.
func (world *World) CreateServices() bool {
	operator := world.NewOperator("setup")
	var steps []func(done func(ChangeOutcome))
	for _, protocol := range []model.Protocol{model.ProtocolQUIC, model.ProtocolTCP, model.ProtocolUDP} {
		steps = append(steps, func(done func(ChangeOutcome)) {
			command := state.PutTemplate{Change: operator.nextChange(0), Name: templateName(protocol), Spec: template(protocol)}
			operator.send(command, command.Key, done)
		})
	}
	for _, service := range world.services {
		steps = append(steps, world.createSteps(operator, service)...)
	}
	created := true
	finished := false
	var next func(index int)
	next = func(index int) {
		if index == len(steps) {
			finished = true
			return
		}
		steps[index](func(answer ChangeOutcome) {
			if !answer.Known || !answer.Result.Applied() {
				created = false
				world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), "setup step %d: %+v", index, answer)
			}
			next(index + 1)
		})
	}
	next(0)
	return world.waitFor(setupTimeout, func() bool { return finished }) && created
}

// createSteps returns the steps that create a service: its tenant and the service itself.
func (world *World) createSteps(operator *Operator, service *serviceHandle) []func(done func(ChangeOutcome)) {
	return []func(done func(ChangeOutcome)){
		func(done func(ChangeOutcome)) {
			command := state.PutTenant{Change: operator.nextChange(0), Name: service.tenant}
			operator.send(command, command.Key, done)
		},
		func(done func(ChangeOutcome)) { world.createService(operator, service, done) },
	}
}

// createService creates a service and stores its ID and revision in the handle.
func (world *World) createService(operator *Operator, service *serviceHandle, done func(ChangeOutcome)) {
	command := world.putService(service, initialQueueLimit)
	command.Change = operator.nextChange(0)
	operator.send(command, command.Key, func(answer ChangeOutcome) {
		if answer.Known && answer.Result.Applied() {
			service.id = answer.Result.Service
			service.revision = answer.Result.Revision
			world.checks.operators.Created(service.name, checker.InitialState{Value: initialQueueLimit, Revision: uint64(service.revision)})
		}
		done(answer)
	})
}

// putService returns the command that sets a service's address, its targets, and value as its queue
// limit.
func (world *World) putService(service *serviceHandle, value uint64) state.PutService {
	return state.PutService{
		Tenant:   service.tenant,
		Name:     service.name,
		Template: model.TemplateReference{Name: templateName(service.protocol)},
		Parameters: []state.Parameter{
			{Name: "address", Value: mustMarshal(service.address)},
			{Name: "targets", Value: mustMarshal(service.targetParameters())},
			{Name: queueLimitParameter, Value: mustMarshal(value)},
		},
	}
}

// targetParameters returns the service's targets that are not removed at present.
func (service *serviceHandle) targetParameters() []state.TargetParameter {
	var parameters []state.TargetParameter
	for _, target := range service.targets {
		if service.removed[target.name] {
			continue
		}
		backend := netip.AddrPortFrom(target.address.Addr(), 8080)
		parameters = append(parameters, state.TargetParameter{
			Name: string(target.name), Zone: string(target.zone), Agent: target.address, Backend: backend,
		})
	}
	return parameters
}

func templateName(protocol model.Protocol) string {
	return "standard-" + string(state.NameOfProtocol(protocol))
}

// template returns the template of the services of one protocol.
func template(protocol model.Protocol) state.TemplateSpec {
	spec := state.TemplateSpec{
		Protocol: state.NameOfProtocol(protocol),
		Parameters: []state.ParameterDefinition{
			{Name: "address", Kind: state.KindAddress, Sets: state.PropertyAddress},
			{Name: "targets", Kind: state.KindTargets, Sets: state.PropertyTargets},
			{Name: queueLimitParameter, Kind: state.KindInteger, Sets: state.PropertyMaximumQueue, Default: mustMarshal(initialQueueLimit)},
		},
	}
	if protocol == model.ProtocolQUIC {
		spec.Rules = []state.RuleTemplate{{PathPrefix: "/", Class: model.ClassCall}}
	}
	return spec
}
