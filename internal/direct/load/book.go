// Package load knows how many requests are open at each target.
//
// A balancer counts the requests that it sent on itself (package requests) in its
// Book, and hears the counts of other balancers. Both together are the estimate that
// the choice of a target goes by. In a small system the Exchange of each balancer tells
// all others; in a large one it tells a member of the control group, whose Collector
// adds up and tells its balancers the sum of all. Either way reports go every few tens
// of milliseconds while a service is half used, and hardly at all else. Counts of a node
// that falls silent are forgotten quickly: without word of others the estimate is what
// this balancer sees, and the choice falls back to hashing.
package load

import (
	"sync"
	"sync/atomic"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/requests"
	"merlinpaddle/internal/direct/steer"
)

// shardCount is the number of shards of a book; a power of two.
const shardCount = 16

// count has the open requests of one target, without those whose data still comes.
type count struct {
	// own are those of this balancer, others those that other balancers told.
	own, others int
	// coming are those of this balancer whose packet still waits in front of its link; they
	// are not among own.
	coming int
	// serving is the average time from the data of a request to the caller's
	// acknowledgement of the answer on an idle target.
	serving average
	// met has what was open when each of this balancer's requests began, that request
	// included, the oldest first. Targets work on requests in about the order of their
	// arrival, so that the oldest is taken for the one that ends.
	met []int
	// used tells that the count changed since the last search for idle ones.
	used bool
}

// shard has a part of the targets.
type shard struct {
	lock   sync.RWMutex
	counts map[directory.Token]*count
}

// Book has the open requests of all targets. It is safe for many goroutines and
// is a requests.Listener.
type Book struct {
	shards [shardCount]shard
	trust  trust
	// partial tells that the requests of other balancers are not known although load is
	// high: how crowded targets are cannot be told then.
	partial atomic.Bool
	// services has the serving times of services.
	services serviceTimes
	// heardAt is when another node last told of open requests, in Unix nanoseconds; zero
	// when none did.
	heardAt atomic.Int64
}

var _ requests.Listener = (*Book)(nil)

// NewBook returns a book in which no request is open.
func NewBook() *Book {
	book := &Book{}
	for index := range book.shards {
		book.shards[index].counts = make(map[directory.Token]*count)
	}
	return book
}

func (book *Book) shard(token directory.Token) *shard { return &book.shards[token%shardCount] }

