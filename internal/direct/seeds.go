// Package direct has what the programs of direct services share. The rest is in the packages below
// it; member and balancernode are the fx modules that compose them.
package direct

import (
	"net/netip"
	"strconv"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/settings"
)

// SeedMembers returns the names of the members to connect to first, from the settings. A member's
// name is its control address, so the name is enough to reach it.
func SeedMembers(chosen settings.Direct) []model.NodeName {
	names := make([]model.NodeName, 0, len(chosen.Seeds))
	for _, seed := range chosen.Seeds {
		names = append(names, memberName(seed, chosen.MemberPort))
	}
	return names
}

// memberName returns the name of the member behind a seed, with the member port if one is set. A
// seed that is not an address and port is used as it is.
func memberName(seed string, port int) model.NodeName {
	address, err := netip.ParseAddrPort(seed)
	if err != nil || port == 0 {
		return model.NodeName(seed)
	}
	return model.NodeName(address.Addr().String() + ":" + strconv.Itoa(port))
}

// Peer returns the address book entry of a node whose name is its control address.
func Peer(name model.NodeName) settings.Peer {
	return settings.Peer{Name: string(name), Address: string(name)}
}
