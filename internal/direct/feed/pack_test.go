package feed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// largeTable returns a full table with the given numbers of routes and targets.
func largeTable(routes, targets int) directory.Changes {
	changes := directory.Changes{Whole: true, To: 9, Version: 3, IdleTimeout: time.Second}
	for index := range routes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(index >> 8), byte(index)}), 8443)
		changes.Routes = append(changes.Routes, directory.RouteEntry{Address: address, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}}})
	}
	for index := range targets {
		changes.Targets = append(changes.Targets, directory.TargetEntry{
			Token: directory.Token(index + 1), ID: directory.TargetID(0x7f3a000000 + index*7919), Service: "feed", Zone: "zone-a",
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(index >> 8), byte(index)}), 8080),
			Capacity: 2, State: directory.TargetReady,
		})
	}
	return changes
}

func TestPackAndUnpackRoundTrip(t *testing.T) {
	changes := largeTable(300, 300)
	packed, err := pack(changes)
	require.NoError(t, err)
	unpacked, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, changes, unpacked)
	for length := range 40 {
		_, err := unpack(packed[:length*len(packed)/40])
		require.Error(t, err, "cut at %d of 40", length)
	}
}

// declareLargeTable applies a declared configuration whose full table is large enough to be packed.
func (member *member) declareLargeTable(t *testing.T, version uint64) {
	t.Helper()
	services := []declared.Service{{Name: "feed"}}
	next := &declared.Configuration{Version: version, Services: services}
	for index := range minPackedEntries {
		next.Routes = append(next.Routes, declared.Route{
			Name: fmt.Sprint("r", index), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(index+1)),
			Timeout: time.Second, Kind: declared.KindSafe, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
		})
	}
	difference := declared.Compare(member.directory.Configuration(), next)
	data, err := directory.EncodeCommand(directory.Command{Declare: &difference})
	require.NoError(t, err)
	member.revision++
	member.directory.Apply(member.revision, start, data)
}

// TestRefusedBalancersGetNoTable guards against a member that sends its large table also to
// balancers that it refuses. All balancers know only that member from their settings; those that it
// refuses find the other members.
func TestRefusedBalancersGetNoTable(t *testing.T) {
	const limit = 5
	names := []model.NodeName{"a", "b", "c"}
	var members []*member
	for _, name := range names {
		created := newMember(name)
		created.publisher.options.MaxFollowers = limit
		created.memberNames = names
		created.declareLargeTable(t, 1)
		members = append(members, created)
	}
	var balancers []*testBalancer
	for number := range 3 * limit {
		balancers = append(balancers, newTestBalancer(model.NodeName(fmt.Sprint("n", number)), 16, "a"))
	}
	network := newTestNetwork(members, balancers...)
	network.run(time.Second)
	for _, balancer := range balancers {
		require.True(t, balancer.table.Serving())
		require.True(t, balancer.table.Fresh(network.now))
	}
	for _, name := range names {
		require.LessOrEqual(t, network.packedSent[name], limit)
	}
}

// TestRefusalDoesNotConfirmOlderTable guards against a refusal without changes that confirms a
// balancer's outdated table as current.
func TestRefusalDoesNotConfirmOlderTable(t *testing.T) {
	only := newMember("a")
	only.publisher.options.MaxFollowers = 0
	only.declare(t, 1)
	balancer := newTestBalancer("n1", 16, "a")
	network := newTestNetwork([]*member{only}, balancer)
	network.run(100 * time.Millisecond)
	require.Equal(t, uint64(1), balancer.table.Version(), "a refusal carries few changes")
	only.declareLargeTable(t, 2)
	network.run(2 * time.Second)
	require.Equal(t, uint64(1), balancer.table.Version())
	require.False(t, balancer.table.Fresh(network.now))
}

// TestLargeTablesArePackedOnce checks that balancers apply packed tables, and that a member sends
// the same packed bytes to all balancers that subscribe.
func TestLargeTablesArePackedOnce(t *testing.T) {
	only := newMember("a")
	only.declareLargeTable(t, 1)
	one, two := newTestBalancer("n1", 16, "a"), newTestBalancer("n2", 16, "a")
	network := newTestNetwork([]*member{only}, one, two)
	network.run(300 * time.Millisecond)
	for _, balancer := range network.balancers {
		require.Equal(t, uint64(1), balancer.table.Version())
		everything := balancer.table.Snapshot()
		require.Equal(t, minPackedEntries, everything.Size())
	}
	only.mailbox.Inbox.Put(protocol.Envelope{From: "x1", To: "a", Message: Subscribe{}})
	only.mailbox.Inbox.Put(protocol.Envelope{From: "x2", To: "a", Message: Subscribe{}})
	only.dispatcher.Reconcile(network.now)
	only.publisher.Reconcile(network.now)
	var packs [][]byte
	for _, envelope := range only.mailbox.Outbox.Drain() {
		if update, isUpdate := envelope.Message.(Update); isUpdate && len(update.Packed) > 0 {
			require.Zero(t, update.Changes.Size())
			packs = append(packs, update.Packed)
		}
	}
	require.Len(t, packs, 2)
	require.Same(t, &packs[0][0], &packs[1][0], "packed once")
}

func TestDamagedPackedChangesAreIgnored(t *testing.T) {
	balancer := newTestBalancer("n1", 16, "a")
	newTestNetwork(nil, balancer)
	balancer.mailbox.Inbox.Put(protocol.Envelope{From: "a", To: "n1", Message: Update{Packed: []byte{1, 2, 3}, Fresh: true}})
	balancer.dispatcher.Reconcile(start)
	balancer.subscriber.Reconcile(start)
	require.False(t, balancer.table.Serving())
	require.False(t, balancer.table.Fresh(start))
}

// BenchmarkFullTable compares the time to encode a full table by gob with the time to pack it, and
// the sizes of the results.
func BenchmarkFullTable(b *testing.B) {
	changes := largeTable(870, 3000)
	b.Run("gob", func(b *testing.B) {
		size := 0
		for b.Loop() {
			var buffer bytes.Buffer
			require.NoError(b, gob.NewEncoder(&buffer).Encode(changes))
			size = buffer.Len()
		}
		b.ReportMetric(float64(size), "bytes")
	})
	b.Run("packed", func(b *testing.B) {
		size := 0
		for b.Loop() {
			packed, err := pack(changes)
			require.NoError(b, err)
			size = len(packed)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}
