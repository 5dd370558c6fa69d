// Package flow keeps the state of flows: the cache of flow owners at a balancer, and the flows that
// a target owns. The package is pure: the time is passed as an argument.
package flow

import (
	"encoding/binary"
	"math/bits"
	"reflect"
	"sync"

	"merlinpaddle/internal/model"
)

const (
	// cacheShards is the number of shards, each under its own lock.
	cacheShards = 64
	// cacheWays is the number of entries of one set: a flow can be in any
	// entry of the set that its hash selects.
	cacheWays = 7
	// cacheFill is the percentage of entries in use when a cache holds the number of flows that it
	// was made for. The free entries are needed because flows spread unevenly over the sets: at this
	// percentage about one flow in 50 finds its set full.
	cacheFill = 57
)

// Cache maps flows to the targets that own them. It is set-associative and of fixed size: in a full
// set a new flow replaces one that was not looked up recently (CLOCK, or second chance). The cache is
// only an optimization: because of a missing, wrong or stale entry a packet is forwarded between
// targets more often, but no flow breaks. So an entry has a tag of 32 bits instead of the flow; one
// lookup in 600 million of an unknown flow finds the entry of another flow.
type Cache struct {
	sets   uint64
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	lock sync.Mutex
	sets []cacheSet
	// used is the number of entries in use.
	used int
	// The padding keeps the locks of two shards on different cache lines.
	_ [cacheLine]byte
}

// cacheLine is the size of a line of the processor's cache, in bytes.
const cacheLine = 64

// cacheSet fills one line of the processor's cache, so that a lookup in a large cache waits for main
// memory once. An entry with a zero target is free.
type cacheSet struct {
	tags    [cacheWays]uint32
	targets [cacheWays]model.TargetID
	// referenced has a bit for each entry, which is set when the entry was looked up since the hand
	// passed it.
	referenced uint8
	// hand is the next entry to consider for replacement.
	hand uint8
	_    [6]byte
}

// NewCache returns a cache for about capacity flows. It has more entries than that, see cacheFill.
func NewCache(capacity int) *Cache {
	entries := max(capacity, 1) * 100 / cacheFill
	sets := max(1, (entries+cacheWays*cacheShards-1)/(cacheWays*cacheShards))
	cache := &Cache{sets: uint64(sets)}
	for index := range cache.shards {
		cache.shards[index].sets = make([]cacheSet, sets)
	}
	return cache
}

// locate returns the shard of a hash and the index of its set in the shard. The low bits select the
// shard and the high bits the set, so that the two are independent.
func (cache *Cache) locate(hash uint64) (*cacheShard, uint64) {
	set, _ := bits.Mul64(hash, cache.sets)
	return &cache.shards[hash%cacheShards], set
}

// Lookup returns the owner of a flow and whether it is known. It does not
// allocate.
func (cache *Cache) Lookup(hash uint64, flow model.FiveTuple) (model.TargetID, bool) {
	tag := tagOf(hash, flow)
	shard, index := cache.locate(hash)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	set := &shard.sets[index]
	way := set.find(tag)
	if way < 0 {
		return 0, false
	}
	set.referenced |= 1 << way
	return set.targets[way], true
}

// Insert stores the owner of a flow. If its set has no free entry, it evicts another flow. A zero
// owner is ignored.
func (cache *Cache) Insert(hash uint64, flow model.FiveTuple, owner model.TargetID) {
	cache.insert(hash, flow, owner, true)
}

// InsertIfFree stores the owner of a flow if its set has a free entry or contains the flow already.
// It never evicts another flow.
func (cache *Cache) InsertIfFree(hash uint64, flow model.FiveTuple, owner model.TargetID) {
	cache.insert(hash, flow, owner, false)
}

func (cache *Cache) insert(hash uint64, flow model.FiveTuple, owner model.TargetID, mayEvict bool) {
	if owner == 0 {
		return
	}
	tag := tagOf(hash, flow)
	shard, index := cache.locate(hash)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	set := &shard.sets[index]
	way := set.find(tag)
	if way < 0 {
		way = set.free()
		switch {
		case way >= 0:
			shard.used++
		case mayEvict:
			way = set.victim()
		default:
			return
		}
	}
	// A new entry is not marked as referenced until its first lookup, so that a burst of new flows
	// does not evict flows in use.
	set.tags[way] = tag
	set.targets[way] = owner
}

// Remove removes a flow, if it is in the cache.
func (cache *Cache) Remove(hash uint64, flow model.FiveTuple) {
	tag := tagOf(hash, flow)
	shard, index := cache.locate(hash)
	shard.lock.Lock()
	defer shard.lock.Unlock()
	set := &shard.sets[index]
	way := set.find(tag)
	if way < 0 {
		return
	}
	set.targets[way] = 0
	set.referenced &^= 1 << way
	shard.used--
}

// Len returns the number of flows in the cache.
func (cache *Cache) Len() int {
	total := 0
	for index := range cache.shards {
		shard := &cache.shards[index]
		shard.lock.Lock()
		total += shard.used
		shard.lock.Unlock()
	}
	return total
}

// Bytes returns the size of all entries, free ones too, in bytes.
func (cache *Cache) Bytes() int {
	return int(cache.sets) * cacheShards * int(reflect.TypeFor[cacheSet]().Size())
}

// Capacity returns the number of entries, free ones too.
func (cache *Cache) Capacity() int { return int(cache.sets) * cacheWays * cacheShards }

// find returns the entry with the tag, or -1.
func (set *cacheSet) find(tag uint32) int {
	for way, present := range set.tags {
		if present == tag && set.targets[way] != 0 {
			return way
		}
	}
	return -1
}

// free returns an entry that is not in use, or -1.
func (set *cacheSet) free() int {
	for way, target := range set.targets {
		if target == 0 {
			return way
		}
	}
	return -1
}

// victim returns the entry to evict: the first one from the hand on that was not looked up since the
// hand passed it.
func (set *cacheSet) victim() int {
	for set.referenced&(1<<set.hand) != 0 {
		set.referenced &^= 1 << set.hand
		set.hand = (set.hand + 1) % cacheWays
	}
	way := int(set.hand)
	set.hand = (set.hand + 1) % cacheWays
	return way
}

// tagOf mixes the middle bits of the hash, which select neither the shard nor the set, with the
// protocol, the ports and the last four bytes of the addresses of a flow.
func tagOf(hash uint64, flow model.FiveTuple) uint32 {
	source := flow.Source.Addr().As16()
	destination := flow.Destination.Addr().As16()
	addresses := binary.BigEndian.Uint32(source[12:]) ^ bits.RotateLeft32(binary.BigEndian.Uint32(destination[12:]), 16)
	ports := uint32(flow.Source.Port())<<16 | uint32(flow.Destination.Port())
	// The multiplier is 2^32 divided by the golden ratio (Fibonacci hashing).
	return (addresses^uint32(flow.Protocol))*0x9E3779B1 ^ ports ^ uint32(hash>>8)
}
