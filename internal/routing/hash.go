package routing

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/model"
)

// addressLength is the length of an address in the hashed form, in bytes; an
// IPv4 address is hashed in its IPv4-mapped IPv6 form.
const addressLength = 16

// flowKeyLength is the length of a five-tuple in the hashed form, in bytes.
const flowKeyLength = 1 + 2*(addressLength+2)

// FlowHash returns the hash of a flow, which is the same in every process. It does not allocate.
func FlowHash(flow model.FiveTuple) uint64 {
	var key [flowKeyLength]byte
	source := flow.Source.Addr().As16()
	destination := flow.Destination.Addr().As16()
	key[0] = byte(flow.Protocol)
	copy(key[1:], source[:])
	binary.BigEndian.PutUint16(key[1+addressLength:], flow.Source.Port())
	copy(key[3+addressLength:], destination[:])
	binary.BigEndian.PutUint16(key[3+2*addressLength:], flow.Destination.Port())
	return xxhash.Sum64(key[:])
}

// BucketOf maps a flow hash to one of count buckets. It scales the hash to the range (multiply
// and take the high 64 bits) instead of taking a remainder, so every bucket gets an equal share. A
// count of zero or less gives bucket zero.
func BucketOf(hash uint64, count int) model.BucketIndex {
	if count <= 0 {
		return 0
	}
	high, _ := bits.Mul64(hash, uint64(count))
	return model.BucketIndex(high)
}

// tieBreakScore is a rendezvous hash: among targets with equal counts the one with the lowest score
// is chosen, which differs from bucket to bucket and is the same in every process.
func tieBreakScore(service model.ServiceID, bucket model.BucketIndex, target model.TargetID) uint64 {
	var key [12]byte
	binary.BigEndian.PutUint32(key[0:], uint32(service))
	binary.BigEndian.PutUint32(key[4:], uint32(bucket))
	binary.BigEndian.PutUint32(key[8:], uint32(target))
	return xxhash.Sum64(key[:])
}
