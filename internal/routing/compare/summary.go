package compare

import "math"

// Summary summarizes the results of one algorithm in several runs with the same number of targets.
type Summary struct {
	Algorithm AlgorithmName `json:"way"`
	Runs      int           `json:"runs"`
	// The counts are totals over the runs. Result explains them.
	BrokenPlanned      uint64 `json:"brokenPlanned"`
	BrokenUnplanned    uint64 `json:"brokenUnplanned"`
	BrokenOnDeadTarget uint64 `json:"brokenOnDeadTarget"`
	LateOpenings       uint64 `json:"lateOpenings"`
	OpeningRetries     uint64 `json:"openingRetries"`
	Shed               uint64 `json:"shed"`
	// In the spreads, Median and Within are means over the runs, and P99 and Max are maxima over the
	// runs.
	Flows            Spread `json:"flows"`
	FlowsSettled     Spread `json:"flowsSettled"`
	RequestsWindowed Spread `json:"requestsWindowed"`
	// The following are means over the runs. Result explains them; PassesPerOpening and
	// PassesPerPacket are passes divided by opened connections and by later packets.
	RequestsImbalanceMean float64 `json:"requestsImbalanceMean"`
	RequestsMean          float64 `json:"requestsMean"`
	WaitMilliseconds      float64 `json:"waitMilliseconds"`
	BalancerBytes         float64 `json:"balancerBytesPerFlow"`
	TargetBytes           float64 `json:"targetBytesPerFlow"`
	TableBytes            float64 `json:"tableBytes"`
	ControlDown           float64 `json:"controlDownPerChange"`
	ControlUp             float64 `json:"controlUpPerChange"`
	PassesPerOpening      float64 `json:"passesPerOpening"`
	PassesPerPacket       float64 `json:"passesPerPacket"`
	// FlowsAfterChange has the changes in order. Its Flows are maxima over the runs.
	FlowsAfterChange []ChangeResult `json:"flowsAfterChange"`
}

// Summarize returns one summary for each algorithm over several comparisons with the same number of
// targets and the same algorithms.
func Summarize(comparisons []Comparison) []Summary {
	if len(comparisons) == 0 {
		return nil
	}
	summaries := make([]Summary, len(comparisons[0].Results))
	for index := range summaries {
		summaries[index].Algorithm = comparisons[0].Results[index].Algorithm
		for _, comparison := range comparisons {
			summaries[index].add(comparison.Results[index], float64(len(comparisons)))
		}
	}
	return summaries
}

// add adds the result of one of the runs.
func (summary *Summary) add(result Result, runs float64) {
	summary.Runs++
	summary.BrokenPlanned += result.BrokenPlanned
	summary.BrokenUnplanned += result.BrokenUnplanned
	summary.BrokenOnDeadTarget += result.BrokenOnDeadTarget
	summary.LateOpenings += result.LateOpenings
	summary.OpeningRetries += result.OpeningRetries
	summary.Shed += result.Shed
	summary.Flows.merge(result.Flows, runs)
	summary.FlowsSettled.merge(result.FlowsSettled, runs)
	summary.RequestsWindowed.merge(result.RequestsWindowed, runs)
	summary.RequestsImbalanceMean += result.RequestsImbalanceMean / runs
	summary.RequestsMean += result.RequestsMean / runs
	summary.WaitMilliseconds += result.WaitMilliseconds / runs
	summary.BalancerBytes += result.BalancerBytes / runs
	summary.TargetBytes += result.TargetBytes / runs
	summary.TableBytes += result.TableBytes / runs
	summary.ControlDown += result.ControlDown / runs
	summary.ControlUp += result.ControlUp / runs
	summary.PassesPerOpening += float64(result.OpeningPasses) / float64(max(1, result.Opened)) / runs
	summary.PassesPerPacket += float64(result.Passes) / float64(max(1, result.Packets)) / runs
	summary.addChanges(result.Changes)
}

func (summary *Summary) addChanges(changes []ChangeResult) {
	for index, change := range changes {
		if index == len(summary.FlowsAfterChange) {
			summary.FlowsAfterChange = append(summary.FlowsAfterChange, change)
		}
		highest := &summary.FlowsAfterChange[index]
		highest.Flows = max(highest.Flows, change.Flows)
	}
}

// merge adds the spread of one of the runs.
func (spread *Spread) merge(other Spread, runs float64) {
	spread.Median += other.Median / runs
	spread.Within += other.Within / runs
	spread.P99 = max(spread.P99, other.P99)
	spread.Max = max(spread.Max, other.Max)
}

// GapClosed returns the fraction of the gap between plain hashing and the least-requests baseline
// that the full chain closes in figure. It is negative if the full chain is worse than plain
// hashing, and NaN if plain hashing is not worse than the baseline or if one of the three
// algorithms is missing.
func GapClosed(summaries []Summary, figure func(Summary) float64) float64 {
	figures := make(map[AlgorithmName]float64, len(summaries))
	for _, summary := range summaries {
		figures[summary.Algorithm] = figure(summary)
	}
	plain, hasPlain := figures[AlgorithmHashing]
	best, hasBest := figures[AlgorithmLeastRequests]
	product, hasProduct := figures[AlgorithmChain]
	if !hasPlain || !hasBest || !hasProduct || plain <= best {
		return math.NaN()
	}
	return (plain - product) / (plain - best)
}
