package experiment

import (
	"slices"
)

// Imbalance summarizes, over all samples, the ratio of the maximum to the mean
// over the serving targets of one service. One means perfectly even.
type Imbalance struct {
	Service string `json:"service"`
	// Connections is the imbalance of open connections.
	Connections Spread `json:"connections"`
	// Requests is the imbalance of running and waiting requests.
	Requests Spread `json:"requests"`
}

// Spread holds quantiles of a figure over the samples.
type Spread struct {
	Median float64 `json:"median"`
	P90    float64 `json:"p90"`
	Max    float64 `json:"max"`
	// Last is the figure of the last sample.
	Last float64 `json:"last"`
	// Samples is the number of samples with a value for the figure.
	Samples int `json:"samples"`
}

// imbalances returns the imbalance of each service over the samples.
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

// point is one value of a time series; at is in seconds since the start of the
// load.
type point struct{ at, value float64 }

// imbalanceSeries returns the ratio of maximum to mean for each sample in which
// the figure is above zero at one target of the service or more.
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

// spreadOf returns the quantiles, last value and length of a series.
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

// quantile returns the value below which the given fraction of the sorted values
// lies, or zero if there are none.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	index := int(fraction * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)]
}
