package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// coreWalk is no case of its own: it plays disruptions of the core in a random order, one at a time
// or several that overlap, with no more than one disk lost, with the time to catch up after each, and
// reads and changes the configuration all the while.
func coreWalk(s *scene) error {
	if err := s.begin(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, 1))
	s.record.note("seed %d", seed)
	steps := []func(*rand.Rand) error{s.walkWipe, s.walkReplace, s.walkPower, s.walkFreeze, s.walkKillAll, s.walkOverlap}
	for began := time.Now(); time.Since(began) < 95*time.Second && s.record.breaks() == 0; {
		if s.trouble {
			if err := steps[random.IntN(len(steps))](random); err != nil {
				return err
			}
		}
		s.operator.nodes = s.fleet.seeds()
		s.operator.timeoutMS = random.IntN(50)
		if err := s.operator.put(); err != nil {
			s.record.fault("CONFIG: %v", err)
			return nil
		}
		if err := s.readBack(recoveryTime + contactTime); err != nil {
			return err
		}
	}
	return nil
}

// any returns one of the members.
func (s *scene) any(random *rand.Rand) *machine {
	return s.fleet.members[random.IntN(len(s.fleet.members))]
}

// catchUp waits until nothing counts as lost any more.
func catchUp() { time.Sleep(catchUpTime + 300*time.Millisecond) }

func (s *scene) walkWipe(random *rand.Rand) error {
	m := s.any(random)
	s.record.note("step: %s loses its disk", m.address)
	if err := s.fleet.loseDisk(m); err != nil {
		return err
	}
	time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	if err := s.operator.put(); err != nil {
		return err
	}
	catchUp()
	return nil
}

func (s *scene) walkReplace(random *rand.Rand) error {
	old := s.any(random)
	successor := s.fleet.addMember(old.zone)
	s.record.note("step: %s is replaced by %s", old.address, successor.address)
	if err := s.fleet.writeSettings(successor); err != nil {
		return err
	}
	if err := s.fleet.launch(successor); err != nil {
		return err
	}
	catchUp()
	s.fleet.takeAway(old)
	if random.IntN(2) == 0 {
		old.terminate()
	} else {
		old.kill()
	}
	s.operator.nodes = s.fleet.seeds()
	// What case 1 shows is left out: the successor gets its vote first.
	catchUp()
	return nil
}

func (s *scene) walkPower(random *rand.Rand) error {
	m := s.any(random)
	s.record.note("step: %s is down for some seconds", m.address)
	m.kill()
	time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
	m.joins = true
	if err := s.fleet.writeSettings(m); err != nil {
		return err
	}
	if err := s.fleet.launch(m); err != nil {
		return err
	}
	catchUp()
	return nil
}

func (s *scene) walkFreeze(random *rand.Rand) error {
	m := s.any(random)
	s.record.note("step: %s is frozen for some seconds", m.address)
	if err := m.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	others := slices.DeleteFunc(s.fleet.seeds(), func(node string) bool { return node == fmt.Sprintf("%s:%d", m.address, apiPort) })
	s.operator.nodes = others
	err := s.operator.put()
	// A read that is sent as the machine wakes, and late enough, must not get an older version.
	time.Sleep(applyTime + time.Duration(random.IntN(3000))*time.Millisecond)
	frozenNode := fmt.Sprintf("%s:%d", m.address, apiPort)
	go func() {
		if version, status := readVersion(frozenNode); status == http.StatusOK && version < s.operator.version {
			s.record.fault("CONFIG: %s answers version %d, and %d was acknowledged", frozenNode, version, s.operator.version)
		}
	}()
	time.Sleep(200 * time.Millisecond)
	if signalErr := m.signal(syscall.SIGCONT); err == nil {
		err = signalErr
	}
	catchUp()
	return err
}

func (s *scene) walkKillAll(random *rand.Rand) error {
	s.record.note("step: every process of the core is killed")
	for _, m := range s.fleet.members {
		m.kill()
	}
	for _, m := range s.fleet.members {
		m.joins = true
		time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
		if err := s.fleet.writeSettings(m); err != nil {
			return err
		}
		if err := s.fleet.launch(m); err != nil {
			return err
		}
	}
	catchUp()
	return nil
}

// walkOverlap kills or freezes several members at once, and empties the disk of one of them at most.
func (s *scene) walkOverlap(random *rand.Rand) error {
	wiped := random.IntN(2 * len(s.fleet.members))
	ended := make(chan error, len(s.fleet.members))
	for index, m := range s.fleet.members {
		kind, start, length := random.IntN(3), random.IntN(400), random.IntN(5000)
		if index == wiped {
			kind = 3
		}
		s.record.note("step: %s, overlap of kind %d after %d ms for %d ms", m.address, kind, start, length)
		go func() {
			time.Sleep(time.Duration(start) * time.Millisecond)
			ended <- s.disturb(m, kind, time.Duration(length)*time.Millisecond)
		}()
	}
	for range s.fleet.members {
		if err := <-ended; err != nil {
			return err
		}
	}
	catchUp()
	return nil
}

// disturb leaves the member alone, kills or freezes it for the length, or makes it lose its disk.
func (s *scene) disturb(m *machine, kind int, length time.Duration) error {
	switch kind {
	case 0:
		return nil
	case 1:
		m.kill()
		time.Sleep(length)
		m.joins = true
		if err := s.fleet.writeSettings(m); err != nil {
			return err
		}
		return s.fleet.launch(m)
	case 2:
		if err := m.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(length)
		return m.signal(syscall.SIGCONT)
	default:
		return s.fleet.loseDisk(m)
	}
}
