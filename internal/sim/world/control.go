package world

import (
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/control"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/replica"
)

// localTimeGroup is a member's consensus controller whose status is as of the process's own clock.
type localTimeGroup struct {
	*replica.Controller
	member *member
}

// Status returns the status of the member's consensus as of the clock of its process.
func (group localTimeGroup) Status() replica.Status { return group.member.Status() }

// controlControllers returns the product's controllers of a control member, apart from consensus.
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
	// machineListInterval is how often the platform's list of machines is refreshed.
	machineListInterval = 500 * time.Millisecond
	// defaultMachineListLag is the time after which a refreshed list becomes visible.
	defaultMachineListLag = 3 * time.Second
)

// machineList simulates the platform's list of live machines, which lags behind their real state.
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

// effectiveLag returns the lag that the options set, or the default.
func (list *machineList) effectiveLag() time.Duration {
	if lag := list.world.options.MachineListLag; lag > 0 {
		return lag
	}
	return defaultMachineListLag
}

// start begins to refresh the list.
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
