package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// Names of the objects in a population.
const (
	tenantName   = "capacity"
	templateName = "web"

	// changedParameter is a parameter that operators can change.
	changedParameter = "maximum_queue"
)

// First octets and ports of a population's addresses. Nothing listens on them.
const (
	networkVirtual = 10
	networkAgents  = 11

	portVirtual = 443
	portAgent   = 6081
	portBackend = 8080
)

// target is one target in a service's parameters.
type target struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Agent   string `json:"agent"`
	Backend string `json:"backend"`
}

// population describes services and their targets to build a configuration from.
type population struct {
	services          int
	targetsPerService int
	zones             []string
}

func serviceName(service int) string { return fmt.Sprintf("service-%d", service) }

func targetName(service, number int) string { return fmt.Sprintf("s%d-t%d", service, number) }

// zoneOf returns the zone of the number-th target of a service; targets are spread over the zones
// round-robin.
func (population population) zoneOf(number int) string {
	return population.zones[number%len(population.zones)]
}

// numberedAddress returns the number-th address, with the port, of the network with that first octet.
func numberedAddress(network byte, number int, port uint16) string {
	address := netip.AddrFrom4([4]byte{network, byte(number >> 16), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(address, port).String()
}

func (population population) targets(service int) []target {
	targets := make([]target, population.targetsPerService)
	for number := range targets {
		machineNumber := service*population.targetsPerService + number + 1
		targets[number] = target{
			Name:    targetName(service, number),
			Zone:    population.zoneOf(number),
			Agent:   numberedAddress(networkAgents, machineNumber, portAgent),
			Backend: numberedAddress(networkAgents, machineNumber, portBackend),
		}
	}
	return targets
}

// spec returns the specification of a service that an operator would send.
func (population population) spec(service, queue int) (adminapi.ServiceSpec, error) {
	parameters := make(map[string]json.RawMessage)
	for name, value := range map[string]any{
		"address":        numberedAddress(networkVirtual, service+1, portVirtual),
		"targets":        population.targets(service),
		changedParameter: queue,
	} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return adminapi.ServiceSpec{}, fmt.Errorf("parameter %s: %w", name, err)
		}
		parameters[name] = encoded
	}
	return adminapi.ServiceSpec{Template: adminapi.TemplateRef{Name: templateName, Version: 1}, Parameters: parameters}, nil
}

func template() state.PutTemplate {
	return state.PutTemplate{Name: templateName, Spec: state.TemplateSpec{
		Protocol: state.ProtocolNameQUIC,
		Parameters: []state.ParameterDefinition{
			{Name: "address", Kind: state.KindAddress, Sets: state.PropertyAddress, Required: true},
			{Name: "targets", Kind: state.KindTargets, Sets: state.PropertyTargets, Required: true},
			{Name: changedParameter, Kind: state.KindInteger, Sets: state.PropertyMaximumQueue},
		},
		Classes: []state.ClassWeight{{Class: model.ClassCall, Weight: 2}, {Class: model.ClassUpload, Weight: 1}, {Class: model.ClassFeed, Weight: 1}},
		Rules: []state.RuleTemplate{
			{Method: "POST", PathPrefix: "/once", Class: model.ClassCall, AtMostOnce: true},
			{PathPrefix: "/call", Class: model.ClassCall},
			{Method: "POST", PathPrefix: "/upload", Class: model.ClassUpload},
			{Method: "GET", PathPrefix: "/feed", Class: model.ClassFeed},
		},
	}}
}

// snapshot returns a snapshot of a control group's state with the population, and the revision of
// its configuration.
func (population population) snapshot() ([]byte, model.Revision, error) {
	log := &commandLog{machine: state.NewMachine(), now: time.Now()}
	log.run(template())
	log.run(state.PutTenant{Name: tenantName, Spec: state.TenantSpec{
		MaximumServices: state.MaximumServices, MaximumTargets: state.MaximumTargets,
	}})
	for service := range population.services {
		command, err := population.put(service)
		if err != nil {
			return nil, 0, err
		}
		log.run(command)
	}
	if log.err != nil {
		return nil, 0, log.err
	}
	snapshot, err := log.machine.Snapshot()
	return snapshot, log.machine.Configuration().Revision, err
}

// put returns the command that creates or replaces a service.
func (population population) put(service int) (state.PutService, error) {
	spec, err := population.spec(service, model.DefaultMaximumQueue)
	if err != nil {
		return state.PutService{}, err
	}
	command := state.PutService{Tenant: tenantName, Name: serviceName(service), Template: model.TemplateReference{Name: templateName}}
	for name, value := range spec.Parameters {
		command.Parameters = append(command.Parameters, state.Parameter{Name: name, Value: value})
	}
	return command, nil
}

// commandLog applies commands to a state machine as the replicated log does. After the first error it
// ignores commands.
type commandLog struct {
	machine *state.Machine
	now     time.Time
	index   model.Revision
	err     error
}

func (log *commandLog) run(command state.Command) {
	if log.err != nil {
		return
	}
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		log.err = err
		return
	}
	log.index++
	result, err := state.DecodeResult(log.machine.Apply(log.index, log.now, encoded))
	if err == nil {
		err = result.Err()
	}
	log.err = err
}

// The snapshot has as many services and targets as the population describes.
func TestPopulation(t *testing.T) {
	population := population{services: 20, targetsPerService: 3, zones: []string{"a", "b"}}
	snapshot, revision, err := population.snapshot()
	require.NoError(t, err)
	machine := state.NewMachine()
	require.NoError(t, machine.Restore(snapshot))
	configuration := machine.Configuration()
	require.Equal(t, revision, configuration.Revision)
	require.Len(t, configuration.Services, 20)
	require.Len(t, configuration.Targets, 60)
	for _, target := range configuration.Targets {
		require.Contains(t, population.zones, string(target.Zone), target.Name)
	}
}
