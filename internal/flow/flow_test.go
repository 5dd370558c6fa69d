package flow_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

var start = time.Date(2030, time.March, 1, 12, 0, 0, 0, time.UTC)

// numberedFlow returns a flow that differs from those of other numbers.
func numberedFlow(number int) model.FiveTuple {
	source := netip.AddrFrom4([4]byte{127, byte(number >> 22), byte(number >> 14), byte(number >> 6)})
	return model.FiveTuple{
		Protocol:    model.ProtocolTCP,
		Source:      netip.AddrPortFrom(source, uint16(1024+number&63)),
		Destination: netip.MustParseAddrPort("127.2.0.1:443"),
	}
}

func TestCacheRemembersAndForgets(t *testing.T) {
	cache := flow.NewCache(1000)
	first, second := numberedFlow(1), numberedFlow(2)
	hash := routing.FlowHash(first)
	cache.Insert(hash, first, 11)
	owner, known := cache.Lookup(hash, first)
	require.True(t, known)
	require.EqualValues(t, 11, owner)

	_, known = cache.Lookup(hash, second)
	require.False(t, known, "another flow with the same hash")

	cache.Insert(hash, first, 12)
	owner, _ = cache.Lookup(hash, first)
	require.EqualValues(t, 12, owner)
	require.Equal(t, 1, cache.Len())

	cache.Insert(hash, second, 0)
	require.Equal(t, 1, cache.Len(), "a zero owner is not remembered")

	cache.Remove(hash, first)
	cache.Remove(hash, first)
	_, known = cache.Lookup(hash, first)
	require.False(t, known)
	require.Zero(t, cache.Len())
}

func TestCacheStaysInItsMemoryAndKeepsUsedFlows(t *testing.T) {
	const capacity = 4096
	cache := flow.NewCache(capacity)
	used := numberedFlow(0)
	usedHash := routing.FlowHash(used)
	cache.Insert(usedHash, used, 1)
	for number := 1; number < 20*capacity; number++ {
		other := numberedFlow(number)
		cache.Insert(routing.FlowHash(other), other, 2)
		_, known := cache.Lookup(usedHash, used)
		require.True(t, known, "a flow in use was evicted after %d others", number)
	}
	require.LessOrEqual(t, cache.Len(), cache.Capacity())
	require.LessOrEqual(t, cache.Capacity(), 2*capacity)
}

func TestCacheInsertIfFreeForgetsNoFlow(t *testing.T) {
	const capacity = 1000
	cache := flow.NewCache(capacity)
	for number := range 20 * capacity {
		inserted := numberedFlow(number)
		cache.Insert(routing.FlowHash(inserted), inserted, 1)
	}
	known := make(map[int]bool)
	for number := range 20 * capacity {
		remembered := numberedFlow(number)
		_, known[number] = cache.Lookup(routing.FlowHash(remembered), remembered)
	}
	full := cache.Len()
	for number := 20 * capacity; number < 40*capacity; number++ {
		other := numberedFlow(number)
		cache.InsertIfFree(routing.FlowHash(other), other, 2)
	}
	for number, wasKnown := range known {
		remembered := numberedFlow(number)
		_, isKnown := cache.Lookup(routing.FlowHash(remembered), remembered)
		require.Equal(t, wasKnown, isKnown, "flow %d", number)
	}
	require.Equal(t, full, cache.Len(), "the cache was full")

	fresh := flow.NewCache(capacity)
	hash := routing.FlowHash(numberedFlow(1))
	fresh.InsertIfFree(hash, numberedFlow(1), 1)
	fresh.InsertIfFree(hash, numberedFlow(1), 2)
	owner, _ := fresh.Lookup(hash, numberedFlow(1))
	require.EqualValues(t, 2, owner, "the entry of a known flow is brought up to date")
	require.Equal(t, 1, fresh.Len())
}

func TestCacheHoldsItsCapacity(t *testing.T) {
	const capacity = 50_000
	cache := flow.NewCache(capacity)
	for number := range capacity {
		inserted := numberedFlow(number)
		cache.Insert(routing.FlowHash(inserted), inserted, 1)
	}
	require.Greater(t, cache.Len(), capacity*95/100)
}

func newOwners(options flow.OwnedFlowsOptions) *flow.OwnedFlows {
	options.Service = 7
	options.Target = 3
	return flow.NewOwnedFlows(options)
}

func TestOwnersOpenOnceAndClose(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{})
	opened := numberedFlow(1)
	require.False(t, owners.Touch(start, 4, opened))
	require.Equal(t, flow.OpenNew, owners.Open(start, 4, opened, 10))
	require.Equal(t, flow.OpenExisting, owners.Open(start, 4, opened, 10))
	require.True(t, owners.Touch(start, 4, opened))
	require.Equal(t, 1, owners.Len())
	require.Equal(t, 1, owners.BucketLen(4))
	require.True(t, owners.Close(4, opened))
	require.False(t, owners.Close(4, opened))
	require.Zero(t, owners.Len())
	require.Zero(t, owners.BucketLen(4))
}

func TestOwnersRefuseRatherThanEvict(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{MaximumFlows: 2})
	require.Equal(t, flow.OpenNew, owners.Open(start, 1, numberedFlow(1), 1))
	require.Equal(t, flow.OpenNew, owners.Open(start, 2, numberedFlow(2), 1))
	require.Equal(t, flow.OpenFull, owners.Open(start, 3, numberedFlow(3), 1))
	require.True(t, owners.Touch(start, 1, numberedFlow(1)))
	require.True(t, owners.Touch(start, 2, numberedFlow(2)))
	require.Equal(t, 2, owners.Len())
	owners.Close(1, numberedFlow(1))
	require.Equal(t, flow.OpenNew, owners.Open(start, 3, numberedFlow(3), 1))
}

