package main

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/shifts"
)

const (
	// shiftDay is the length of a simulated day with shifting demand.
	shiftDay = 34 * time.Second
	// shiftSeeds is the number of days that each planner plays.
	shiftSeeds = 6
)

// shiftPlanners returns the planners that are compared, in the order of the table.
func shiftPlanners(g shifts.Group) []struct {
	name string
	new  func() shifts.Planner
} {
	return []struct {
		name string
		new  func() shifts.Planner
	}{
		{"static map", func() shifts.Planner { return shifts.Static{} }},
		{"new solution each window, any number of loads", func() shifts.Planner { return shifts.Unlimited{Group: g} }},
		{"fixed time for loads", func() shifts.Planner { return &shifts.FixedTime{Group: g} }},
		{"current", func() shifts.Planner { return shifts.Current{Group: g} }},
		{"current, demand known ahead", func() shifts.Planner { return shifts.Foreseeing{Group: g} }},
	}
}

// measureShifts plays days on which the demand shifts every few seconds and prints a
// table of the skew that the planners' maps meet.
func measureShifts(w io.Writer, workers int) error {
	fmt.Fprintln(w, "| Group, sets x experts, a load | Planner | Mean skew | p95 | Late time | On time | Changes | Loads | A decision |\n|---|---|---|---|---|---|---|---|---|")
	for _, g := range shifts.Groups {
		planners := shiftPlanners(g)
		results := make([][shiftSeeds]shifts.Result, len(planners))
		var days errgroup.Group
		days.SetLimit(workers)
		for i, p := range planners {
			for seed := range shiftSeeds {
				days.Go(func() (err error) {
					results[i][seed], err = shifts.Play(g, uint64(seed), shiftDay, p.new())
					return err
				})
			}
		}
		if err := days.Wait(); err != nil {
			return err
		}
		for i, p := range planners {
			r := meanResult(results[i][:])
			fmt.Fprintf(w, "| %s | %s | %.2f | %.2f | %.1f%% | %.1f%% | %d | %d | %s |\n", g.Name, p.name, r.MeanSkew, r.P95Skew, 100*r.Late, 100*r.OnTime, r.Changes, r.Copies, r.DecisionTime.Round(100*time.Microsecond))
		}
	}
	return nil
}

// meanResult returns the mean of the results of several days.
func meanResult(days []shifts.Result) shifts.Result {
	var mean shifts.Result
	n := len(days)
	for _, d := range days {
		mean.MeanSkew += d.MeanSkew / float64(n)
		mean.P95Skew += d.P95Skew / float64(n)
		mean.Late += d.Late / float64(n)
		mean.OnTime += d.OnTime / float64(n)
		mean.Changes += d.Changes
		mean.Copies += d.Copies
		mean.DecisionTime += d.DecisionTime / time.Duration(n)
	}
	mean.Changes, mean.Copies = mean.Changes/n, mean.Copies/n
	return mean
}
