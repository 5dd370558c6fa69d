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

// plottedWays are the ways whose course is drawn; the simple ways open flows
// by the same hashing, so one of them stands for all.
var plottedAlgorithms = []compare.AlgorithmName{compare.AlgorithmHashing, compare.AlgorithmChain, compare.AlgorithmLeastFlows, compare.AlgorithmLeastRequests}

// plot draws the courses of the first run.
func (size routingSize) plot(folder string) error {
	flows := func(point compare.TimelinePoint) float64 { return point.Flows }
	if err := size.plotTimeline(folder, "flows", "concurrent flows", flows); err != nil {
		return err
	}
	requests := func(point compare.TimelinePoint) float64 { return point.Requests }
	return size.plotTimeline(folder, "requests", "requests over 30 s", requests)
}

func (size routingSize) plotTimeline(folder, name, what string, figure func(compare.TimelinePoint) float64) error {
	drawing := plot.New()
	drawing.Title.Text = fmt.Sprintf("%s at %d targets", what, size.Targets)
	drawing.X.Label.Text = "seconds of virtual time"
	drawing.Y.Label.Text = "maximum over mean"
	drawing.Y.Min = 1
	drawing.Legend.Top = true
	drawing.Add(plotter.NewGrid())
	var lines []any
	for _, way := range plottedAlgorithms {
		if result, known := size.Runs[0].Result(way); known {
			lines = append(lines, string(way), timelinePoints(result, figure))
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

func timelinePoints(result compare.Result, figure func(compare.TimelinePoint) float64) plotter.XYs {
	points := make(plotter.XYs, len(result.Timeline))
	for index, point := range result.Timeline {
		points[index].X = point.Seconds
		points[index].Y = figure(point)
	}
	return points
}
