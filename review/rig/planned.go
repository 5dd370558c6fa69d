package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// plannedMix is no case of its own: it plays planned work of all kinds at once beside long flows, to
// look for broken flows and for flows to targets that drain. Routes with traffic stay as they are.
func plannedMix(s *scene) error {
	if err := s.begin(); err != nil {
		return err
	}
	release := &release{scene: s, next: 160}
	for range 8 {
		if err := release.startOne(); err != nil {
			return err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	var opened atomic.Int32
	for index, zone := range zones {
		c, err := newClients(s.record, s.router, zone, s.fleet.at(byte(250+index)))
		if err != nil {
			return err
		}
		s.checkResets(c)
		for client := range 20 {
			go s.keepFlow(c, 100*index+client, &opened)
			go s.freshFlows(c, 100*index+50+client%5, &opened)
		}
	}
	if s.trouble {
		go s.rollBalancers()
		go s.rollMembers()
		go release.run()
		go s.changeIdleRoutes()
	}
	time.Sleep(90 * time.Second)
	s.record.note("%d flows were opened", opened.Load())
	return nil
}

// rollBalancers stops and starts the balancers in turn.
func (s *scene) rollBalancers() {
	for turn := 0; !s.over(); turn++ {
		m := s.fleet.balancers[turn*3%len(s.fleet.balancers)]
		m.terminate()
		if s.over() || s.fleet.launch(m) != nil {
			return
		}
		_ = await(8*time.Second, "the balancer is in", s.router.allIn)
		_ = m.signal(syscall.SIGHUP)
	}
}

// rollMembers stops and starts the members in turn.
func (s *scene) rollMembers() {
	for turn := 0; !s.over(); turn++ {
		time.Sleep(6 * time.Second)
		m := s.fleet.members[turn%len(s.fleet.members)]
		m.joins = true
		if s.fleet.writeSettings(m) != nil {
			return
		}
		m.terminate()
		if s.over() || s.fleet.launch(m) != nil {
			return
		}
		s.record.note("core machine %s was stopped and started", m.address)
	}
}

// changeIdleRoutes adds and removes a route without traffic, and alters time-outs.
func (s *scene) changeIdleRoutes() {
	for turn := 0; !s.over(); turn++ {
		idle := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 2, byte(1 + turn%5)}), 443)
		if _, present := s.operator.routes[idle]; present {
			delete(s.operator.routes, idle)
		} else {
			s.operator.routes[idle] = feedService
		}
		s.operator.timeoutMS = turn % 50
		if err := s.operator.put(); err != nil {
			s.record.note("%v", err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// release replaces targets one after the other: the new one starts first, and the old one drains,
// serves on for a while, and ends.
type release struct {
	scene *scene
	next  byte
	live  []*target
}

func (r *release) startOne() error {
	r.next++
	t, err := r.scene.addTarget(fmt.Sprint("R", r.next), r.next, firstID+uint64(r.next), feedService, r.scene.fleet.seeds(), false)
	if err == nil {
		r.live = append(r.live, t)
	}
	return err
}

func (r *release) run() {
	for r.next < 235 && !r.scene.over() {
		if r.startOne() != nil {
			return
		}
		time.Sleep(1200 * time.Millisecond)
		old := r.live[0]
		r.live = r.live[1:]
		go r.scene.retire(old)
		time.Sleep(300 * time.Millisecond)
	}
}

// retire drains a target: it says so until that is acknowledged, serves on, sends DELETE and ends.
func (s *scene) retire(t *target) {
	t.lock.Lock()
	t.state = "draining"
	t.lock.Unlock()
	for !t.register() {
		time.Sleep(retryPause)
	}
	acknowledgedAt := time.Now()
	t.lock.Lock()
	t.onOpening = func(key flowKey) {
		if late := time.Since(acknowledgedAt); late > drainTime {
			s.record.fault("DRAIN: the SYN of flow %s reaches target %s %.3f s after the acknowledgement that it drains", key.client, t.name, late.Seconds())
		}
	}
	t.closing = true
	t.lock.Unlock()
	time.Sleep(drainTime + 3*time.Second)
	for _, node := range s.fleet.seeds() {
		if t.call(http.MethodDelete, node, nil) == http.StatusOK {
			break
		}
	}
	t.stop()
}

// signal sends the process a signal.
func (m *machine) signal(signal syscall.Signal) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.command.Process.Signal(signal)
}
