package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"
)

// The bounds of the site file that the case uses.
const (
	catchUpTime  = 4 * time.Second
	applyTime    = 3 * time.Second
	recoveryTime = 12 * time.Second
)

// lostDisk: a machine of the core is replaced as planned: the new one first, with an empty disk at
// another address, and SIGTERM to the old one once the new one has had its time to catch up. Then a
// configuration is acknowledged, and the machine that acknowledged it loses its disk.
func lostDisk(s *scene) error {
	if err := s.replaceAsPlanned(s.firstMembers(1)); err != nil {
		return err
	}
	time.Sleep(lossDelay())
	if err := s.changeConfiguration(); err != nil {
		return err
	}
	if s.trouble {
		// The operator calls the nodes in turn, and the first one has acknowledged.
		if err := s.fleet.loseDisk(s.fleet.members[0]); err != nil {
			return err
		}
		s.record.note("core machine %s has lost its disk and starts again", s.fleet.members[0].address)
	}
	return s.readBack(recoveryTime + 7*contactTime)
}

// twoReplaced: two machines of the core are replaced as planned at the same time. Nothing else
// happens.
func twoReplaced(s *scene) error {
	count := 1
	if s.trouble {
		count = 2
	}
	if err := s.replaceAsPlanned(s.firstMembers(count)); err != nil {
		return err
	}
	return s.readBack(recoveryTime + 7*contactTime)
}

// firstMembers begins the scene with three targets, and returns the last count of the members.
func (s *scene) firstMembers(count int) ([]*machine, error) {
	if err := s.begin(); err != nil {
		return nil, err
	}
	for index := range 3 {
		if _, err := s.addTarget(fmt.Sprint("T", index+1), byte(201+index), firstID+uint64(index), feedService, s.fleet.seeds(), false); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime)
	return slices.Clone(s.fleet.members[len(s.fleet.members)-count:]), nil
}

// replaceAsPlanned starts a successor of each of the old machines, waits until they have had their
// time to catch up, and stops the old ones for good, without SIGTERM if TAKEN is "kill".
func (s *scene) replaceAsPlanned(old []*machine, err error) error {
	if err != nil {
		return err
	}
	startedAt := time.Now()
	for _, m := range old {
		successor := s.fleet.addMember(m.zone)
		if err := s.fleet.writeSettings(successor); err != nil {
			return err
		}
		if err := s.fleet.launch(successor); err != nil {
			return err
		}
		s.record.note("the successor %s of core machine %s starts with an empty disk", successor.address, m.address)
	}
	for _, successor := range s.fleet.members[len(zones):] {
		node := netip.AddrPortFrom(successor.address, apiPort).String()
		if err := await(catchUpTime, "a successor answers reads", func() bool {
			version, _ := readVersion(node)
			return version == s.operator.version
		}); err != nil {
			return err
		}
		s.record.note("the successor %s answers reads with version %d, %.3f s after its start", successor.address, s.operator.version, time.Since(startedAt).Seconds())
	}
	time.Sleep(time.Until(startedAt.Add(catchUpTime + 500*time.Millisecond)))
	for _, m := range old {
		s.fleet.takeAway(m)
		if os.Getenv("TAKEN") == "kill" {
			m.kill()
			s.record.note("core machine %s is gone for good without SIGTERM, %.3f s after its successor's start", m.address, time.Since(startedAt).Seconds())
			continue
		}
		m.terminate()
		s.record.note("core machine %s has got SIGTERM, has ended, and is gone for good, %.3f s after its successor's start", m.address, time.Since(startedAt).Seconds())
	}
	s.operator.nodes = s.fleet.seeds()
	for _, t := range s.targets {
		t.callAt(s.fleet.seeds())
	}
	return nil
}

// changeConfiguration sends a version with one more route and waits for its acknowledgement.
func (s *scene) changeConfiguration() error {
	s.operator.routes[netip.MustParseAddrPort("198.18.0.2:8443")] = feedService
	return s.operator.put()
}

// lossDelay returns how long after the end of the old machine the configuration is sent and the disk
// is lost: LOSS_AFTER seconds, zero by default.
func lossDelay() time.Duration {
	seconds, _ := strconv.Atoi(os.Getenv("LOSS_AFTER"))
	return time.Duration(seconds) * time.Second
}

// readBack reads the configuration from all nodes until one answers with it, or the limit is over,
// which breaks CONFIG. An older version breaks it only in the answer to a read that was sent later than
// the time in which a version has to be in force.
func (s *scene) readBack(limit time.Duration) error {
	began := time.Now()
	for time.Since(began) < limit {
		for _, node := range s.fleet.seeds() {
			sentAfter := time.Since(began)
			version, status := readVersion(node)
			switch {
			case status == http.StatusOK && version < s.operator.version && sentAfter <= applyTime:
				s.record.note("%s answers version %d, which it still may", node, version)
				continue
			case status == http.StatusOK && version < s.operator.version:
				s.record.fault("CONFIG: %s answers version %d, and %d was acknowledged", node, version, s.operator.version)
				return nil
			case status == http.StatusOK:
				s.record.note("%s answers the newest version %d, %.3f s after the acknowledgement", node, version, time.Since(began).Seconds())
				return nil
			}
			s.record.note("the read at %s is answered with %d", node, status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.record.fault("CONFIG: for %s after the machines were back, the configuration read back does not come", limit)
	s.fleet.noteLogs("membership change", "process ends")
	return nil
}
