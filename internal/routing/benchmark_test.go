package routing_test

import (
	"bytes"
	"encoding/gob"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// The projected size of an installation in two years.
const (
	futureServices = 4800
	futureTargets  = 41000
)

// spreadTargets returns serving targets for each service, spread as evenly as possible.
func spreadTargets(services, targets int) [][]model.Target {
	sets := make([][]model.Target, services)
	for index := range sets {
		count := targets / services
		if index < targets%services {
			count++
		}
		sets[index] = servingTargets(count)
	}
	return sets
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// BenchmarkAllTables computes the tables of all services at the projected size, and reports the
// heap memory that they use.
func BenchmarkAllTables(b *testing.B) {
	sets := spreadTargets(futureServices, futureTargets)
	for b.Loop() {
		before := heapBytes()
		tables := make([]*model.BucketTable, len(sets))
		for index, targets := range sets {
			tables[index] = routing.NewTable(testService, targets, 1)
		}
		used := heapBytes() - before
		b.ReportMetric(used/futureServices, "B/service")
		b.ReportMetric(used/1e6, "MB/node")
		runtime.KeepAlive(tables)
	}
}

// BenchmarkJoin rebalances one service when a target joins.
func BenchmarkJoin(b *testing.B) {
	for _, size := range []struct {
		name  string
		count int
	}{{"4", 4}, {"14", 14}, {"60", 60}, {"200", 200}} {
		b.Run(size.name, func(b *testing.B) {
			before := routing.NewTable(testService, servingTargets(size.count), 1)
			after := servingTargets(size.count + 1)
			rows := 0
			for b.Loop() {
				rows = len(routing.Rebalance(before, after, 2))
			}
			b.ReportMetric(float64(rows), "rows")
		})
	}
}

// BenchmarkChainHistory reports the size of the earlier targets of one service after a rolling
// drain in which no target reports a bucket empty: in memory, and as one gob message with the rows
// that one drain changes.
func BenchmarkChainHistory(b *testing.B) {
	const count = 14
	for b.Loop() {
		targets := servingTargets(count)
		table := routing.NewTable(testService, targets, 1)
		var message bytes.Buffer
		for index := range targets {
			targets[index].Phase = model.PhaseDraining
			rows := routing.Rebalance(table, targets, model.Revision(2+2*index))
			if index == 0 {
				require.NoError(b, gob.NewEncoder(&message).Encode(rows))
				b.ReportMetric(float64(len(rows)), "rows/drain")
				b.ReportMetric(float64(message.Len())/float64(len(rows)), "B/row")
			}
			table = apply(table, rows)
			targets[index].Phase = model.PhaseServing
			table = apply(table, routing.Rebalance(table, targets, model.Revision(3+2*index)))
		}
		entries, full := 0, 0
		for _, earlier := range table.Earlier {
			entries += len(earlier)
			if len(earlier) == model.MaximumEarlierTargets {
				full++
			}
		}
		before := heapBytes()
		copied := table.Clone()
		b.ReportMetric(heapBytes()-before, "B/service")
		b.ReportMetric(float64(entries)/float64(table.Count()), "entries/bucket")
		b.ReportMetric(100*float64(full)/float64(table.Count()), "%full")
		runtime.KeepAlive(copied)
	}
}
