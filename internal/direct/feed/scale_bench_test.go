package feed

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
)

// benchmarkTable returns a full table with count targets of two services in five zones, and 253
// routes.
func benchmarkTable(count int) directory.Changes {
	random := rand.New(rand.NewPCG(7, 7))
	fullTable := directory.Changes{Whole: true, To: 1000, Version: 1, IdleTimeout: 15 * time.Second}
	for route := range 253 {
		fullTable.Routes = append(fullTable.Routes, directory.RouteEntry{
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(route >> 8), byte(route)}), 443),
			Pool:      []declared.PoolPart{{Service: "live", Weight: 1}},
			Objective: 600 * time.Millisecond,
		})
	}
	for token := 1; token <= count; token++ {
		service := "live"
		if token%5 == 0 {
			service = "intake"
		}
		fullTable.Targets = append(fullTable.Targets, directory.TargetEntry{
			Token: directory.Token(token), ID: directory.TargetID(random.Uint64() >> 24), Started: directory.StartTime(1764731121000 + random.Int64N(10000)),
			Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + token%5), byte(token >> 8), byte(token)}), 8029),
			Zone: fmt.Sprintf("zone-%d", token%5), Capacity: 2, State: directory.TargetReady,
		})
	}
	return fullTable
}

// BenchmarkTableOfFleet measures how long packing, unpacking and applying a balancer's first table
// takes, and applying a change of one target.
func BenchmarkTableOfFleet(b *testing.B) {
	for _, count := range []int{1000, 10000, 20000} {
		fullTable := benchmarkTable(count)
		packed, err := pack(fullTable)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("pack-%d", count), func(b *testing.B) {
			for b.Loop() {
				_, _ = pack(fullTable)
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
		b.Run(fmt.Sprintf("unpack-%d", count), func(b *testing.B) {
			for b.Loop() {
				_, _ = unpack(packed)
			}
		})
		b.Run(fmt.Sprintf("apply-%d", count), func(b *testing.B) {
			for b.Loop() {
				steer.NewTable(steer.DefaultOptions()).Apply(fullTable, time.Unix(1, 0))
			}
		})
		b.Run(fmt.Sprintf("change-%d", count), func(b *testing.B) {
			table := steer.NewTable(steer.DefaultOptions())
			table.Apply(fullTable, time.Unix(1, 0))
			change := directory.Changes{From: fullTable.To, Version: 1, To: fullTable.To}
			change.Targets = fullTable.Targets[:1]
			b.ReportAllocs()
			for b.Loop() {
				change.From = change.To
				change.To++
				table.Apply(change, time.Unix(1, 0))
			}
		})
	}
}
