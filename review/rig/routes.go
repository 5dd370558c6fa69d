package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// newRoute: two operators change the configuration at once, and the later version adds a route,
// while a balancer in each of two zones is stopped or started as planned, so that the routers send
// most flows of these zones to another node. Clients use the new route as soon as a node has it.
func newRoute(s *scene) error {
	if err := s.begin(); err != nil {
		return err
	}
	nodes := s.fleet.seeds()
	for index := range 14 {
		if _, err := s.addTarget(fmt.Sprint("T", index+1), byte(201+index), firstID+uint64(index), feedService, nodes, false); err != nil {
			return err
		}
	}
	for _, t := range s.targets {
		t.work = 5 * time.Millisecond
		t.quiet = true
	}
	time.Sleep(2500 * time.Millisecond)
	users := &routeUsers{scene: s, clients: make(map[string]*clients)}
	inZone := make(map[string][]*machine)
	for index, zone := range zones {
		c, err := newClients(s.record, s.router, zone, s.fleet.at(byte(250+index)))
		if err != nil {
			return err
		}
		s.checkResets(c)
		users.clients[zone] = c
	}
	for _, m := range s.fleet.balancers {
		inZone[m.zone] = append(inZone[m.zone], m)
	}
	began := time.Now()
	for trial := 0; time.Since(began) < newRouteTime && s.record.breaks() < enoughBreaks; trial++ {
		rolled := make(map[string]*machine)
		for index, zone := range zones {
			if index != trial%len(zones) {
				rolled[zone] = inZone[zone][trial/len(zones)%len(inZone[zone])]
			}
		}
		if err := users.rollBeside(rolled, trial); err != nil {
			return err
		}
	}
	return nil
}

const (
	// newRouteTime is how long the balancers are rolled at most.
	newRouteTime = 90 * time.Second
	// enoughBreaks ends the case earlier.
	enoughBreaks = 5
)

// routeUsers are the clients of the new routes, by zone.
type routeUsers struct {
	scene   *scene
	clients map[string]*clients
}

// rollBeside stops and starts one balancer in each of two zones, given by zone. Each time that the routers move flows because of it, a
// new route comes into force.
func (u *routeUsers) rollBeside(rolled map[string]*machine, trial int) error {
	s := u.scene
	var stopping sync.WaitGroup
	if s.trouble {
		for _, m := range rolled {
			stopping.Go(m.terminate)
		}
		if err := await(5*time.Second, "a missed poll", func() bool { return s.router.missedAll(rolled) }); err != nil {
			return err
		}
	}
	if err := u.addRouteAt(rolled, s.router.nextPoll(), 2*trial); err != nil {
		return err
	}
	stopping.Wait()
	if s.trouble {
		for _, m := range rolled {
			if err := s.fleet.launch(m); err != nil {
				return err
			}
		}
		if err := await(5*time.Second, "the balancers are ready", func() bool { return allReady(rolled) }); err != nil {
			return err
		}
	}
	if err := u.addRouteAt(rolled, s.router.nextPoll(), 2*trial+1); err != nil {
		return err
	}
	return await(5*time.Second, "all balancers are in", s.router.allIn)
}

// allReady reports whether all of the balancers are ready.
func allReady(balancers map[string]*machine) bool {
	for _, m := range balancers {
		if !m.ready() {
			return false
		}
	}
	return true
}

// raceGap is the time between the changes of the two operators.
const raceGap = 8 * time.Millisecond

// addRouteAt adds a route some milliseconds before the given time, just after a change of another
// operator, and lets many clients of the two zones use it around that time.
func (u *routeUsers) addRouteAt(rolled map[string]*machine, at time.Time, number int) error {
	s := u.scene
	route := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(1 + number)}), 8443)
	lead := time.Duration(12+rand.IntN(34)) * time.Millisecond
	var opened, answered atomic.Int32
	go func() {
		time.Sleep(time.Until(at.Add(-70 * time.Millisecond)))
		for client := range 120 {
			for zone := range rolled {
				go u.use(u.clients[zone], route, fmt.Sprintf("n%d-%d-%s", number, client, zone), &opened, &answered)
			}
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(time.Until(at.Add(-lead - raceGap)))
	if err := s.operator.putRace(route, raceGap); err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(400 * time.Millisecond)))
	s.record.note("route %s: %d flows opened, %d requests answered", route, opened.Load(), answered.Load())
	return nil
}

// use opens one flow on the route and, if that succeeds, sends requests on it with short pauses.
func (u *routeUsers) use(c *clients, route netip.AddrPort, name string, opened, answered *atomic.Int32) {
	flow, err := c.open(route)
	if err != nil {
		return
	}
	opened.Add(1)
	sent, run := 0, 0
	for ; sent < requestsOfFlow && err == nil; sent++ {
		id := fmt.Sprintf("%s-%d", name, sent)
		if err = flow.request(http.MethodPost, id, 2*time.Second); err == nil {
			answered.Add(1)
		} else {
			u.scene.record.note("request %s on flow %s of route %s is not answered: %v; %s", id, flow.key.client, route, err, u.scene.ran(id))
		}
		if u.scene.hasRun(id) {
			run++
		}
		time.Sleep(2 * time.Millisecond)
	}
	u.scene.record.note("flow %s of route %s: %d requests sent, %d run, the last one ends with %v", flow.key.client, route, sent, run, err)
	if err == nil {
		flow.close()
	}
}

// requestsOfFlow is the number of requests that a client sends on one flow.
const requestsOfFlow = 10
