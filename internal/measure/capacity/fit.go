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

// point is one measurement: a cost at a size.
type point struct {
	size, cost float64
}

// series is one cost measured at several sizes.
type series struct {
	// name identifies the series; the plot's file is named after it.
	name string
	// x and y name the size and the cost with their units.
	x, y   string
	points []point
	// at is the size to extrapolate to, and limit the most that the cost may be
	// there; a limit of zero is none.
	at, limit float64
}

// line is a fitted line with its coefficient of determination.
type line struct {
	intercept, slope, fit float64
}

func (l line) at(size float64) float64 { return l.intercept + l.slope*size }

// line fits the points by least squares.
func (s *series) line() line {
	xs, ys := make([]float64, len(s.points)), make([]float64, len(s.points))
	for i, p := range s.points {
		xs[i], ys[i] = p.size, p.cost
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return line{intercept: intercept, slope: slope, fit: stat.RSquared(xs, ys, nil, intercept, slope)}
}

func (s *series) add(size, cost float64) {
	s.points = append(s.points, point{size: size, cost: cost})
}

// report collects the series of all parts.
type report struct {
	out   io.Writer
	plots string
	all   []*series
}

func (r *report) take(all ...*series) {
	for _, s := range all {
		var measured []string
		for _, p := range s.points {
			measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
		}
		fmt.Fprintf(r.out, "%s, %s by %s: %s\n", s.name, s.y, s.x, strings.Join(measured, ", "))
	}
	r.all = append(r.all, all...)
}

// table writes a Markdown table of all series.
func (r *report) table() {
	fmt.Fprintln(r.out, "\n| Cost | By | Measured (size: cost) | Line | R² | At | Cost there | Limit | Left |")
	fmt.Fprintln(r.out, "|---|---|---|---|---|---|---|---|---|")
	for _, s := range r.all {
		fmt.Fprintln(r.out, s.row())
	}
}

func (s *series) row() string {
	var measured []string
	for _, p := range s.points {
		measured = append(measured, fmt.Sprintf("%.4g: %.4g", p.size, p.cost))
	}
	l := s.line()
	cost := l.at(s.at)
	limit, left := "", ""
	if s.limit > 0 {
		limit = fmt.Sprintf("%.4g", s.limit)
		left = fmt.Sprintf("%.0f%%", 100*(1-cost/s.limit))
	}
	return fmt.Sprintf("| %s, %s | %s | %s | %.4g + %.4g n | %.3f | %.4g | %.4g | %s | %s |",
		s.name, s.y, s.x, strings.Join(measured, ", "), l.intercept, l.slope, l.fit, s.at, cost, limit, left)
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

func (s *series) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.x
	p.Y.Label.Text = s.y
	l := s.line()
	xys := make(plotter.XYs, len(s.points))
	for i, m := range s.points {
		xys[i] = plotter.XY{X: m.size, Y: m.cost}
	}
	dots, err := plotter.NewScatter(xys)
	if err != nil {
		return errors.Wrap(err, "plot the points of "+s.name)
	}
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: l.at(0)}, {X: s.at, Y: l.at(s.at)}})
	if err != nil {
		return errors.Wrap(err, "plot the line of "+s.name)
	}
	p.Add(dots, fitted)
	if s.limit > 0 {
		limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.limit}, {X: s.at, Y: s.limit}})
		if err != nil {
			return errors.Wrap(err, "plot the limit of "+s.name)
		}
		limit.Color = color.RGBA{R: 200, A: 255}
		p.Add(limit)
	}
	return errors.Wrap(p.Save(12*vg.Centimeter, 8*vg.Centimeter, file), "save "+file)
}
