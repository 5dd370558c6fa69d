package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The identifiers of the targets.
const (
	firstID    = 0x7f3a91c2
	strayID    = 0x51c04d11
	replacedID = 0x51c04d12
	foreignID  = 0x0badbea7
)

// lateHeartbeat: a target starts behind a cut and crashes before its first heartbeat has got
// through; a new incarnation starts at its address and serves flows; then the heartbeat arrives.
//
// The cut lasts 6.3 s. The sender's TCP sends the held bytes again 0.2, 0.6, 1.4, 3, 6.2 and 12.6 s
// after the first time, so that they arrive 6.3 s after the end of the cut.
func lateHeartbeat(s *scene) error {
	const hold = 12600 * time.Millisecond
	return s.playBesideFlows(func(nodes []string) error {
		first := nodes[0]
		if s.trouble {
			path, err := newSlowPath(s.record, "the cut way of target X1", nodes[0], s.fleet.at(240), hold)
			if err != nil {
				return err
			}
			first = path.address()
		}
		earlier, err := s.addTarget("X1", 200, strayID, feedService, []string{first}, true)
		if err != nil {
			return err
		}
		go earlier.register()
		time.Sleep(800 * time.Millisecond)
		earlier.stop()
		time.Sleep(1200 * time.Millisecond)
		_, err = s.addTarget("X2", 200, replacedID, feedService, []string{nodes[1], nodes[2], nodes[0]}, false)
		return err
	}, func([]string) error {
		time.Sleep(hold - 5*time.Second)
		return nil
	})
}

// foreignBeat: another writer sends a heartbeat that carries a service which no configuration
// names, with the address of a target that serves flows.
func foreignBeat(s *scene) error { return s.beatOfAnotherWriter(foreignID) }

// foreignBeatUnderID: the same under the identifier of the target, too.
func foreignBeatUnderID(s *scene) error { return s.beatOfAnotherWriter(replacedID) }

// beatOfAnotherWriter plays a heartbeat of another writer under the given identifier.
func (s *scene) beatOfAnotherWriter(id uint64) error {
	return s.playBesideFlows(func(nodes []string) error {
		_, err := s.addTarget("X2", 200, replacedID, feedService, nodes, false)
		return err
	}, func(nodes []string) error {
		time.Sleep(contactTime)
		if !s.trouble {
			return nil
		}
		address := s.targets[len(s.targets)-1].address
		body := fmt.Sprintf(`{"service":"nobody","address":%q,"zone":%q,"version":"v1","capacity":2,"state":"ready","cold-remaining-ms":0,"sequence":7,"born":%d}`,
			address, zones[0], time.Now().UnixMilli())
		writer := target{targetOptions: targetOptions{id: id}}
		s.record.note("another writer sends %s", body)
		status := writer.call(http.MethodPut, nodes[0], []byte(body))
		s.record.note("the other writer's heartbeat is answered with %d", status)
		return nil
	})
}

// playBesideFlows starts the fleet with three targets and the ones of prepare, opens long flows to
// all of them, makes the disruption, and goes on for some seconds.
func (s *scene) playBesideFlows(prepare, disrupt func(nodes []string) error) error {
	if err := s.begin(); err != nil {
		return err
	}
	nodes := s.fleet.seeds()
	for index := range 3 {
		if _, err := s.addTarget(fmt.Sprint("T", index+1), byte(201+index), firstID+uint64(index), feedService, nodes, false); err != nil {
			return err
		}
	}
	if err := prepare(nodes); err != nil {
		return err
	}
	// A target's own start is past before the flows begin to count.
	time.Sleep(2500 * time.Millisecond)
	c, err := newClients(s.record, s.router, zones[1], s.fleet.at(250))
	if err != nil {
		return err
	}
	s.checkResets(c)
	latest := s.targets[len(s.targets)-1]
	var opened atomic.Int32
	for index := range 24 {
		go s.keepFlow(c, index, &opened)
	}
	if err := await(8*time.Second, "flows to the latest target", func() bool { return opened.Load() >= 24 && latest.openFlows() > 0 }); err != nil {
		return err
	}
	s.record.note("%d flows are open, %d of them at %s", opened.Load(), latest.openFlows(), latest.name)
	if err := disrupt(nodes); err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	s.record.note("at the end %s holds %d flows", latest.name, latest.openFlows())
	s.fleet.noteLogs("target failed", "target registered", "target recovered")
	return nil
}

