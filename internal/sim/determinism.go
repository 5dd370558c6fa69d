package sim

// chunkSeeds is how many seeds are run before they are run again.
const chunkSeeds = 64

// SameRun tells whether two runs of one seed went the same way.
func (result Result) SameRun(other Result) bool {
	return result.Digest == other.Digest &&
		result.Events == other.Events &&
		result.Elapsed == other.Elapsed &&
		len(result.Violations) == len(other.Violations)
}

// RunTwice runs every seed of a scenario twice, with different numbers of
// workers, and calls report for each pair in order. It stops early once report
// returns false.
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

func runChunkTwice(scenario Scenario, seeds SeedRange, workers int, report func(first, second Result) bool) bool {
	var earlier []Result
	sweepScenario(scenario, seeds, workers, func(result Result) bool {
		earlier = append(earlier, result)
		return true
	})
	place := 0
	return sweepScenario(scenario, seeds, differentWorkers(workers), func(result Result) bool {
		first := earlier[place]
		place++
		return report(first, result)
	})
}

// differentWorkers returns a number of workers that differs from the given one.
func differentWorkers(workers int) int {
	if workers > 1 {
		return (workers + 1) / 2
	}
	return 2
}
