package fleet

import (
	"fmt"
	"net/netip"
)

// Role is the role of a process, which is the subcommand of merlinpaddle that runs it.
type Role string

// The roles of a fleet's processes.
const (
	RolePlatform Role = "platform"
	RoleControl  Role = "control"
	RoleRelay    Role = "relay"
	RoleFabric   Role = "fabric"
	RoleBackend  Role = "backend"
	RoleAgent    Role = "agent"
	RoleBalancer Role = "balancer"
	RoleCaller   Role = "caller"
)

// Third octets of the machines' addresses, by kind of machine. Targets of the n-th service, counted
// from 0, have subnetTargets + n.
const (
	subnetControl  = 1
	subnetRelay    = 2
	subnetBalancer = 3
	subnetFabric   = 4
	subnetPlatform = 5
	subnetCaller   = 6
	subnetVirtual  = 7
	subnetTargets  = 20
)

// Ports are the same on every machine. The back end's status port differs from portStatus because
// a back end shares its machine with its agent.
const (
	portListen        = 7000
	portStatus        = 7001
	portBackendStatus = 7002
	// Ports of the second agent of a machine, which an upgrade starts.
	portUpgradeStatus = 7004
	portUpgradeGeneve = 6082
	portAPI           = 7443
	portGeneve        = 6081
	portFabricControl = 7003
	portBackend       = 8080
	portPlatform      = 8081
	portVirtual       = 4433
)

// Process is one process of the fleet.
type Process struct {
	Name string
	Role Role
	Zone string
	// Machine is the loopback address of its machine.
	Machine netip.Addr
	// Status is the address on which it serves health, readiness and metrics.
	Status netip.AddrPort
	// Data is the address that the platform lists. On it, balancers and agents receive Geneve packets.
	Data netip.AddrPort
	// Standby is true for processes that do not start with the fleet.
	Standby bool
	// Service is the service of a back end, agent or caller.
	Service string
	// Backend is the name of the back end that an agent forwards to.
	Backend string
}

// Layout lists the processes of a fleet with their addresses.
type Layout struct {
	file      File
	Processes []Process
}

// NewLayout returns the processes of a fleet in the order in which they start.
func NewLayout(file File) *Layout {
	layout := &Layout{file: file}
	layout.add(RolePlatform, "platform", 0, subnetPlatform, 1, portPlatform)
	layout.addControl()
	layout.addRelays()
	layout.add(RoleFabric, "fabric", 0, subnetFabric, 1, portGeneve)
	for index, service := range file.Services {
		layout.addTargets(index, service)
	}
	layout.addBalancers()
	layout.addCallers()
	return layout
}

// address returns the address of the number-th machine of a subnet.
func (layout *Layout) address(subnet, number int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d.%d", layout.file.Network, subnet, number))
}

// add appends a process and returns a pointer for changes, valid until the next call.
func (layout *Layout) add(role Role, name string, zone, subnet, number int, dataPort uint16) *Process {
	machine := layout.address(subnet, number)
	layout.Processes = append(layout.Processes, Process{
		Name:    name,
		Role:    role,
		Zone:    layout.file.Zones[zone%len(layout.file.Zones)],
		Machine: machine,
		Status:  netip.AddrPortFrom(machine, portStatus),
		Data:    netip.AddrPortFrom(machine, dataPort),
	})
	return &layout.Processes[len(layout.Processes)-1]
}

func (layout *Layout) addControl() {
	for member := range layout.file.ControlMembers {
		layout.add(RoleControl, fmt.Sprintf("control-%d", member+1), member, subnetControl, member+1, portListen)
	}
}

func (layout *Layout) addRelays() {
	number := 0
	for zone := range layout.file.Zones {
		for range layout.file.RelaysPerZone {
			number++
			layout.add(RoleRelay, fmt.Sprintf("relay-%d", number), zone, subnetRelay, number, portListen)
		}
	}
}

func (layout *Layout) addBalancers() {
	started := len(layout.file.Zones) * layout.file.BalancersPerZone
	for number := 1; number <= started+layout.file.StandbyBalancers; number++ {
		name := fmt.Sprintf("balancer-%d", number)
		process := layout.add(RoleBalancer, name, number-1, subnetBalancer, number, portGeneve)
		process.Standby = number > started
	}
}

// UpgradeName returns the name of the agent that replaces a target's agent in an upgrade.
func UpgradeName(target string) string { return target + "-upgrade" }

// addTargets adds the back end and the agent of each target, both on one machine. The agent has the
// target's name.
func (layout *Layout) addTargets(index int, service Service) {
	subnet := subnetTargets + index
	for number := 1; number <= service.Targets+service.StandbyTargets; number++ {
		name := fmt.Sprintf("%s-%d", service.Name, number)
		backend := layout.add(RoleBackend, BackendPrefix+name, number-1, subnet, number, portBackend)
		backend.Status = netip.AddrPortFrom(backend.Machine, portBackendStatus)
		backend.Service = service.Name
		backend.Standby = number > service.Targets
		agent := layout.add(RoleAgent, name, number-1, subnet, number, portGeneve)
		agent.Service = service.Name
		agent.Backend = BackendPrefix + name
		agent.Standby = number > service.Targets
		if number <= service.UpgradeTargets {
			layout.addUpgrade(*agent, number-1, subnet, number)
		}
	}
}

// addUpgrade adds a second agent on the machine of the first, with the same back end.
func (layout *Layout) addUpgrade(first Process, zone, subnet, number int) {
	second := layout.add(RoleAgent, UpgradeName(first.Name), zone, subnet, number, portUpgradeGeneve)
	second.Status = netip.AddrPortFrom(second.Machine, portUpgradeStatus)
	second.Service = first.Service
	second.Backend = first.Backend
	second.Standby = true
}

func (layout *Layout) addCallers() {
	for index, service := range layout.file.Services {
		process := layout.add(RoleCaller, "caller-"+service.Name, index, subnetCaller, index+1, portListen)
		process.Service = service.Name
		process.Standby = true
	}
}

// VirtualAddress returns the address that callers of the index-th service connect to.
func (layout *Layout) VirtualAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(layout.address(subnetVirtual, index+1), portVirtual)
}

// WithRole returns the processes that have a role.
func (layout *Layout) WithRole(role Role) []Process {
	var found []Process
	for _, process := range layout.Processes {
		if process.Role == role {
			found = append(found, process)
		}
	}
	return found
}

// APIEndpoints returns the base URLs of the administration API, one for each control member.
func (layout *Layout) APIEndpoints() []string {
	var endpoints []string
	for _, process := range layout.WithRole(RoleControl) {
		endpoints = append(endpoints, fmt.Sprintf("https://%s", netip.AddrPortFrom(process.Machine, portAPI)))
	}
	return endpoints
}

// LoadOf returns the load of a service, which is zero when the fleet has no such service.
func (layout *Layout) LoadOf(service string) Load {
	for _, candidate := range layout.file.Services {
		if candidate.Name == service {
			return candidate.Load
		}
	}
	return Load{}
}