// add changes the count of a target.
func (book *Book) add(token directory.Token, own, others int) {
	shard := book.shard(token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	known := shard.count(token)
	known.own += own
	known.others += others
	known.used = true
}

// count returns the count of a target, a new one where there was none.
func (shard *shard) count(token directory.Token) *count {
	known := shard.counts[token]
	if known == nil {
		known = &count{}
		shard.counts[token] = known
	}
	return known
}

// Began implements requests.Listener.
func (book *Book) Began(target requests.Target, now time.Time) {
	book.trust.began(now)
	shard := book.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	known := shard.count(target.Token)
	known.own++
	known.used = true
	if len(known.met) < metKept {
		known.met = append(known.met, known.own+known.others)
	}
}

// metKept bounds what is remembered of the requests at one target, which holds far fewer.
const metKept = 64

// takeMet returns what was open when the oldest request began, and forgets it.
func (count *count) takeMet() int {
	if len(count.met) == 0 {
		return count.own + count.others
	}
	oldest := count.met[0]
	count.met = count.met[:copy(count.met, count.met[1:])]
	return oldest
}

// Ended implements requests.Listener.
func (book *Book) Ended(target requests.Target, ending requests.Ending, took time.Duration) {
	if ending != requests.Withdrawn {
		book.trust.missed.Note(ending != requests.Answered)
	}
	shard := book.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	known := shard.counts[target.Token]
	if known == nil {
		return
	}
	met := known.takeMet()
	if ending == requests.Answered && !book.partial.Load() {
		if alone, clear := known.learn(took, met, target.Capacity); clear {
			book.services.learn(target.Service, alone)
		}
	}
	known.own--
}

// Receiving implements requests.Listener. A request whose data still comes takes
// no place at its target.
func (book *Book) Receiving(target requests.Target, receiving bool) {
	if receiving {
		book.add(target.Token, -1, 0)
	} else {
		book.add(target.Token, 1, 0)
	}
}

// Waiting implements requests.Listener. A request that has not left this balancer takes no
// place at its target yet.
func (book *Book) Waiting(target requests.Target, waiting bool) {
	shard := book.shard(target.Token)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	known := shard.count(target.Token)
	known.used = true
	if waiting {
		known.own--
		known.coming++
	} else {
		known.own++
		known.coming--
	}
}

// Continued implements requests.Listener.
func (book *Book) Continued(whole bool) { book.trust.flows.Note(whole) }

const (
	// learnedCrowd is the number of requests by capacity that a request may have met for
	// its answer to count for the serving time.
	learnedCrowd = 2
	// refusingCrowd is the number of requests by capacity from which an answer may be a
	// refusal, which comes quickly and out of order.
	refusingCrowd = 4
)

// learn takes an answer into the serving time. A request that met more at the target than
// it works on at once waited for its part of the time. What is left when its answer comes
// says nothing of that: while a rush ends, it made an idle target's time seem two and a half
// times as long, so that flows were refused beside idle slots. It returns what the request
// would have taken alone, and false when the target was or is too full to tell.
func (count *count) learn(took time.Duration, met, capacity int) (alone float64, clear bool) {
	slots := float64(max(capacity, 1))
	if float64(met) > learnedCrowd*slots || float64(count.own+count.others) > refusingCrowd*slots {
		return 0, false
	}
	crowd := max(float64(met)/slots, 1)
	alone = float64(took) / crowd
	count.serving.learn(alone, targetWeight)
	return alone, true
}

// Typical returns how long a request takes on an idle target of the service, as an
// average over its targets; zero while too few answered. In a large system a balancer
// hears of a single target now and then alone.
func (book *Book) TypicalServiceTime(service string) time.Duration {
	return book.services.typical(service)
}

// Load returns the number of requests that are open at the target, and how long
// it takes with one when it is idle, as far as is known; zero when it is not.
// Nothing is known while this balancer does not see its flows whole.
func (book *Book) Load(token directory.Token) (open int, serving time.Duration) {
	if !book.trust.holds() {
		return 0, 0
	}
	shard := book.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	known := shard.counts[token]
	if known == nil {
		return 0, 0
	}
	return known.own + known.others, known.serving.time()
}

// Coming implements steer.Loads.
func (book *Book) Pending(token directory.Token) int {
	if !book.trust.holds() {
		return 0
	}
	shard := book.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	if known := shard.counts[token]; known != nil {
		return known.coming
	}
	return 0
}

// Known implements steer.Loads.
func (book *Book) Reliable() bool { return book.trust.holds() }

// Evidence implements steer.Loads.
func (book *Book) Evidence(token directory.Token, now time.Time) steer.Evidence {
	evidence := steer.Evidence{ReportedAgo: steer.NeverReported}
	if heardAt := book.heardAt.Load(); heardAt != 0 {
		evidence.ReportedAgo = time.Duration(now.UnixNano() - heardAt)
	}
	evidence.Gaps, evidence.Unanswered = book.trust.proportions()
	shard := book.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	if known := shard.counts[token]; known != nil {
		evidence.LocalOpen, evidence.RemoteOpen, evidence.Pending = known.own, known.others, known.coming
	}
	return evidence
}

// heard notes that another node told of open requests.
func (book *Book) heard(now time.Time) { book.heardAt.Store(now.UnixNano()) }

// Proven implements steer.Loads.
func (book *Book) SufficientForRefusal(now time.Time) bool { return book.trust.proven(now) }

// Totals returns the open requests of all targets: this balancer's own, and those
// that other balancers told.
func (book *Book) Totals() (own, others int) {
	for index := range book.shards {
		shard := &book.shards[index]
		shard.lock.RLock()
		for _, known := range shard.counts {
			own += known.own
			others += known.others
		}
		shard.lock.RUnlock()
	}
	return own, others
}

// appendOwn appends this balancer's counts that are not zero, in no order. It has
// none to tell while it does not see its flows whole.
func (book *Book) appendOwn(entries []Entry) []Entry {
	if !book.trust.holds() {
		return entries
	}
	for index := range book.shards {
		shard := &book.shards[index]
		shard.lock.RLock()
		for token, known := range shard.counts {
			if known.own > 0 {
				entries = append(entries, Entry{Token: token, Open: known.own})
			}
		}
		shard.lock.RUnlock()
	}
	return entries
}

// forgetIdle drops the counts that stayed zero since the last call, so that
// targets which are gone leave nothing behind.
func (book *Book) forgetIdle() {
	for index := range book.shards {
		shard := &book.shards[index]
		shard.lock.Lock()
		for token, known := range shard.counts {
			if known.own == 0 && known.others == 0 && known.coming == 0 && !known.used {
				delete(shard.counts, token)
			}
			known.used = false
		}
		shard.lock.Unlock()
	}
}
