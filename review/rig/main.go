// Command rig plays the script cases of the review: it starts the members and balancers of the
// deploy file as separate processes on loopback addresses, with stand-ins for targets, clients,
// routers and operators that follow the users' pages, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what every case needs.
type scene struct {
	record   *record
	fleet    *fleet
	router   *router
	operator *operator
	// trouble is false for a run without the disruption.
	trouble bool
	done    chan struct{}
	targets []*target
}

// cases are the cases by name.
var cases = map[string]func(*scene) error{
	"late-heartbeat": lateHeartbeat,
	"foreign-beat":   foreignBeat,
	"foreign-id":     foreignBeatUnderID,
	"late-first":     lateFirstHeartbeat,
	"new-route":      newRoute,
	"lost-disk":      lostDisk,
	"two-replaced":   twoReplaced,
	"planned-mix":    plannedMix,
	"core-walk":      coreWalk,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return exitNotRun
	}
	play, known := cases[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or root")
		return exitNotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fleet, err := newFleet(record, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fleet.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fleet.stop()
		os.Exit(exitNotRun)
	}()
	s := &scene{
		record: record, fleet: fleet, router: newRouter(fleet), trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{}),
		operator: &operator{record: record, nodes: fleet.seeds(), routes: map[netip.AddrPort]string{}},
	}
	record.note("the run begins, with the disruption: %t", s.trouble)
	err = play(s)
	close(s.done)
	for _, t := range s.targets {
		t.stop()
	}
	switch {
	case err != nil:
		record.end("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case record.breaks() > 0:
		record.end("the rule was broken %d times", record.breaks())
		return exitBroken
	}
	record.end("the rule held")
	return exitHeld
}

// feedRoute is the address of the service that the cases use.
var feedRoute = netip.MustParseAddrPort("198.18.0.1:8443")

const feedService = "dele69a"

// begin starts the fleet, declares the feed's route and waits until all balancers are in.
func (s *scene) begin() error {
	if err := s.fleet.start(); err != nil {
		return err
	}
	s.operator.routes[feedRoute] = feedService
	if err := s.operator.put(); err != nil {
		return err
	}
	go s.router.run(s.done)
	return await(20*time.Second, "all balancers are in", s.router.allIn)
}

// addTarget starts a target at the fleet's address that ends with the given byte and, unless quiet,
// its heartbeats.
func (s *scene) addTarget(name string, last byte, id uint64, service string, nodes []string, quiet bool) (*target, error) {
	t, err := startTarget(s.record, targetOptions{
		name: name, id: id, service: service, zone: zones[int(last)%len(zones)],
		address: netip.AddrPortFrom(s.fleet.at(last), targetPort), nodes: nodes, work: 15 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	s.targets = append(s.targets, t)
	if !quiet {
		go t.heartbeats()
	}
	return t, nil
}

// ownerOf returns the target that lives and holds the flow, or nil.
func (s *scene) ownerOf(key flowKey) *target {
	for _, t := range s.targets {
		if t.holds(key) {
			return t
		}
	}
	return nil
}

// hasRun reports whether some target has begun to work on the request.
func (s *scene) hasRun(id string) bool {
	for _, t := range s.targets {
		if t.hasRun(id) {
			return true
		}
	}
	return false
}

// ran tells in words whether the request has run.
func (s *scene) ran(id string) string {
	if s.hasRun(id) {
		return "it has run"
	}
	return "it has not run"
}

// checkResets makes every reset of an open flow that its target did not send a break of FLOW, if the
// target lives, holds the flow and started longer ago than the span that excuses a disruption, and the
// flow is neither too old nor rested too long. It is called with the flow's lock. That the machines are
// in touch, and that no route with flows is dropped, is up to the cases: they disturb none, or do
// planned work only.
func (s *scene) checkResets(c *clients) {
	c.onReset = func(flow *clientFlow) {
		owner := s.ownerOf(flow.key)
		excused := time.Since(flow.openedAt) > flowMaxS*time.Second || flow.rested > idleTimeout
		if owner != nil && !excused && time.Since(time.UnixMilli(owner.born)) > contactTime {
			s.record.fault("FLOW (a): flow %s gets a reset of the system's own, while its target %s lives and holds it", flow.key.client, owner.name)
		}
	}
}
