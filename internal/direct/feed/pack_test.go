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

// largeTable returns a whole table with as many routes and targets as given.
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

func TestPackedChangesComeBack(t *testing.T) {
	changes := largeTable(300, 300)
	packed, err := pack(changes)
	require.NoError(t, err)
	back, err := unpack(packed)
	require.NoError(t, err)
	require.Equal(t, changes, back)
	for length := range 40 {
		_, err := unpack(packed[:length*len(packed)/40])
		require.Error(t, err, "cut at %d of 40", length)
	}
}

// declareLarge gives the member a table that is packed.
func (member *member) declareLarge(t *testing.T, version uint64) {
	t.Helper()
	services := []declared.Service{{Name: "feed"}}
	next := &declared.Configuration{Version: version, Services: services}
	for index := range packFrom {
		next.Routes = append(next.Routes, declared.Route{
			Name: fmt.Sprint("r", index), Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(index+1)),
			Timeout: time.Second, Kind: declared.KindSafe, Pool: []declared.PoolPart{{Service: "feed", Weight: 1}},
		})
	}
	difference := declared.Compare(member.directory.Configuration(), next)
	data, err := directory.EncodeCommand(directory.Command{Declare: &difference})
	require.NoError(t, err)
	member.index++
	member.directory.Apply(member.index, start, data)
}

// TestRefusedBalancersGetNoTable: of many balancers that know one member from their settings
// it gives its table to as many as it feeds, and the others find the next member.
func TestRefusedBalancersGetNoTable(t *testing.T) {
	const limit = 5
	names := []model.NodeName{"a", "b", "c"}
	var members []*member
	for _, name := range names {
		made := newMember(name)
		made.publisher.options.MaxFollowers = limit
		made.names = names
		made.declareLarge(t, 1)
		members = append(members, made)
	}
	var nodes []*node
	for number := range 3 * limit {
		nodes = append(nodes, newNode(model.NodeName(fmt.Sprint("n", number)), 16, "a"))
	}
	fabric := newFabric(members, nodes...)
	fabric.run(time.Second)
	for _, node := range nodes {
		require.True(t, node.table.Serving())
		require.True(t, node.table.Fresh(fabric.now))
	}
	for _, name := range names {
		require.LessOrEqual(t, fabric.packed[name], limit)
	}
}

// TestRefusalConfirmsNoOlderTable: a balancer whose table is old is not told that it is
// current by a member that does not feed it.
func TestRefusalConfirmsNoOlderTable(t *testing.T) {
	only := newMember("a")
	only.publisher.options.MaxFollowers = 0
	only.declare(t, 1)
	node := newNode("n1", 16, "a")
	fabric := newFabric([]*member{only}, node)
	fabric.run(100 * time.Millisecond)
	require.Equal(t, uint64(1), node.table.Version(), "few changes go with a refusal")
	only.declareLarge(t, 2)
	fabric.run(2 * time.Second)
	require.Equal(t, uint64(1), node.table.Version())
	require.False(t, node.table.Fresh(fabric.now))
}

// TestLargeTablesArePackedOnce: a member whose table is large sends the same
// packed bytes to all balancers that ask for it, and they take them in.
func TestLargeTablesArePackedOnce(t *testing.T) {
	only := newMember("a")
	only.declareLarge(t, 1)
	one, two := newNode("n1", 16, "a"), newNode("n2", 16, "a")
	fabric := newFabric([]*member{only}, one, two)
	fabric.run(300 * time.Millisecond)
	for _, node := range fabric.nodes {
		require.Equal(t, uint64(1), node.table.Version())
		everything := node.table.Everything()
		require.Equal(t, packFrom, everything.Size())
	}
	only.mailbox.Inbox.Put(protocol.Envelope{From: "x1", To: "a", Message: Subscribe{}})
	only.mailbox.Inbox.Put(protocol.Envelope{From: "x2", To: "a", Message: Subscribe{}})
	only.dispatcher.Reconcile(fabric.now)
	only.publisher.Reconcile(fabric.now)
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

func TestDamagedPackIsNoAnswer(t *testing.T) {
	node := newNode("n1", 16, "a")
	newFabric(nil, node)
	node.mailbox.Inbox.Put(protocol.Envelope{From: "a", To: "n1", Message: Update{Packed: []byte{1, 2, 3}, Fresh: true}})
	node.dispatcher.Reconcile(start)
	node.subscriber.Reconcile(start)
	require.False(t, node.table.Serving())
	require.False(t, node.table.Fresh(start))
}

// BenchmarkWholeTable compares a whole table as it is sent to each balancer with
// one that is packed once.
func BenchmarkWholeTable(b *testing.B) {
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
