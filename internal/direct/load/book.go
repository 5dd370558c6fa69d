// Package load estimates how many requests are open at each target.
//
// A balancer counts the requests that it forwarded itself (package requests) in its Counter,
// and receives the counts of other balancers. The sum of both is the estimate that target
// selection uses. In a small system the Exchange of each balancer reports to all other
// balancers. In a large system it reports to one member of the control group, whose Collector
// sums the reports and sends the totals back to its balancers. In both cases reports are sent
// every few tens of milliseconds while some service is at least half used, and rarely
// otherwise. The counts of a node that stops reporting expire quickly. Without remote counts
// the estimate is the local counts alone, and target selection falls back to hashing.
package load

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// shardCount is the number of shards of a counter; a power of two.
const shardCount = 16

// targetCount holds the open requests of one target. Requests whose data is still arriving
// are not included.
type targetCount struct {
	// local counts the requests of this balancer, remote those reported by other balancers.
	local, remote int
	// pending counts the requests of this balancer whose packet still waits in front of its
	// link. They are not included in local.
	pending int
	// serviceTime is the average time, on an idle target, from the last data of a request to
	// the caller's acknowledgement of the answer.
	serviceTime average
	// startOccupancies holds, for each request of this balancer, the number of requests that
	// were open at the target when it began, itself included; the oldest comes first. Targets
	// serve requests roughly in order of arrival, so the oldest entry is taken for the request
	// that ends next.
	startOccupancies []int
	// usedSinceSweep is set when the count changes and cleared by removeIdle.
	usedSinceSweep bool
}

// shard holds the counts of a subset of the targets.
type shard struct {
	lock   sync.RWMutex
	counts map[directory.Token]*targetCount
}

// Counter counts the open requests of all targets. It implements requests.Listener and
// steer.Loads and is safe for concurrent use.
type Counter struct {
	shards      [shardCount]shard
	reliability reliability
	// remoteCountsMissing is set in a large system while load is high and no remote counts are
	// known. The occupancy of targets is unknown then, so no service times are learned.
	remoteCountsMissing atomic.Bool
	// serviceTimes holds the service time of each service.
	serviceTimes serviceTimes
	// remoteReportAt is when the last remote report of open requests arrived, in Unix
	// nanoseconds; zero if none has.
	remoteReportAt atomic.Int64
}

var _ requests.Listener = (*Counter)(nil)

// NewCounter returns a Counter without open requests.
func NewCounter() *Counter {
	counter := &Counter{}
	for index := range counter.shards {
		counter.shards[index].counts = make(map[directory.Token]*targetCount)
	}
	return counter
}

func (counter *Counter) shard(token directory.Token) *shard { return &counter.shards[token%shardCount] }

