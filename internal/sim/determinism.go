package sim

// chunkSeeds is how many seeds RunTwice runs before it runs the same seeds again. It bounds the
// number of results that are kept for the comparison.
const chunkSeeds = 64

// SameRun reports whether two runs of one seed have the same digest, number of events, virtual time
// and number of violations.
func (result Result) SameRun(other Result) bool {
	return result.Digest == other.Digest &&
		result.Events == other.Events &&
		result.Elapsed == other.Elapsed &&
		len(result.Violations) == len(other.Violations)
}

// RunTwice runs every seed of a scenario twice, with different numbers of workers, and calls report
// for each pair of results in the order of the seeds. It stops when report returns false.
func RunTwice(scenario Scenario, seeds SeedRange, workers int, report func(first, second Result) bool) {
	for first := seeds.First; ; first += chunkSeeds {
		chunk := SeedRange{First: first, Last: seeds.Last}
		if chunk.Last-first >= chunkSeeds {
			chunk.Last = first + chunkSeeds - 1
		}
		if !runChunkTwice(scenario, chunk, workers, report) || chunk.Last == seeds.Last {
			return
		}
	}
}

// runChunkTwice runs all seeds twice. It reports whether every call of report returned true.
func runChunkTwice(scenario Scenario, seeds SeedRange, workers int, report func(first, second Result) bool) bool {
	var earlier []Result
	sweepScenario(scenario, seeds, workers, func(result Result) bool {
		earlier = append(earlier, result)
		return true
	})
	index := 0
	return sweepScenario(scenario, seeds, differentWorkers(workers), func(result Result) bool {
		first := earlier[index]
		index++
		return report(first, result)
	})
}

// differentWorkers returns a number of workers other than the given one.
func differentWorkers(workers int) int {
	if workers > 1 {
		return (workers + 1) / 2
	}
	return 2
}
