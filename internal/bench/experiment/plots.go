package experiment

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

// Dimensions of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// titlePadding separates the title from the edge and from the step labels.
	titlePadding = 3 * vg.Millimeter
)

// maximumSampleGap is the time between two points above which a line is split,
// because the target was not serving or could not be scraped in between.
const maximumSampleGap = 2 * sampleInterval

// minimumLabelGap is the time in seconds between two step labels below which
// they would overlap.
const minimumLabelGap = 0.6

// stepColor is the color of step lines and labels.
var stepColor = color.Gray{Y: 110}

// writePlots writes the charts of all services to folder as PNG files.
func (result Result) writePlots(folder string) error {
	for _, imbalance := range result.Imbalance {
		if err := result.plotService(folder, imbalance.Service); err != nil {
			return err
		}
	}
	return nil
}

// plotService writes the charts of one service.
func (result Result) plotService(folder, service string) error {
	connections := timeChart{
		name: "connections-" + service, title: "connections of each target of " + service,
		unit: "open connections", lines: result.connectionLines(service),
	}
	imbalance := timeChart{
		name: "imbalance-" + service, title: "imbalance of connections of " + service,
		unit: "maximum over mean", minimumY: 1,
		lines: [][]point{imbalanceSeries(result.Samples, service, connectionsOf)},
	}
	requests := timeChart{
		name: "requests-" + service, title: "imbalance of requests that run and wait at " + service,
		unit: "maximum over mean", minimumY: 1,
		lines: [][]point{imbalanceSeries(result.Samples, service, requestsOf)},
	}
	for _, chart := range []timeChart{connections, imbalance, requests} {
		if err := result.drawChart(folder, chart); err != nil {
			return fmt.Errorf("plot %s: %w", chart.name, err)
		}
	}
	return nil
}

// timeChart is a line chart over the time of the run.
type timeChart struct {
	name  string
	title string
	unit  string
	// minimumY is the lower end of the vertical axis.
	minimumY float64
	lines    [][]point
}

// maximumY returns the upper end of the vertical axis.
func (chart timeChart) maximumY() float64 {
	const headroom = 1.1
	highest := chart.minimumY
	for _, line := range chart.lines {
		for _, point := range line {
			highest = math.Max(highest, point.value)
		}
	}
	return chart.minimumY + max((highest-chart.minimumY)*headroom, 0.1)
}

func (result Result) drawChart(folder string, chart timeChart) error {
	drawing := plot.New()
	drawing.Title.Text = result.Name + ": " + chart.title
	drawing.Title.Padding = titlePadding
	drawing.X.Label.Text = "seconds of load"
	drawing.Y.Label.Text = chart.unit
	drawing.X.Min, drawing.X.Max = 0, result.Seconds
	drawing.Y.Min, drawing.Y.Max = chart.minimumY, chart.maximumY()
	if err := result.markSteps(drawing); err != nil {
		return err
	}
	for index, line := range chart.lines {
		for _, part := range splitAtGaps(line) {
			drawn, err := plotter.NewLine(xy(part))
			if err != nil {
				return err
			}
			drawn.Color = plotutil.Color(index)
			drawing.Add(drawn)
		}
	}
	// Adding a line changed the axis ranges to fit it, so set them again.
	drawing.X.Min, drawing.X.Max = 0, result.Seconds
	drawing.Y.Min, drawing.Y.Max = chart.minimumY, chart.maximumY()
	return save(drawing, folder, chart.name)
}

// markSteps draws a vertical line with a label at the time of each step.
func (result Result) markSteps(drawing *plot.Plot) error {
	var places plotter.XYLabels
	for _, step := range result.Steps {
		if step.At > result.Seconds {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: step.At, Y: drawing.Y.Min}, {X: step.At, Y: drawing.Y.Max}})
		if err != nil {
			return err
		}
		line.Color = stepColor
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		drawing.Add(line)
		places = addLabel(places, plotter.XY{X: step.At, Y: drawing.Y.Max}, string(step.Action))
	}
	if len(places.Labels) == 0 {
		return nil
	}
	labels, err := plotter.NewLabels(places)
	if err != nil {
		return err
	}
	for index := range labels.TextStyle {
		style := &labels.TextStyle[index]
		style.Color = stepColor
		style.Font.Size = vg.Points(7)
		style.Rotation = math.Pi / 2
		style.XAlign = text.XRight
		style.YAlign = text.YTop
	}
	drawing.Add(labels)
	return nil
}

// addLabel adds a label, or appends it to the previous one when the two would
// overlap.
func addLabel(places plotter.XYLabels, at plotter.XY, label string) plotter.XYLabels {
	last := len(places.Labels) - 1
	if last >= 0 && at.X-places.XYs[last].X < minimumLabelGap {
		if !strings.Contains(places.Labels[last], label) {
			places.Labels[last] += ", " + label
		}
		return places
	}
	places.XYs = append(places.XYs, at)
	places.Labels = append(places.Labels, label)
	return places
}

// connectionLines returns the open connections over time of each target of a
// service.
func (result Result) connectionLines(service string) [][]point {
	var lines [][]point
	for _, target := range targetsOf(result.Samples, service) {
		lines = append(lines, connectionSeries(result.Samples, target))
	}
	return lines
}

// splitAtGaps splits a series where samples are missing.
func splitAtGaps(series []point) [][]point {
	var parts [][]point
	begin := 0
	for index := 1; index < len(series); index++ {
		gap := time.Duration((series[index].at - series[index-1].at) * float64(time.Second))
		if gap > maximumSampleGap {
			parts = append(parts, series[begin:index])
			begin = index
		}
	}
	if begin < len(series) {
		parts = append(parts, series[begin:])
	}
	return parts
}

// targetsOf lists a service's targets in the order of their first sample.
func targetsOf(samples []Sample, service string) []string {
	seen := make(map[string]bool)
	var names []string
	for _, sample := range samples {
		for _, target := range sample.Targets {
			if target.Service == service && !seen[target.Target] {
				seen[target.Target] = true
				names = append(names, target.Target)
			}
		}
	}
	return names
}

func connectionSeries(samples []Sample, name string) []point {
	var series []point
	for _, sample := range samples {
		for _, target := range sample.Targets {
			if target.Target == name {
				series = append(series, point{at: sample.At, value: target.Connections})
			}
		}
	}
	return series
}

func xy(series []point) plotter.XYs {
	points := make(plotter.XYs, len(series))
	for index, point := range series {
		points[index].X = point.at
		points[index].Y = point.value
	}
	return points
}

func save(drawing *plot.Plot, folder, name string) error {
	path := filepath.Join(folder, name+".png")
	if err := drawing.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
