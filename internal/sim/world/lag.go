package world

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
	"merlinpaddle/internal/sim/kernel"
)

// delayMessage returns a random delay for each update to a balancer or an agent, so that nodes run
// different revisions. Other messages are not delayed.
func (world *World) delayMessage(envelope messageEnvelope) time.Duration {
	_, isUpdate := envelope.Message.(protocol.PackedUpdate)
	if !isUpdate || world.options.UpdateDelay == 0 || world.isRelay(envelope.To) {
		return 0
	}
	return world.updateDelays.Between(0, world.options.UpdateDelay)
}

func (world *World) isRelay(name model.NodeName) bool {
	for _, relay := range world.relays {
		if relay.process.Name == name {
			return true
		}
	}
	return false
}

// reportLag replaces the loads and empty buckets in a heartbeat by those that the node reported age
// ago. The node's liveness and the revision that it runs stay current.
type reportLag struct {
	scheduler *kernel.Scheduler
	age       time.Duration
	history   map[model.NodeName][]reportedAt
}

// reportedAt is what a node reported at one time.
type reportedAt struct {
	at          time.Time
	incarnation model.Incarnation
	load        *model.TargetLoad
	empty       []model.BucketEmpty
}

func newReportLag(scheduler *kernel.Scheduler, lag time.Duration) *reportLag {
	return &reportLag{scheduler: scheduler, age: lag, history: make(map[model.NodeName][]reportedAt)}
}

// delayReport returns a heartbeat with the node's latest report that is at least age old, or without a
// report if that one is of another incarnation or does not exist. It returns other messages unchanged,
// and every message if age is zero.
func (lag *reportLag) delayReport(envelope messageEnvelope) messageEnvelope {
	heartbeat, isHeartbeat := envelope.Message.(protocol.Heartbeat)
	if !isHeartbeat || lag.age == 0 {
		return envelope
	}
	now := lag.scheduler.Now()
	history := append(lag.history[envelope.From], reportedAt{
		at: now, incarnation: heartbeat.Incarnation, load: heartbeat.Load, empty: heartbeat.Empty,
	})
	for len(history) > 1 && !history[1].at.After(now.Add(-lag.age)) {
		history = history[1:]
	}
	lag.history[envelope.From] = history
	heartbeat.Load = nil
	heartbeat.Empty = nil
	oldest := history[0]
	if oldest.incarnation == heartbeat.Incarnation && !oldest.at.After(now.Add(-lag.age)) {
		heartbeat.Load = oldest.load
		heartbeat.Empty = oldest.empty
	}
	envelope.Message = heartbeat
	return envelope
}
