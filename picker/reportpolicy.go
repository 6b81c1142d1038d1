package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ReportPolicy chooses among endpoints whose load is known from reports, without a
// probe. It is designed for many entry nodes that choose at the same time from reports
// that are some 100 ms old: if each node chose the least loaded
// endpoint, all of them would choose the same one. ReportPolicy therefore spreads the
// requests that all nodes send within the age of a report. It computes the common load
// level that the endpoints would reach if these requests filled the least loaded ones
// first, and draws an endpoint with a weight proportional to its distance below that
// level.
//
// A whole rank group becomes slow when one of its ranks does, because all ranks wait
// for the slowest. Such a group gets requests only when the groups that are fast
// enough are full, and no request that it could not finish before the deadline.
//
// A ReportPolicy is immutable and safe for concurrent use.
type ReportPolicy struct {
	// MaxQueue is the number of requests that an endpoint may get in addition to
	// those that fill its slots.
	MaxQueue float64
}

// DefaultReportPolicy lets an endpoint queue as many requests as it can start within
// one or two passes.
var DefaultReportPolicy = ReportPolicy{MaxQueue: 2}

// ReportedEndpoint is the input of ReportPolicy for one endpoint.
type ReportedEndpoint struct {
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Load is the estimated number of requests that run or wait there.
	Load float64
	// Reported is true if Load comes from a fresh report. Stale is true if the
	// latest report is too old to use.
	Reported, Stale bool
	// Local is true if the endpoint is in this node's failure domain.
	Local bool
	// Unhealthy is true if requests fail there or it no longer reports. It is chosen
	// only if no other endpoint is left.
	Unhealthy bool
	// Excluded is true if the endpoint cannot serve now.
	Excluded bool
	// Tried is true if the request was sent to it before.
	Tried bool
	// PassTime is the recent duration of one engine pass of its rank group, zero if
	// unknown; each pass yields one event of a stream. PassElapsed is the time since
	// the current pass started.
	PassTime, PassElapsed time.Duration
	// Slowdown is the ratio of the endpoint's actual to its expected time for the same
	// work; above 1 the endpoint is slower than expected. Values below 1 count as 1.
	Slowdown float64
	// Cold is true if the endpoint sustains only a limited rate of requests for some time
	// after its start.
	Cold bool
}

