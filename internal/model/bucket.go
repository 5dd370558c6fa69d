package model

// BucketsPerTarget is the number of buckets for each target that a service has when its bucket table
// is created.
const BucketsPerTarget = 64

// MaximumEarlierTargets is the maximum number of earlier targets of a bucket. A bucket whose list is
// full is not moved: uneven load is better than broken flows.
const MaximumEarlierTargets = 4

// EarlierTarget is a target that may still hold flows of a bucket because it
// was the bucket's head or alternate before.
type EarlierTarget struct {
	Target TargetID
	// MovedAt is the revision at which the target stopped being the head or the alternate. The entry
	// is removed only when the target's agent reports the bucket empty at this revision or a later
	// one, or when the target is dead.
	MovedAt Revision
}

// BucketTable assigns the buckets of one service to targets. Every target
// that may hold a flow of a bucket is its head, its alternate or one of its
// earlier targets.
//
// Slices of a published table are never modified; a change makes a copy.
type BucketTable struct {
	Service ServiceID
	// Heads has the head of each bucket, which decides where new flows open, or zero.
	Heads []TargetID
	// Alternates has the alternate of each bucket, the second choice for new flows, or zero.
	Alternates []TargetID
	// Earlier has the earlier targets of the buckets that have any.
	Earlier map[BucketIndex][]EarlierTarget
}

// Count returns the number of buckets.
func (table *BucketTable) Count() int { return len(table.Heads) }

// Bucket is one row of a bucket table.
type Bucket struct {
	Index     BucketIndex
	Head      TargetID
	Alternate TargetID
	Earlier   []EarlierTarget
}

// Bucket returns the row at index. The earlier targets are shared with the table and must not be
// modified.
func (table *BucketTable) Bucket(index BucketIndex) Bucket {
	return Bucket{
		Index:     index,
		Head:      table.Heads[index],
		Alternate: table.Alternates[index],
		Earlier:   table.Earlier[index],
	}
}

// Clone returns a copy that shares nothing with the table.
func (table *BucketTable) Clone() *BucketTable {
	copied := &BucketTable{
		Service:    table.Service,
		Heads:      append([]TargetID(nil), table.Heads...),
		Alternates: append([]TargetID(nil), table.Alternates...),
		Earlier:    make(map[BucketIndex][]EarlierTarget, len(table.Earlier)),
	}
	for index, earlier := range table.Earlier {
		copied.Earlier[index] = append([]EarlierTarget(nil), earlier...)
	}
	return copied
}

// Set replaces one row of the table in place.
func (table *BucketTable) Set(bucket Bucket) {
	table.Heads[bucket.Index] = bucket.Head
	table.Alternates[bucket.Index] = bucket.Alternate
	if len(bucket.Earlier) == 0 {
		delete(table.Earlier, bucket.Index)
		return
	}
	if table.Earlier == nil {
		table.Earlier = make(map[BucketIndex][]EarlierTarget)
	}
	table.Earlier[bucket.Index] = bucket.Earlier
}