// add changes the local and remote counts of a target by the given amounts.
func (counter *Counter) add(token directory.Token, local, remote int) {
	shard := counter.shard(token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	count := shard.countFor(token)
	count.local += local
	count.remote += remote
	count.usedSinceSweep = true
}

// countFor returns the count of a target and creates it if necessary. The shard must be locked.
func (shard *shard) countFor(token directory.Token) *targetCount {
	count := shard.counts[token]
	if count == nil {
		count = &targetCount{}
		shard.counts[token] = count
	}
	return count
}

// Began implements requests.Listener.
func (counter *Counter) Began(target requests.Target, now time.Time) {
	counter.reliability.noteRequest(now)
	shard := counter.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	count := shard.countFor(target.Token)
	count.local++
	count.usedSinceSweep = true
	if len(count.startOccupancies) < maxStartOccupancies {
		count.startOccupancies = append(count.startOccupancies, count.local+count.remote)
	}
}

// maxStartOccupancies bounds startOccupancies. A target has far fewer open requests.
const maxStartOccupancies = 64

// popStartOccupancy removes and returns the oldest start occupancy. Without one it returns the
// current occupancy.
func (count *targetCount) popStartOccupancy() int {
	if len(count.startOccupancies) == 0 {
		return count.local + count.remote
	}
	oldest := count.startOccupancies[0]
	count.startOccupancies = count.startOccupancies[:copy(count.startOccupancies, count.startOccupancies[1:])]
	return oldest
}

// Ended implements requests.Listener.
func (counter *Counter) Ended(target requests.Target, ending requests.Ending, took time.Duration) {
	if ending != requests.Withdrawn {
		counter.reliability.unanswered.Note(ending != requests.Answered)
	}
	shard := counter.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	count := shard.counts[target.Token]
	if count == nil {
		return
	}
	occupancy := count.popStartOccupancy()
	if ending == requests.Answered && !counter.remoteCountsMissing.Load() {
		if idleTime, ok := count.learnServiceTime(took, occupancy, target.Capacity); ok {
			counter.serviceTimes.add(target.Service, idleTime)
		}
	}
	count.local--
}

// Receiving implements requests.Listener. A request whose data is still arriving does not
// count towards its target's load.
func (counter *Counter) Receiving(target requests.Target, receiving bool) {
	if receiving {
		counter.add(target.Token, -1, 0)
	} else {
		counter.add(target.Token, 1, 0)
	}
}

// Waiting implements requests.Listener. A request that has not left this balancer yet does not
// count towards its target's load; it is counted as pending.
func (counter *Counter) Waiting(target requests.Target, waiting bool) {
	shard := counter.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	count := shard.countFor(target.Token)
	count.usedSinceSweep = true
	if waiting {
		count.local--
		count.pending++
	} else {
		count.local++
		count.pending--
	}
}

// SequenceChecked implements requests.Listener.
func (counter *Counter) SequenceChecked(contiguous bool) {
	counter.reliability.continuity.Note(contiguous)
}

const (
	// maxLearnOccupancy is the highest occupancy at its start, as a multiple of the target's
	// capacity, at which a request is still used to learn the service time.
	maxLearnOccupancy = 2
	// refusalOccupancy is the occupancy, as a multiple of the target's capacity, above which an
	// answer may be a refusal, which is sent quickly and out of order.
	refusalOccupancy = 4
)

// learnServiceTime adds an answer to the target's average service time. A request that found
// more open requests than the target serves at once spent part of its time waiting, so its time
// is divided by that ratio. The occupancy when the answer arrives cannot be used instead: at the
// end of a load spike it is low, which made the time of an idle target seem two and a half times
// as long, so that flows were refused although targets had idle slots. It returns the time that
// the request would have taken on an idle target, in nanoseconds, and false if the target was or
// is too full to estimate it.
func (count *targetCount) learnServiceTime(took time.Duration, occupancy, capacity int) (idleTime float64, ok bool) {
	slots := float64(max(capacity, 1))
	if float64(occupancy) > maxLearnOccupancy*slots || float64(count.local+count.remote) > refusalOccupancy*slots {
		return 0, false
	}
	slowdown := max(float64(occupancy)/slots, 1)
	idleTime = float64(took) / slowdown
	count.serviceTime.add(idleTime, targetWeight)
	return idleTime, true
}

// TypicalServiceTime implements steer.Loads. It returns how long a request takes on an idle
// target of the service, averaged over its targets, or zero while too few answers were seen. The
// average is kept per service because in a large system a balancer sees a single target only
// rarely.
func (counter *Counter) TypicalServiceTime(service string) time.Duration {
	return counter.serviceTimes.typical(service)
}

// Load implements steer.Loads. It returns the number of open requests at the target and how
// long one request takes when the target is idle. Either is zero if unknown. Both are unknown
// while this balancer does not see all packets of its flows.
func (counter *Counter) Load(token directory.Token) (open int, serviceTime time.Duration) {
	if !counter.reliability.usable() {
		return 0, 0
	}
	shard := counter.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	count := shard.counts[token]
	if count == nil {
		return 0, 0
	}
	return count.local + count.remote, count.serviceTime.estimate()
}

// Pending implements steer.Loads.
func (counter *Counter) Pending(token directory.Token) int {
	if !counter.reliability.usable() {
		return 0
	}
	shard := counter.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	if count := shard.counts[token]; count != nil {
		return count.pending
	}
	return 0
}

// Reliable implements steer.Loads.
func (counter *Counter) Reliable() bool { return counter.reliability.usable() }

// Evidence implements steer.Loads.
func (counter *Counter) Evidence(token directory.Token, now time.Time) steer.Evidence {
	evidence := steer.Evidence{ReportedAgo: steer.NeverReported}
	if reportedAt := counter.remoteReportAt.Load(); reportedAt != 0 {
		evidence.ReportedAgo = time.Duration(now.UnixNano() - reportedAt)
	}
	evidence.Gaps, evidence.Unanswered = counter.reliability.proportions()
	shard := counter.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	if count := shard.counts[token]; count != nil {
		evidence.LocalOpen, evidence.RemoteOpen, evidence.Pending = count.local, count.remote, count.pending
	}
	return evidence
}

// noteRemoteReport records that a remote report of open requests arrived.
func (counter *Counter) noteRemoteReport(now time.Time) { counter.remoteReportAt.Store(now.UnixNano()) }

// SufficientForRefusal implements steer.Loads.
func (counter *Counter) SufficientForRefusal(now time.Time) bool {
	return counter.reliability.sufficientEvidence(now)
}

// Totals returns the number of open requests over all targets: those of this balancer, and those
// reported by other balancers.
func (counter *Counter) Totals() (local, remote int) {
	for index := range counter.shards {
		shard := &counter.shards[index]
		shard.lock.RLock()
		for _, count := range shard.counts {
			local += count.local
			remote += count.remote
		}
		shard.lock.RUnlock()
	}
	return local, remote
}

// appendLocal appends the local counts above zero, in no particular order. It appends none while
// this balancer does not see all packets of its flows.
func (counter *Counter) appendLocal(entries []Entry) []Entry {
	if !counter.reliability.usable() {
		return entries
	}
	for index := range counter.shards {
		shard := &counter.shards[index]
		shard.lock.RLock()
		for token, count := range shard.counts {
			if count.local > 0 {
				entries = append(entries, Entry{Token: token, Open: count.local})
			}
		}
		shard.lock.RUnlock()
	}
	return entries
}

// removeIdle removes the counts that have been zero since the previous call, so that deregistered
// targets do not use memory forever.
func (counter *Counter) removeIdle() {
	for index := range counter.shards {
		shard := &counter.shards[index]
		shard.lock.Lock()
		for token, count := range shard.counts {
			if count.local == 0 && count.remote == 0 && count.pending == 0 && !count.usedSinceSweep {
				delete(shard.counts, token)
			}
			count.usedSinceSweep = false
		}
		shard.lock.Unlock()
	}
}
