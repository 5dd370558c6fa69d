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

// fleetTable returns a whole table of count targets of two services in five zones, with
// 253 routes.
func fleetTable(count int) directory.Changes {
	random := rand.New(rand.NewPCG(7, 7))
	whole := directory.Changes{Whole: true, To: 1000, Version: 1, IdleTimeout: 15 * time.Second}
	for route := range 253 {
		whole.Routes = append(whole.Routes, directory.RouteEntry{
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
		whole.Targets = append(whole.Targets, directory.TargetEntry{
			Token: directory.Token(token), ID: directory.TargetID(random.Uint64() >> 24), Started: directory.StartTime(1764731121000 + random.Int64N(10000)),
			Service: service, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + token%5), byte(token >> 8), byte(token)}), 8029),
			Zone: fmt.Sprintf("zone-%d", token%5), Capacity: 2, State: directory.TargetReady,
		})
	}
	return whole
}

// BenchmarkTableOfFleet shows what the first table of a balancer costs.
func BenchmarkTableOfFleet(b *testing.B) {
	for _, count := range []int{1000, 10000, 20000} {
		whole := fleetTable(count)
		packed, err := pack(whole)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("pack-%d", count), func(b *testing.B) {
			for b.Loop() {
				_, _ = pack(whole)
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
				steer.NewTable(steer.DefaultOptions()).Apply(whole, time.Unix(1, 0))
			}
		})
		b.Run(fmt.Sprintf("change-%d", count), func(b *testing.B) {
			table := steer.NewTable(steer.DefaultOptions())
			table.Apply(whole, time.Unix(1, 0))
			change := directory.Changes{From: whole.To, Version: 1, To: whole.To}
			change.Targets = whole.Targets[:1]
			b.ReportAllocs()
			for b.Loop() {
				change.From = change.To
				change.To++
				table.Apply(change, time.Unix(1, 0))
			}
		})
	}
}
