// Package direct has what the programs of direct services share. Its parts are
// the packages below it; member and balancernode are the fx modules that compose
// them.
package direct

import (
	"net/netip"
	"strconv"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/settings"
)

// SeedMembers returns the names of the members to start from. A member's name
// is its control address, so that a name is enough to reach it.
func SeedMembers(chosen settings.Direct) []model.NodeName {
	names := make([]model.NodeName, 0, len(chosen.Seeds))
	for _, seed := range chosen.Seeds {
		names = append(names, memberName(seed, chosen.MemberPort))
	}
	return names
}

func memberName(seed string, port int) model.NodeName {
	address, err := netip.ParseAddrPort(seed)
	if err != nil || port == 0 {
		return model.NodeName(seed)
	}
	return model.NodeName(address.Addr().String() + ":" + strconv.Itoa(port))
}

// Peer returns the address book entry of a member.
func Peer(name model.NodeName) settings.Peer {
	return settings.Peer{Name: string(name), Address: string(name)}
}