// Work is the input of ReportPolicy for one request.
type Work struct {
	// Unreported is the number of requests from all nodes that the load reports do
	// not include yet.
	Unreported float64
	// Passes is the expected number of engine passes that the request takes, zero if
	// unknown.
	Passes float64
	// MaxGap is the longest acceptable pause between two events; zero if the request
	// is not a stream.
	MaxGap time.Duration
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// lateGapFactor is the multiple of MaxGap above which a pass counts as too slow. A
// few long prompts can make a single pass long, and a lower factor would let the
// load oscillate between two groups with similar pass times.
const lateGapFactor = 1.5

// exceedsMaxGap reports whether a stream at e would pause for too long.
func (w Work) exceedsMaxGap(e *ReportedEndpoint) bool {
	return w.MaxGap > 0 && max(e.PassTime, e.PassElapsed) > time.Duration(lateGapFactor*float64(w.MaxGap))
}

// cannotFinishFactor is the longest acceptable expected duration of a request at an
// endpoint, as a multiple of the remaining time. It is above 1 because slow groups
// recover, and callers at times overestimate the size of an answer by a factor of two.
const cannotFinishFactor = 2

// cannotFinish reports whether the request would almost certainly miss its deadline
// at e.
func (w Work) cannotFinish(e *ReportedEndpoint) bool {
	return w.Remaining > 0 && w.Passes*e.PassTime.Seconds() > cannotFinishFactor*w.Remaining.Seconds()
}

// Choice is the result of ReportPolicy.Choose.
type Choice struct {
	// Index is the position of the chosen endpoint, or -1 if there is none.
	Index int
	// Usable counts the endpoints that can serve, Full those of them without a free
	// place, and TooSlow those with a free place that could not finish the request in
	// time.
	Usable, Full, TooSlow int
	// Unhealthy is true if only unhealthy endpoints were left.
	Unhealthy bool
}

// Choose picks an endpoint for one attempt. It may set Unhealthy or Load of endpoints
// without a fresh report.
//
// If most endpoints report their load, one that no longer does is probably down and
// counts as unhealthy. If only few do, the processes that send the reports are
// probably down, and an endpoint without a report is assumed to have at least the mean
// load of those that report.
func (p ReportPolicy) Choose(endpoints []ReportedEndpoint, work Work, rng *rand.Rand) Choice {
	applyMissingReports(endpoints)
	choice := p.choose(endpoints, work, rng, false)
	if choice.Index >= 0 || choice.Full+choice.TooSlow > 0 {
		return choice
	}
	choice = p.choose(endpoints, work, rng, true)
	choice.Unhealthy = choice.Index >= 0
	return choice
}

// Unresponsive reports whether endpoint i is probably down: it no longer sends load
// reports, while most others do.
func Unresponsive(endpoints []ReportedEndpoint, i int) bool {
	reported := 0
	for k := range endpoints {
		if endpoints[k].Reported {
			reported++
		}
	}
	return endpoints[i].Stale && 2*reported > len(endpoints)
}

// applyMissingReports sets Unhealthy or Load of the endpoints without a fresh report.
func applyMissingReports(endpoints []ReportedEndpoint) {
	reported, load := 0, 0.0
	for i := range endpoints {
		if endpoints[i].Reported {
			reported++
			load += endpoints[i].Load
		}
	}
	if reported == 0 || reported == len(endpoints) {
		return
	}
	for i := range endpoints {
		e := &endpoints[i]
		switch {
		case e.Reported:
		case Unresponsive(endpoints, i):
			e.Unhealthy = true
		default:
			e.Load = max(e.Load, load/float64(reported))
		}
	}
}

// choose picks among the healthy endpoints, and also among the unhealthy ones if
// includeUnhealthy is set.
func (p ReportPolicy) choose(endpoints []ReportedEndpoint, work Work, rng *rand.Rand, includeUnhealthy bool) Choice {
	choice := Choice{Index: -1}
	open := make([]int, 0, len(endpoints))
	var slow []int
	for i := range endpoints {
		e := &endpoints[i]
		if e.Excluded || e.Tried || (e.Unhealthy && !includeUnhealthy) {
			continue
		}
		choice.Usable++
		if e.Load >= float64(e.Slots)+p.MaxQueue {
			choice.Full++
			continue
		}
		switch {
		case work.cannotFinish(e):
			choice.TooSlow++
		case work.exceedsMaxGap(e):
			slow = append(slow, i)
		default:
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		open = slow
	}
	if len(open) > 0 {
		choice.Index = drawWeighted(endpoints, open, work.Unreported, rng)
	}
	return choice
}

// drawWeighted draws one of the open endpoints, weighted by its distance below the
// common load level.
func drawWeighted(endpoints []ReportedEndpoint, open []int, unreported float64, rng *rand.Rand) int {
	level := fillLevel(endpoints, open, max(unreported, 1))
	total := 0.0
	for _, i := range open {
		total += weightBelow(&endpoints[i], level)
	}
	at := rng.Float64() * total
	for _, i := range open {
		if at -= weightBelow(&endpoints[i], level); at < 0 {
			return i
		}
	}
	return open[len(open)-1]
}

// localWeight is the weight of an endpoint in this node's failure domain relative to
// an equally loaded one elsewhere.
const localWeight = 1.5

// coldWeight is the weight of a cold endpoint relative to an equally loaded warm one. A
// failure domain that returns cold is empty, so that nearly all requests would go to it;
// it still fills first.
const coldWeight = 0.5

// weightBelow returns the weight of an endpoint for drawWeighted: its distance below
// the level, divided by its slowdown, raised if it is local and lowered if it is cold.
func weightBelow(e *ReportedEndpoint, level float64) float64 {
	weight := max(level-e.Load, 0) / max(e.Slowdown, 1)
	if e.Local {
		weight *= localWeight
	}
	if e.Cold {
		weight *= coldWeight
	}
	return weight
}

// fillLevel returns the common load that the open endpoints reach if n requests fill
// the least loaded ones first. It sorts open by load.
func fillLevel(endpoints []ReportedEndpoint, open []int, n float64) float64 {
	slices.SortFunc(open, func(a, b int) int { return cmp.Compare(endpoints[a].Load, endpoints[b].Load) })
	sum := 0.0
	for k, i := range open {
		sum += endpoints[i].Load
		level := (sum + n) / float64(k+1)
		if k+1 == len(open) || level <= endpoints[open[k+1]].Load {
			return level
		}
	}
	return 0
}
