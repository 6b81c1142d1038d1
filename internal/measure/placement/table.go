package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
)

// measureDays runs every candidate under every shape of demand and prints a table.
func measureDays(w io.Writer, g groupSize, workers int) error {
	var jobs []*job
	for _, shape := range drift.Shapes {
		for _, c := range candidates {
			jobs = append(jobs, &job{group: g, shape: shape, candidate: c})
		}
	}
	if err := run(jobs, workers); err != nil {
		return err
	}
	fmt.Fprintf(w, "## %s\n\n", g.name)
	return printJobs(w, jobs)
}

// measureOutage runs the policy for both objectives under the sudden changes of
// demand, with the weight store down from one minute before the second change until
// an hour after it, and prints a table.
func measureOutage(w io.Writer, workers int) error {
	down := [2]time.Duration{10*time.Hour - time.Minute, 11 * time.Hour}
	var jobs []*job
	for _, c := range candidates[len(candidates)-2:] {
		jobs = append(jobs, &job{group: smallGroup, shape: drift.Sudden, candidate: c, outage: down})
	}
	if err := run(jobs, workers); err != nil {
		return err
	}
	fmt.Fprintf(w, "## Weight store down from 09:59 to 11:00, %s\n\n", smallGroup.name)
	return printJobs(w, jobs)
}

// measureForecast runs the policy for both objectives with estimated load shares,
// with the true shares and with the true shares of ten minutes later, and prints a
// table.
func measureForecast(w io.Writer, workers int) error {
	var jobs []*job
	for _, shape := range []drift.Shape{drift.Slow, drift.Correlated} {
		for _, estimated := range candidates[len(candidates)-2:] {
			o := skewWeighted
			if estimated.target == moveTarget {
				o = moveWeighted
			}
			current, future := estimated, estimated
			current.name += ", shares known"
			current.newStrategy = perfectForecast(o, shape, 0)
			future.name += ", known 10 min ahead"
			future.newStrategy = perfectForecast(o, shape, 10*time.Minute)
			jobs = append(jobs, &job{group: smallGroup, shape: shape, candidate: estimated},
				&job{group: smallGroup, shape: shape, candidate: current},
				&job{group: smallGroup, shape: shape, candidate: future})
		}
	}
	if err := run(jobs, workers); err != nil {
		return err
	}
	fmt.Fprintf(w, "## Forecast, %s\n\n", smallGroup.name)
	return printJobs(w, jobs)
}

const tableHeader = `| demand | way | skew p50 | p95 | p99 | over bound p50 | p95 | p99 | GB a day | after 1st hour | changes | after 1st hour | recovery | stopped | in force p95 | decision p50 | p99 |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// printJobs prints a table with one row for each job.
func printJobs(w io.Writer, jobs []*job) error {
	var b strings.Builder
	b.WriteString(tableHeader)
	for _, j := range jobs {
		b.WriteString(row(j))
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// row returns the table row of a job.
func row(j *job) string {
	r := j.result
	return fmt.Sprintf("| %s | %s | %s | %s | %.1f | %.1f | %d | %d | %s | %s | %s | %s | %s |\n",
		j.shape, j.candidate.name, formatQuantiles(r.Skew), formatQuantiles(r.Ratio),
		float64(r.Bytes)/1e9, float64(r.Bytes-r.FirstHourBytes)/1e9, r.MapChanges, r.ChangesAfterFirstHour,
		formatRecovery(r.RecoveryTimes, r.Unrecovered), r.Downtime, durationQuantile(r.TimesToInForce, 0.95).Round(100*time.Millisecond),
		durationQuantile(r.DecisionTimes, 0.5).Round(10*time.Microsecond), durationQuantile(r.DecisionTimes, 0.99).Round(10*time.Microsecond))
}

// formatQuantiles formats the median, the 95th and the 99th percentile of values.
func formatQuantiles(values []float64) string {
	sorted := slices.Sorted(slices.Values(values))
	q := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, sorted, nil) }
	return fmt.Sprintf("%.3f | %.3f | %.3f", q(0.5), q(0.95), q(0.99))
}

// durationQuantile returns the quantile p of times, or 0 if there are none.
func durationQuantile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(p*float64(len(sorted)-1))]
}

// formatRecovery formats the times to recover from the start of the day and from
// each step change, and the number of step changes without a recovery.
func formatRecovery(times []time.Duration, unrecovered int) string {
	parts := make([]string, 0, len(times)+1)
	for _, t := range times {
		parts = append(parts, fmt.Sprintf("%.0f", t.Seconds()))
	}
	out := strings.Join(parts, ", ") + " s"
	if len(times) == 0 {
		out = ""
	}
	if unrecovered > 0 {
		out = strings.TrimSpace(fmt.Sprintf("%s (%d never)", out, unrecovered))
	}
	return out
}