// openFlows returns the number of flows that the target holds open.
func (t *target) openFlows() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	count := 0
	for _, flow := range t.flows {
		if flow.opened && !flow.closed {
			count++
		}
	}
	return count
}

// keepFlow keeps a long flow open and sends a request on it every 300 ms. It opens another one
// after the flow was lost.
func (s *scene) keepFlow(c *clients, index int, opened *atomic.Int32) {
	for try := 0; !s.over(); try++ {
		flow, err := c.open(feedRoute)
		if err != nil {
			s.record.note("client %d: the flow does not open: %v", index, err)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		opened.Add(1)
		for number := 0; err == nil && !s.over(); number++ {
			id := fmt.Sprintf("c%d-%d-%d", index, try, number)
			if err = flow.request(http.MethodGet, id, 1500*time.Millisecond); err != nil {
				s.record.note("client %d: request %s on flow %s is not answered: %v; %s", index, id, flow.key.client, err, s.ran(id))
			}
			time.Sleep(300 * time.Millisecond)
			if flow.ended() {
				break
			}
		}
	}
}

// over reports whether the case has ended.
func (s *scene) over() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// lateFirstHeartbeat: all heartbeats of a target that has just started are held back by a cut; it
// says that it leaves, and that is acknowledged; then a heartbeat from before arrives.
//
// Each heartbeat arrives 6.2 s after it was sent, as the first one does whose sender's TCP tried in
// vain after 3 s; the later ones arrive later than TCP alone would explain.
func lateFirstHeartbeat(s *scene) error {
	const hold = 6200 * time.Millisecond
	if err := s.begin(); err != nil {
		return err
	}
	nodes := s.fleet.seeds()
	for index := range 3 {
		if _, err := s.addTarget(fmt.Sprint("T", index+1), byte(201+index), firstID+uint64(index), feedService, nodes, false); err != nil {
			return err
		}
	}
	ways := nodes
	if s.trouble {
		ways = nil
		for index, node := range nodes {
			path, err := newSlowPath(s.record, fmt.Sprintf("the cut way of target L to node %d", index), node, s.fleet.at(byte(240+index)), hold)
			if err != nil {
				return err
			}
			ways = append(ways, path.address())
		}
	}
	leaving, err := s.addTarget("L", 200, strayID, feedService, ways, true)
	if err != nil {
		return err
	}
	started := time.Now()
	for time.Since(started) < 3300*time.Millisecond {
		leaving.register()
	}
	time.Sleep(200 * time.Millisecond)
	if !leaving.remove(nodes[0]) {
		return fmt.Errorf("the notice to leave was not acknowledged")
	}
	acknowledgedAt := time.Now()
	c, err := newClients(s.record, s.router, zones[1], s.fleet.at(250))
	if err != nil {
		return err
	}
	leaving.lock.Lock()
	leaving.onOpening = func(key flowKey) {
		if late := time.Since(acknowledgedAt); late > drainTime {
			s.record.fault("DRAIN: the SYN of flow %s reaches target L %.3f s after the acknowledgement that it is gone", key.client, late.Seconds())
		}
	}
	leaving.lock.Unlock()
	var opened atomic.Int32
	for index := range 12 {
		go s.freshFlows(c, index, &opened)
	}
	// The target serves on for the bound and some seconds more, and ends.
	time.Sleep(drainTime + 7*time.Second)
	leaving.stop()
	s.record.note("%d flows were opened since the acknowledgement", opened.Load())
	s.fleet.noteLogs("target failed", "target registered", "target leaves")
	return nil
}

// freshFlows opens a flow for each request, ten times a second.
func (s *scene) freshFlows(c *clients, index int, opened *atomic.Int32) {
	for number := 0; !s.over(); number++ {
		flow, err := c.open(feedRoute)
		if err == nil {
			opened.Add(1)
			id := fmt.Sprintf("f%d-%d", index, number)
			if err = flow.request(http.MethodPost, id, 2*time.Second); err != nil {
				s.record.note("client %d: request %s on flow %s is not answered: %v; %s", index, id, flow.key.client, err, s.ran(id))
			}
			flow.close()
		} else {
			s.record.note("client %d: the flow does not open: %v", index, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