func TestOwnersExpireIdleFlowsOnly(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{IdleTimeout: time.Minute})
	owners.Open(start, 1, numberedFlow(1), 1)
	owners.Open(start, 1, numberedFlow(2), 1)
	owners.Touch(start.Add(30*time.Second), 1, numberedFlow(2))
	require.Empty(t, owners.Expire(start.Add(59*time.Second)))
	require.Equal(t, []model.FiveTuple{numberedFlow(1)}, owners.Expire(start.Add(time.Minute)))
	require.True(t, owners.Touch(start.Add(time.Minute), 1, numberedFlow(2)))
	require.Equal(t, 1, owners.BucketLen(1))
}

func TestOwnersFenceKeepsOlderDecisionsOut(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{})
	owners.RaiseFence(1, 20, []model.TargetID{5, 3})
	owners.RaiseFence(1, 15, []model.TargetID{6, 3})
	require.Equal(t, flow.Fence{Revision: 20, Chain: []model.TargetID{5, 3}}, owners.Fence(1))
	require.Equal(t, flow.OpenFenced, owners.Open(start, 1, numberedFlow(1), 19))
	require.Equal(t, flow.OpenNew, owners.Open(start, 1, numberedFlow(1), 20))
	require.Equal(t, flow.OpenNew, owners.Open(start, 2, numberedFlow(2), 1), "another bucket")
	_, made := owners.Assign(start, 1, numberedFlow(3), 5, 19)
	require.False(t, made)
}

func TestOwnersReportBucketsEmptyAndFenceThem(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{AssignmentLifetime: time.Minute})
	owners.Open(start, 1, numberedFlow(1), 10)
	_, made := owners.Assign(start, 2, numberedFlow(2), 9, 10)
	require.True(t, made)
	candidates := []model.BucketIndex{1, 2, 3}
	report := func(bucket model.BucketIndex) model.BucketEmpty {
		return model.BucketEmpty{Service: 7, Target: 3, Bucket: bucket, At: 12}
	}
	require.Equal(t, []model.BucketEmpty{report(3)}, owners.FenceEmpty(12, candidates))
	require.Equal(t, flow.OpenFenced, owners.Open(start, 3, numberedFlow(3), 11),
		"a decision made before the report must not open a flow after it")

	owners.Close(1, numberedFlow(1))
	require.Equal(t, []model.BucketEmpty{report(1), report(3)}, owners.FenceEmpty(12, candidates))
	owners.Expire(start.Add(time.Minute))
	require.Equal(t, []model.BucketEmpty{report(1), report(2), report(3)}, owners.FenceEmpty(12, candidates))
}

func TestOwnersRememberAssignments(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{MaximumFlows: 1, AssignmentLifetime: time.Minute})
	target, made := owners.Assign(start, 1, numberedFlow(1), 9, 1)
	require.True(t, made)
	require.EqualValues(t, 9, target)
	target, made = owners.Assign(start, 1, numberedFlow(1), 8, 1)
	require.True(t, made)
	require.EqualValues(t, 9, target, "the first choice stays")
	_, made = owners.Assign(start, 1, numberedFlow(2), 9, 1)
	require.False(t, made, "no room")

	_, known := owners.LookupAssignment(start.Add(50*time.Second), 1, numberedFlow(1))
	require.True(t, known)
	owners.Expire(start.Add(100 * time.Second))
	_, known = owners.LookupAssignment(start.Add(100*time.Second), 1, numberedFlow(1))
	require.True(t, known, "its last use was 50 s ago")

	require.Equal(t, flow.OpenNew, owners.Open(start, 1, numberedFlow(1), 1))
	_, known = owners.LookupAssignment(start, 1, numberedFlow(1))
	require.False(t, known, "opening the flow ends its assignment")
	require.Zero(t, owners.AssignmentCount())
}

func TestOwnersForgetOnlyTheAssignmentThatIsNamed(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{})
	_, made := owners.Assign(start, 3, numberedFlow(1), 12, 7)
	require.True(t, made)
	owners.RemoveAssignment(3, numberedFlow(1), 11)
	require.Equal(t, 1, owners.AssignmentCount())
	owners.RemoveAssignment(3, numberedFlow(1), 12)
	require.Zero(t, owners.AssignmentCount())
	require.NotEmpty(t, owners.FenceEmpty(8, []model.BucketIndex{3}))
}

// A head that assigned a flow to the alternate and got it back opens it itself:
// the assignment goes, and the bucket must still count the flow.
func TestOwnersCountAFlowThatTheyHadAssigned(t *testing.T) {
	owners := newOwners(flow.OwnedFlowsOptions{})
	returned := numberedFlow(1)
	_, made := owners.Assign(start, 3, returned, 12, 7)
	require.True(t, made)
	require.Equal(t, flow.OpenNew, owners.Open(start, 3, returned, 7))
	require.Zero(t, owners.AssignmentCount())
	require.Equal(t, 1, owners.BucketLen(3))
	require.Empty(t, owners.FenceEmpty(8, []model.BucketIndex{3}), "the bucket holds a flow")
}
