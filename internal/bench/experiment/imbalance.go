package experiment

import (
	"slices"
)

// Imbalance sums up the maximum over the mean of the serving targets of one
// service, over all samples.
type Imbalance struct {
	Service string `json:"service"`
	// Connections is the imbalance of open connections.
	Connections Spread `json:"connections"`
	// Requests is the imbalance of requests running and waiting.
	Requests Spread `json:"requests"`
}

// Spread gives quantiles of a figure over the samples.
type Spread struct {
	Median float64 `json:"median"`
	P90    float64 `json:"p90"`
	Max    float64 `json:"max"`
	// Last is the figure of the last sample.
	Last float64 `json:"last"`
	// Samples is the number of samples that the figure has.
	Samples int `json:"samples"`
}

// imbalances sums up the samples of each service.
func imbalances(samples []Sample, services []string) []Imbalance {
	var all []Imbalance
	for _, service := range services {
		all = append(all, Imbalance{
			Service:     service,
			Connections: spreadOf(imbalanceSeries(samples, service, connectionsOf)),
			Requests:    spreadOf(imbalanceSeries(samples, service, requestsOf)),
		})
	}
	return all
}

func connectionsOf(target TargetSample) float64 { return target.Connections }

func requestsOf(target TargetSample) float64 { return target.Running + target.Waiting }

// point is one value of a series.
type point struct{ at, value float64 }

// seriesOf returns maximum over mean for each sample in which the service's
// targets had anything.
func imbalanceSeries(samples []Sample, service string, figure func(TargetSample) float64) []point {
	var series []point
	for _, sample := range samples {
		total, highest, count := 0.0, 0.0, 0
		for _, target := range sample.Targets {
			if target.Service != service {
				continue
			}
			total += figure(target)
			highest = max(highest, figure(target))
			count++
		}
		if total > 0 {
			series = append(series, point{at: sample.At, value: highest * float64(count) / total})
		}
	}
	return series
}

// spreadOf returns the quantiles of a series.
func spreadOf(series []point) Spread {
	if len(series) == 0 {
		return Spread{}
	}
	var values []float64
	for _, point := range series {
		values = append(values, point.value)
	}
	last := values[len(values)-1]
	slices.Sort(values)
	return Spread{
		Median:  quantile(values, 0.5),
		P90:     quantile(values, 0.9),
		Max:     values[len(values)-1],
		Last:    last,
		Samples: len(values),
	}
}

// quantile returns the value below which the given part of sorted values lies.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := int(fraction * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
