package model

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a checksum of the configuration. Two nodes with equal digests run the same
// configuration.
//
// It is computed from the sum of one hash for each service, target and bucket table, and from the
// revision. A sum does not depend on the order of maps and can be updated from the changed parts
// alone. It protects against faults, not against an attacker.
func (configuration *Configuration) Digest() uint64 {
	sum := configuration.rowHashSum
	if !configuration.sealed {
		sum = configuration.sumRowHashes()
	}
	return sum ^ uint64(configuration.Revision)*hashMultiplier
}

// hashMultiplier spreads the revision over 64 bits. It is 2^64 divided by the golden ratio.
const hashMultiplier = 0x9E3779B97F4A7C15

// Seal computes the sum of hashes once, so that later digests are cheap. It must be called before the
// configuration is shared, and the maps must not be modified afterwards. Apply returns a sealed
// configuration.
func (configuration *Configuration) Seal() {
	if configuration.sealed {
		return
	}
	configuration.rowHashSum = configuration.sumRowHashes()
	configuration.sealed = true
}

func (configuration *Configuration) sumRowHashes() uint64 {
	var sum uint64
	for _, service := range configuration.Services {
		sum += hashService(service)
	}
	for _, target := range configuration.Targets {
		sum += hashTarget(target)
	}
	for _, table := range configuration.Buckets {
		sum += hashBuckets(table)
	}
	return sum
}

// hashService depends on the field names of Service, as %+v prints them: renaming a field changes the
// digest.
func hashService(service Service) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("service %+v", service))
}

// hashTarget depends on the field names of Target, like hashService.
func hashTarget(target Target) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("target %+v", target))
}

func hashBuckets(table *BucketTable) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString("buckets")
	writeNumber(hash, uint64(table.Service))
	for index := range table.Heads {
		writeNumber(hash, uint64(table.Heads[index])<<32|uint64(table.Alternates[index]))
	}
	for _, index := range slices.Sorted(maps.Keys(table.Earlier)) {
		writeNumber(hash, uint64(index))
		for _, earlier := range table.Earlier[index] {
			writeNumber(hash, uint64(earlier.Target))
			writeNumber(hash, uint64(earlier.MovedAt))
		}
	}
	return hash.Sum64()
}

func writeNumber(hash *xxhash.Digest, number uint64) {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], number)
	_, _ = hash.Write(buffer[:])
}
