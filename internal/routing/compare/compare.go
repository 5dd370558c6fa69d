package compare

import "golang.org/x/sync/errgroup"

// Comparison has the results of all algorithms for the same flows.
type Comparison struct {
	Seed    uint64 `json:"seed"`
	Targets int    `json:"targets"`
	// Flows is the number of planned flows.
	Flows   int      `json:"flows"`
	Results []Result `json:"results"`
}

// Run runs each algorithm with the same flows and changes, at most workers at a time. The results
// depend only on options and algorithms, not on workers.
func Run(options Options, algorithms []AlgorithmName, workers int) (Comparison, error) {
	if err := options.Validate(); err != nil {
		return Comparison{}, err
	}
	plans := planFlows(options)
	comparison := Comparison{
		Seed:    options.Seed,
		Targets: options.Targets,
		Flows:   len(plans),
		Results: make([]Result, len(algorithms)),
	}
	var group errgroup.Group
	group.SetLimit(max(1, workers))
	for index, name := range algorithms {
		group.Go(func() error {
			comparison.Results[index] = newRun(options, plans, name).execute()
			return nil
		})
	}
	return comparison, group.Wait()
}

// Result returns the result of the algorithm called name, and whether there is one.
func (comparison Comparison) Result(name AlgorithmName) (Result, bool) {
	for _, result := range comparison.Results {
		if result.Algorithm == name {
			return result, true
		}
	}
	return Result{}, false
}
