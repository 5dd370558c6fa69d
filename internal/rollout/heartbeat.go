package rollout

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// sendHeartbeat sends a heartbeat when the interval has passed, or earlier when the node runs a new
// revision, because control waits for that.
func (subscriber *Subscriber) sendHeartbeat(now time.Time) {
	applied := subscriber.store.Current().Revision
	due := !now.Before(subscriber.nextHeartbeat)
	early := applied != subscriber.lastApplied && now.Sub(subscriber.lastSent) >= earliestHeartbeat
	if subscriber.leaving || (!due && !early) {
		return
	}
	subscriber.nextHeartbeat = now.Add(subscriber.options.HeartbeatInterval)
	if early {
		subscriber.nextHeartbeat = now.Add(subscriber.delayAfterEarlyHeartbeat())
	}
	subscriber.lastSent = now
	subscriber.lastApplied = applied
	subscriber.mailbox.Send(subscriber.selector.current(), subscriber.heartbeat(now))
}

// delayAfterEarlyHeartbeat returns the time to the heartbeat that follows an early one. All nodes
// send early heartbeats at about the same time. The delay is between 0.25 and 1.25 intervals,
// depending on the node, so that the next heartbeats are spread out.
func (subscriber *Subscriber) delayAfterEarlyHeartbeat() time.Duration {
	interval := subscriber.options.HeartbeatInterval
	return interval/4 + time.Duration(subscriber.jitter*float64(interval))
}

// heartbeat returns the next heartbeat, and records now as the time at which it is sent.
func (subscriber *Subscriber) heartbeat(now time.Time) protocol.Heartbeat {
	subscriber.sequence++
	subscriber.heartbeatSentAt[subscriber.sequence] = now
	running := subscriber.store.Current()
	heartbeat := protocol.Heartbeat{
		Role:        subscriber.options.Role,
		Zone:        subscriber.options.Zone,
		Incarnation: subscriber.options.Incarnation,
		Applied:     running.Revision,
		Digest:      subscriber.runningDigest(now, running),
		Received:    subscriber.receiver.Current().Revision,
		Sequence:    subscriber.sequence,
		Leaving:     subscriber.leaving,
	}
	if subscriber.reporter != nil {
		heartbeat.Load = subscriber.reporter.Load()
		heartbeat.Empty = awaitedEmptyReports(running, subscriber.reporter.EmptyBuckets(running.Revision))
	}
	return heartbeat
}

// runningDigest returns the digest of the running configuration. Once per recomputeInterval it
// computes the digest from every row, because the sum that the configuration keeps does not show rows
// that were corrupted in memory.
func (subscriber *Subscriber) runningDigest(now time.Time, running *model.Configuration) uint64 {
	if now.Sub(subscriber.digestRecomputedAt) < recomputeInterval {
		return running.Digest()
	}
	subscriber.digestRecomputedAt = now
	return recomputedDigest(running)
}

// Leave releases the node's lease and sends the last heartbeat of a planned stop, which says that
// the node is leaving. The subscriber sends nothing after it.
func (subscriber *Subscriber) Leave(now time.Time) {
	if subscriber.leaving || len(subscriber.options.Relays) == 0 {
		return
	}
	subscriber.leaving = true
	subscriber.lease.Release()
	subscriber.mailbox.Send(subscriber.selector.current(), subscriber.heartbeat(now))
}

// maximumEmptyReports bounds the empty buckets in one heartbeat. The others follow in later
// heartbeats, once the configuration no longer waits for the first ones.
const maximumEmptyReports = 128

// awaitedEmptyReports returns the reports that the configuration waits for, at most
// maximumEmptyReports.
func awaitedEmptyReports(running *model.Configuration, reports []model.BucketEmpty) []model.BucketEmpty {
	var awaited []model.BucketEmpty
	for _, report := range reports {
		if len(awaited) == maximumEmptyReports {
			break
		}
		if AwaitsEmptyReport(running, report) {
			awaited = append(awaited, report)
		}
	}
	return awaited
}

// AwaitsEmptyReport reports whether the configuration waits for the report: the bucket still lists
// the target as an earlier one, and moved away from it at or before the reported revision.
func AwaitsEmptyReport(running *model.Configuration, report model.BucketEmpty) bool {
	table, known := running.Buckets[report.Service]
	if !known {
		return false
	}
	for _, earlier := range table.Earlier[report.Bucket] {
		if earlier.Target == report.Target && report.At >= earlier.MovedAt {
			return true
		}
	}
	return false
}
