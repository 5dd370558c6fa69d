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
// and within the limits, with the time to catch up after each, and reads and changes the
// configuration all the while.
func coreWalk(s *scene) error {
	if err := s.begin(); err != nil {
		return err
	}
	time.Sleep(contactTime)
	seed := uint64(time.Now().UnixNano())
	random := rand.New(rand.NewPCG(seed, 1))
	s.record.note("seed %d", seed)
	steps := []func(*rand.Rand) error{s.walkWipe, s.walkReplace, s.walkPower, s.walkFreeze, s.walkKillAll}
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
	time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
	// A read that is sent as the machine wakes must not get an older version.
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
