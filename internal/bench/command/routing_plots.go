package command

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"merlinpaddle/internal/routing/compare"
)

// Size of plots.
const (
	routingPlotWidth  = 22 * vg.Centimeter
	routingPlotHeight = 11 * vg.Centimeter
)

// plottedAlgorithms are the algorithms whose timelines are plotted. The simple algorithms place new
// flows by the same hashing, so one of them stands for all.
var plottedAlgorithms = []compare.AlgorithmName{compare.AlgorithmHashing, compare.AlgorithmChain, compare.AlgorithmLeastFlows, compare.AlgorithmLeastRequests}

// plot writes plots of the first run: the maximum over the mean of targets' concurrent flows and of
// their requests, over time.
func (size routingSize) plot(folder string) error {
	flows := func(point compare.TimelinePoint) float64 { return point.Flows }
	if err := size.plotTimeline(folder, "flows", "concurrent flows", flows); err != nil {
		return err
	}
	requests := func(point compare.TimelinePoint) float64 { return point.Requests }
	return size.plotTimeline(folder, "requests", "requests over 30 s", requests)
}

func (size routingSize) plotTimeline(folder, name, quantity string, value func(compare.TimelinePoint) float64) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("%s at %d targets", quantity, size.Targets)
	drawing.X.Label.Text = "seconds of virtual time"
	drawing.Y.Label.Text = "maximum over mean"
	drawing.Y.Min = 1
	drawing.Legend.Top = true
	drawing.Add(plotter.NewGrid())
	var lines []any
	for _, algorithm := range plottedAlgorithms {
		if result, known := size.Runs[0].Result(algorithm); known {
			lines = append(lines, string(algorithm), timelinePoints(result, value))
		}
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	path := filepath.Join(folder, fmt.Sprintf("routing-%s-%d.png", name, size.Targets))
	if err := drawing.Save(routingPlotWidth, routingPlotHeight, path); err != nil {
		return fmt.Errorf("write plot %s: %w", path, err)
	}
	return nil
}

func timelinePoints(result compare.Result, value func(compare.TimelinePoint) float64) plotter.XYs {
	points := make(plotter.XYs, len(result.Timeline))
	for index, point := range result.Timeline {
		points[index].X = point.Seconds
		points[index].Y = value(point)
	}
	return points
}
