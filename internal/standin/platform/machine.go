// Package platform stands in for the platform's machine list. It is an HTTP server that lists live
// and leaving machines, with a delay that simulates a lagging list.
//
// The fabric and control read the list; the test harness registers machines with it.
package platform

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// State is the lifecycle state of a machine.
type State string

// The states of a machine.
const (
	// StateLive is the state of a machine in service.
	StateLive State = "live"
	// StateLeaving is the state of a machine that is about to be removed.
	StateLeaving State = "leaving"
)

// Machine is one entry of the list.
type Machine struct {
	Name string `json:"name"`
	// Role is the role of the process that the machine runs.
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Address is the machine's IP address and port for data traffic; for balancers, the UDP address
	// that receives Geneve packets.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// maximumNameLength bounds names, in bytes.
const maximumNameLength = 64

// knownRoles are the roles a machine may have.
var knownRoles = []string{"control", "relay", "balancer", "agent", "backend", "fabric", "caller"}

// Validate returns an error that names each invalid field, or nil.
func (machine Machine) Validate() error {
	return errors.Join(
		machine.validateName(),
		machine.validateRole(),
		machine.validateAddress(),
		machine.validateState(),
	)
}

func (machine Machine) validateName() error {
	if machine.Name == "" || len(machine.Name) > maximumNameLength {
		return fmt.Errorf("name %q: must have 1 to %d bytes", machine.Name, maximumNameLength)
	}
	return nil
}

func (machine Machine) validateRole() error {
	if !slices.Contains(knownRoles, machine.Role) {
		return fmt.Errorf("role %q: must be one of %v", machine.Role, knownRoles)
	}
	return nil
}

func (machine Machine) validateAddress() error {
	if _, err := netip.ParseAddrPort(machine.Address); err != nil {
		return fmt.Errorf("address %q: must be an IP address with a port", machine.Address)
	}
	return nil
}

func (machine Machine) validateState() error {
	if machine.State != StateLive && machine.State != StateLeaving {
		return fmt.Errorf("state %q: must be %q or %q", machine.State, StateLive, StateLeaving)
	}
	return nil
}
