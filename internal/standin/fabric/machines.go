package fabric

import (
	"net/netip"
	"sync/atomic"

	"merlinpaddle/internal/settings"
	"merlinpaddle/internal/standin/platform"
)

// balancerRole is the role of balancers in the platform's list.
const balancerRole = "balancer"

// nextHop is one live balancer.
type nextHop struct {
	address netip.AddrPort
	zone    string
}

// machineView is one version of the machine list. A published view is immutable.
type machineView struct {
	// nextHops are the live balancers, in order of name.
	nextHops []nextHop
	// zones has the zone of each machine by its address.
	zones map[netip.Addr]string
}

// Machines holds the latest machine list. Readers on the packet path load a pointer without a lock.
type Machines struct {
	current atomic.Pointer[machineView]
}

// NewMachines returns an empty list.
func NewMachines() *Machines {
	machines := &Machines{}
	machines.current.Store(&machineView{})
	return machines
}

// Replace installs a list and returns the number of live balancers. It skips machines whose address
// cannot be parsed.
func (machines *Machines) Replace(list []platform.Machine) int {
	view := &machineView{zones: make(map[netip.Addr]string, len(list))}
	for _, machine := range list {
		address, err := netip.ParseAddrPort(machine.Address)
		if err != nil {
			continue
		}
		view.zones[address.Addr()] = machine.Zone
		if machine.Role == balancerRole && machine.State == platform.StateLive {
			view.nextHops = append(view.nextHops, nextHop{address: address, zone: machine.Zone})
		}
	}
	machines.current.Store(view)
	return len(view.nextHops)
}

// Live returns the number of live balancers.
func (machines *Machines) Live() int { return len(machines.view().nextHops) }

func (machines *Machines) view() *machineView { return machines.current.Load() }

// machineList converts the fixed list of balancers in the settings into a machine list.
func machineList(balancers []settings.Peer) []platform.Machine {
	list := make([]platform.Machine, 0, len(balancers))
	for _, balancer := range balancers {
		list = append(list, platform.Machine{
			Name:    balancer.Name,
			Role:    balancerRole,
			Zone:    balancer.Zone,
			Address: balancer.Address,
			State:   platform.StateLive,
		})
	}
	return list
}
