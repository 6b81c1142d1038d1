package main

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
)

// moveWeights are the weights of moves in the objectives on the curve. The
// weight of skew is 1.
var moveWeights = []float64{0.005, 0.05, 0.2, 0.5, 1, 2, 4, 8, 16}

// curveShapes are the shapes of demand on the curve.
var curveShapes = []drift.Shape{drift.Slow, drift.Sudden, drift.Viral, drift.Correlated}

// measureTradeOff runs the policy for the small group with each weight of moves,
// prints a table and draws the curve into an SVG file.
func measureTradeOff(w io.Writer, path string, workers int) error {
	var jobs []*job
	for _, shape := range curveShapes {
		for _, move := range moveWeights {
			o := deployment.Objective{Skew: 1, Move: move}
			name := fmt.Sprintf("skew 1, move %g", move)
			jobs = append(jobs, &job{group: smallGroup, shape: shape, candidate: candidate{name, skewTarget, policy(o)}})
		}
	}
	if err := run(jobs, workers); err != nil {
		return err
	}
	fmt.Fprintf(w, "## Trade-off, %s\n\n", smallGroup.name)
	if err := printJobs(w, jobs); err != nil {
		return err
	}
	return draw(path, jobs)
}

// draw draws one line for each shape of demand through the points of its jobs,
// in the order of the jobs.
func draw(path string, jobs []*job) error {
	p := plot.New()
	p.Title.Text = "Skew against bytes moved, " + smallGroup.name
	p.X.Label.Text = "bytes moved a day, GB"
	p.Y.Label.Text = "p95 of skew over its physical bound"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	lines := map[drift.Shape]plotter.XYs{}
	for _, j := range jobs {
		lines[j.shape] = append(lines[j.shape], j.point())
	}
	var series []any
	for _, shape := range curveShapes {
		series = append(series, string(shape), lines[shape])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	labels, err := plotter.NewLabels(weightLabels(lines[drift.Correlated]))
	if err != nil {
		return err
	}
	labels.Offset.X = vg.Points(4)
	labels.Offset.Y = vg.Points(4)
	p.Add(labels)
	return p.Save(20*vg.Centimeter, 13*vg.Centimeter, path)
}

// point returns the point of a job in the plot.
func (j *job) point() plotter.XY {
	sorted := slices.Sorted(slices.Values(j.result.Ratio))
	return plotter.XY{
		X: float64(j.result.Bytes) / 1e9,
		Y: stat.Quantile(0.95, stat.Empirical, sorted, nil),
	}
}

// weightLabels returns the labels that show the weight of moves at each point
// of a line.
func weightLabels(points plotter.XYs) plotter.XYLabels {
	out := plotter.XYLabels{XYs: points}
	for _, move := range moveWeights {
		out.Labels = append(out.Labels, fmt.Sprintf("%g", move))
	}
	return out
}
