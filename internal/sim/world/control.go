package world

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/control"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
)

// groupAt is a member's consensus with a status as of the process's own clock.
type localTimeGroup struct {
	*replica.Controller
	member *member
}

// Status implements control.StatusReader.
func (group localTimeGroup) Status() replica.Status { return group.member.Status() }

// controlControllers returns the product's controllers of a control member,
// apart from consensus.
func (member *member) controlControllers(mailbox *protocol.Mailbox, dispatcher *protocol.Dispatcher) []board.Controller {
	member.control = control.NewMember(control.Dependencies{
		Mailbox:    mailbox,
		Dispatcher: dispatcher,
		Group:      localTimeGroup{Controller: member.controller, member: member},
		Machine:    member.machine,
		DeadAfter:  deadNodeTimeout,
		Machines:   member.world.machineList,
	})
	return member.control.Controllers()
}

const (
	// listReadInterval is how often the platform's list of machines changes.
	machineListInterval = 500 * time.Millisecond
	// machineListLag is how late it is.
	defaultMachineListLag = 3 * time.Second
)

// machineList is the platform's late list of live machines.
type machineList struct {
	world *World
	live  map[model.NodeName]bool
}

// ListedLive implements control.MachineList.
func (list *machineList) ListedLive(node model.NodeName) (live, known bool) {
	if list.live == nil {
		return false, false
	}
	return list.live[node], true
}

func (list *machineList) effectiveLag() time.Duration {
	if lag := list.world.options.MachineListLag; lag > 0 {
		return lag
	}
	return defaultMachineListLag
}

// start begins to follow the machines.
func (list *machineList) start() {
	list.world.run.Scheduler.Every(machineListInterval, func() bool {
		seen := make(map[model.NodeName]bool)
		for _, process := range list.world.host.Processes() {
			seen[process.Name] = process.Running()
		}
		list.world.run.Scheduler.After(list.effectiveLag(), func() { list.live = seen })
		return true
	})
}
