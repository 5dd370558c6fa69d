package main

import (
	"net"
	"sync"
)

// proxy passes on connections to a member's port for other nodes.
type proxy struct {
	listener net.Listener
	to       string

	lock sync.Mutex
	open []*passedOn
}

// passedOn is one connection that a proxy passes on.
type passedOn struct {
	lock   sync.Mutex
	silent bool
}

func (passed *passedOn) isSilent() bool {
	passed.lock.Lock()
	defer passed.lock.Unlock()
	return passed.silent
}

// addProxy puts a proxy in front of a member that has not been started yet.
func (fleet *fleet) addProxy(member *machine) error {
	listener, err := net.Listen("tcp4", member.at(internalFirst))
	if err != nil {
		return err
	}
	member.listenPort = proxiedPort
	added := &proxy{listener: listener, to: member.at(proxiedPort)}
	fleet.proxies = append(fleet.proxies, added)
	go added.serve()
	return nil
}

func (proxy *proxy) serve() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", proxy.to)
		if err != nil {
			reset(client)
			continue
		}
		passed := &passedOn{}
		proxy.lock.Lock()
		proxy.open = append(proxy.open, passed)
		proxy.lock.Unlock()
		go passed.copy(client, server)
		go passed.copy(server, client)
	}
}

// reset closes a connection with a reset, as a port does on which nobody listens.
func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// copy passes on one direction. What comes once the connection is silent is lost, and neither end
// learns of it or of the end of the other.
func (passed *passedOn) copy(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if passed.isSilent() {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes all open connections go silent for good. New ones work.
func (fleet *fleet) silence() int {
	count := 0
	for _, proxy := range fleet.proxies {
		proxy.lock.Lock()
		for _, passed := range proxy.open {
			passed.lock.Lock()
			passed.silent = true
			passed.lock.Unlock()
		}
		count += len(proxy.open)
		proxy.open = nil
		proxy.lock.Unlock()
	}
	return count
}
