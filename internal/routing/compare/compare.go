package compare

import "golang.org/x/sync/errgroup"

// Comparison is the outcome of all ways over the same flows.
type Comparison struct {
	Seed    uint64   `json:"seed"`
	Targets int      `json:"targets"`
	Flows   int      `json:"flows"`
	Results []Result `json:"results"`
}

// Run runs the ways over the same flows and changes, several at a time. The
// outcome depends on the options alone.
func Run(options Options, ways []AlgorithmName, workers int) (Comparison, error) {
	if err := options.Validate(); err != nil {
		return Comparison{}, err
	}
	plans := planFlows(options)
	comparison := Comparison{
		Seed:    options.Seed,
		Targets: options.Targets,
		Flows:   len(plans),
		Results: make([]Result, len(ways)),
	}
	var group errgroup.Group
	group.SetLimit(max(1, workers))
	for index, name := range ways {
		group.Go(func() error {
			comparison.Results[index] = newRun(options, plans, name).execute()
			return nil
		})
	}
	return comparison, group.Wait()
}

// Result returns the result of a way.
func (comparison Comparison) Result(name AlgorithmName) (Result, bool) {
	for _, result := range comparison.Results {
		if result.Algorithm == name {
			return result, true
		}
	}
	return Result{}, false
}
