package experiment

import (
	"errors"
	"fmt"
	"net"
)

// freeNetwork is the value of FleetChanges.Network that requests a network that
// no other run uses.
const freeNetwork = "free"

// The range of networks that runs pick from, as the second octet of 127.x, and
// the last two octets and port of the listener that marks a network as taken.
const (
	firstFreeNetwork  = 100
	lastFreeNetwork   = 199
	reservationPort   = 7999
	reservationSuffix = "255.1"
)

// reservation reserves a network for one run by an open listener. The kernel
// closes the listener also when the run is killed.
type reservation struct {
	network  string
	listener net.Listener
}

// reserveNetwork reserves the first network that no other run has reserved.
func reserveNetwork() (*reservation, error) {
	var all []error
	for number := firstFreeNetwork; number <= lastFreeNetwork; number++ {
		network := fmt.Sprintf("127.%d", number)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%s:%d", network, reservationSuffix, reservationPort))
		if err == nil {
			return &reservation{network: network, listener: listener}, nil
		}
		all = append(all, err)
	}
	return nil, fmt.Errorf("no free network of loopback addresses: %w", errors.Join(all...))
}

func (reserved *reservation) release() { _ = reserved.listener.Close() }
