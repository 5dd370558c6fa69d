// Package load knows how many requests are open at each target.
//
// A balancer counts the requests that it sent on itself (package requests), and
// hears the counts of other balancers, which tell each other every few tens of
// milliseconds. Both together are the estimate that the choice of a target goes
// by. Counts of a balancer that falls silent are forgotten quickly: without
// word of others the estimate is what this balancer sees, and the choice falls
// back to hashing.
package load

import (
	"sync"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/requests"
)

// shardCount is the number of shards of a book; a power of two.
const shardCount = 16

// count has the open requests of one target.
type count struct {
	// own are those of this balancer, others those that other balancers told.
	own, others int
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
	known := shard.counts[token]
	if known == nil {
		known = &count{}
		shard.counts[token] = known
	}
	known.own += own
	known.others += others
}

// Began implements requests.Listener.
func (book *Book) Began(target requests.Target) { book.add(target.Token, 1, 0) }

// Ended implements requests.Listener.
func (book *Book) Ended(target requests.Target, _ requests.Ending) { book.add(target.Token, -1, 0) }

// Open returns the number of requests that are open at the target, as far as is
// known.
func (book *Book) Open(token directory.Token) int {
	shard := book.shard(token)
	shard.lock.RLock()
	defer shard.lock.RUnlock()
	known := shard.counts[token]
	if known == nil {
		return 0
	}
	return known.own + known.others
}

// appendOwn appends this balancer's counts that are not zero, in no order.
func (book *Book) appendOwn(entries []Entry) []Entry {
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

// forgetIdle drops the counts that are zero, so that targets which are gone
// leave nothing behind.
func (book *Book) forgetIdle() {
	for index := range book.shards {
		shard := &book.shards[index]
		shard.lock.Lock()
		for token, known := range shard.counts {
			if *known == (count{}) {
				delete(shard.counts, token)
			}
		}
		shard.lock.Unlock()
	}
}
