package main

import (
	"fmt"
	"image/color"
	"io"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// point is the cost at one size.
type point struct {
	size, cost float64
}

// series is a cost that was measured, or computed from measurements, at several
// sizes.
type series struct {
	// name identifies the series in the table and is the name of the plot's file.
	name string
	// x and y describe the size and the cost, with their units.
	x, y   string
	points []point
	// designSize is the size to extrapolate to. limit is the highest acceptable
	// cost at that size, or 0 if there is none.
	designSize, limit float64
}

// line is a fitted line. rSquared is its coefficient of determination.
type line struct {
	intercept, slope, rSquared float64
}

func (l line) costAt(size float64) float64 { return l.intercept + l.slope*size }

// fitLine fits a line to the points by least squares.
func (s *series) fitLine() line {
	xs, ys := make([]float64, len(s.points)), make([]float64, len(s.points))
	for i, p := range s.points {
		xs[i], ys[i] = p.size, p.cost
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{intercept: intercept, slope: slope, rSquared: stat.RSquared(xs, ys, nil, intercept, slope)}
}

func (s *series) add(size, cost float64) {
	s.points = append(s.points, point{size: size, cost: cost})
}

// report collects the series of all parts and prints and draws them.
type report struct {
	out io.Writer
	// plots is the directory for the plots.
	plots string
	all   []*series
}

// add prints the points of series and adds the series to the report.
func (r *report) add(all ...*series) {
	for _, s := range all {
		var measured []string
		for _, p := range s.points {
			measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
		}
		fmt.Fprintf(r.out, "%s, %s by %s: %s\n", s.name, s.y, s.x, strings.Join(measured, ", "))
	}
	r.all = append(r.all, all...)
}

// printTable prints a Markdown table of all series.
func (r *report) printTable() {
	fmt.Fprintln(r.out, "\n| Cost | By | Measured (size: cost) | Line | R² | At | Cost there | Limit | Left |")
	fmt.Fprintln(r.out, "|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.all {
		fmt.Fprintln(r.out, s.row())
	}
}

// row returns the table row of a series.
func (s *series) row() string {
	var measured []string
	for _, p := range s.points {
		measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
	}
	l := s.fitLine()
	cost := l.costAt(s.designSize)
	limit, left := "", ""
	if s.limit > 0 {
		limit = fmt.Sprintf("%.4g", s.limit)
		left = fmt.Sprintf("%.0f%%", 100*(1-cost/s.limit))
	}
	return fmt.Sprintf("| %s, %s | %s | %s | %.4g + %.4g n | %.3f | %.4g | %.4g | %s | %s |",
		s.name, s.y, s.x, strings.Join(measured, ", "), l.intercept, l.slope, l.rSquared, s.designSize, cost, limit, left)
}

// draw writes one plot for each series.
func (r *report) draw() error {
	for _, s := range r.all {
		if err := s.draw(filepath.Join(r.plots, s.name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// draw draws the points, the fitted line and the limit.
func (s *series) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.x
	p.Y.Label.Text = s.y
	l := s.fitLine()
	xys := make(plotter.XYs, len(s.points))
	for i, measured := range s.points {
		xys[i] = plotter.XY{X: measured.size, Y: measured.cost}
	}
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return errors.Wrap(err, "plot the points of "+s.name)
	}
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: l.costAt(0)}, {X: s.designSize, Y: l.costAt(s.designSize)}})
	if err != nil {
		return errors.Wrap(err, "plot the line of "+s.name)
	}
	p.Add(dots, fitted)
	if s.limit > 0 {
		limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.limit}, {X: s.designSize, Y: s.limit}})
		if err != nil {
			return errors.Wrap(err, "plot the limit of "+s.name)
		}
		limit.Color = color.RGBA{R: 200, A: 255}
		p.Add(limit)
	}
	return errors.Wrap(p.Save(12*vg.Centimeter, 8*vg.Centimeter, file), "save "+file)
}
