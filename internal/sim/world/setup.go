package world

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

const (
	// firstValue is the queue limit that services start with.
	firstValue = 64
	// setupTime bounds the virtual time until the world serves.
	setupTime = 40 * time.Second
	// setupStep is how often setup looks whether the world serves.
	setupStep = 100 * time.Millisecond
	// settleTime lets leases, targets and loads come into place.
	settleTime = 8 * time.Second
)

// Start starts all processes, creates the services and waits until every
// balancer serves them. It returns false, and reports it, when that fails.
func (world *World) Start() bool {
	world.StartControl()
	for _, relay := range world.relays {
		relay.process.Start()
	}
	for _, balancer := range world.balancers {
		balancer.process.Start()
	}
	for _, agent := range world.agentList {
		agent.process.Start()
	}
	if !world.CreateServices() {
		return false
	}
	if !world.waitFor(setupTime, world.allServe) {
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

// waitFor runs the world until condition holds; false when it never did.
func (world *World) waitFor(limit time.Duration, condition func() bool) bool {
	for waited := time.Duration(0); waited < limit; waited += setupStep {
		if condition() {
			return true
		}
		world.run.Scheduler.RunFor(setupStep)
	}
	return condition()
}

// allServe tells whether every balancer and agent runs all services.
func (world *World) allServe() bool {
	for _, balancer := range world.balancers {
		if len(balancer.store.Current().Services) < len(world.services) {
			return false
		}
	}
	for _, agent := range world.agentList {
		if agent.life.steering == nil {
			return false
		}
	}
	return true
}

// sampleInterval is how often the balancers' leases are looked at.
const sampleInterval = 250 * time.Millisecond

func (world *World) startSampling() {
	world.run.Scheduler.Every(sampleInterval, func() bool {
		world.check.sample()
		return true
	})
}

// CreateServices makes the template, the tenants and the services.
func (world *World) CreateServices() bool {
	operator := world.NewOperator("setup")
	var steps []func(done func(Answer))
	for _, protocol := range []model.Protocol{model.ProtocolQUIC, model.ProtocolTCP, model.ProtocolUDP} {
		steps = append(steps, func(done func(Answer)) {
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
		steps[index](func(answer Answer) {
			if !answer.Known || !answer.Result.Applied() {
				created = false
				world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), "setup step %d: %+v", index, answer)
			}
			next(index + 1)
		})
	}
	next(0)
	return world.waitFor(setupTime, func() bool { return finished }) && created
}

func (world *World) createSteps(operator *Operator, service *serviceHandle) []func(done func(Answer)) {
	return []func(done func(Answer)){
		func(done func(Answer)) {
			command := state.PutTenant{Change: operator.nextChange(0), Name: service.tenant}
			operator.send(command, command.Key, done)
		},
		func(done func(Answer)) { world.createService(operator, service, done) },
	}
}

// createService creates a service and remembers its ID and revision.
func (world *World) createService(operator *Operator, service *serviceHandle, done func(Answer)) {
	command := world.putService(service, firstValue)
	command.Change = operator.nextChange(0)
	operator.send(command, command.Key, func(answer Answer) {
		if answer.Known && answer.Result.Applied() {
			service.id = answer.Result.Service
			service.revision = answer.Result.Revision
			world.check.operators.Created(service.name, checker.InitialState{Value: firstValue, Revision: uint64(service.revision)})
		}
		done(answer)
	})
}

// putService returns the command that gives a service its targets and value.
func (world *World) putService(service *serviceHandle, value uint64) state.PutService {
	return state.PutService{
		Tenant:   service.tenant,
		Name:     service.name,
		Template: model.TemplateReference{Name: templateName(service.protocol)},
		Parameters: []state.Parameter{
			{Name: "address", Value: mustMarshal(service.address)},
			{Name: "targets", Value: mustMarshal(service.targetParameters())},
			{Name: valueParameter, Value: mustMarshal(value)},
		},
	}
}

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

// template is the template of services of one protocol.
func template(protocol model.Protocol) state.TemplateSpec {
	spec := state.TemplateSpec{
		Protocol: state.NameOfProtocol(protocol),
		Parameters: []state.ParameterDefinition{
			{Name: "address", Kind: state.KindAddress, Sets: state.PropertyAddress},
			{Name: "targets", Kind: state.KindTargets, Sets: state.PropertyTargets},
			{Name: valueParameter, Kind: state.KindInteger, Sets: state.PropertyMaximumQueue, Default: mustMarshal(firstValue)},
		},
	}
	if protocol == model.ProtocolQUIC {
		spec.Rules = []state.RuleTemplate{{PathPrefix: "/", Class: model.ClassCall}}
	}
	return spec
}
