package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// ReportPolicy chooses among endpoints that announced themselves and whose load is
// known without a probe. It answers a load in which many entry nodes send
// requests at the same time by reports that are some 100 ms old. Whoever took
// the least loaded endpoint by such a report would take it together with all
// other nodes. So ReportPolicy spreads the requests that all nodes send in the age of
// the reports: it fills the endpoints up to one common level, and draws each one
// in proportion to what it lacks to that level.
//
// It also answers a load in which a rank group has become slow, as all its ranks
// wait for a slow one: work goes there only once the groups that are in time have
// no room, and not at all if it could not end in its time. It is immutable and
// safe for concurrent use.
type ReportPolicy struct {
	// MaxQueue is how many requests beyond its slots an endpoint is given.
	MaxQueue float64
}

// DefaultReportPolicy lets an endpoint queue what it takes up within a pass or two.
var DefaultReportPolicy = ReportPolicy{MaxQueue: 2}

// ReportedEndpoint is what ReportPolicy knows of one endpoint.
type ReportedEndpoint struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Load estimates the requests that run and wait there.
	Load float64
	// Reported is true if a fresh report stands behind Load, Stale if there was
	// one and it is old.
	Reported, Stale bool
	// Local is true in the chooser's own failure domain.
	Local bool
	// Unhealthy is true if its work fails or is slow; it is taken only if no other
	// endpoint is left.
	Unhealthy bool
	// Excluded is true if it cannot serve now.
	Excluded bool
	// Tried is true if the request was there before.
	Tried bool
	// PassTime is the time of a pass of its group of late, zero for unknown; each
	// pass brings an event of a stream. PassElapsed is how long the pass under way has
	// taken.
	PassTime, PassElapsed time.Duration
	// Slowdown is how many times as long as others of its group it takes for the same
	// work; what is below 1 counts as 1.
	Slowdown float64
}

// Work is what ReportPolicy knows of a request.
type Work struct {
	// Unreported is how many requests of all nodes the endpoints' loads do not show
	// yet.
	Unreported float64
	// Passes is how many passes the request probably takes, zero for unknown.
	Passes float64
	// MaxGap is the longest pause between events that the caller bears, zero for no
	// stream.
	MaxGap time.Duration
	// Remaining is what is left of the caller's time.
	Remaining time.Duration
}

// lateGaps is from how many times the longest pause a pass counts as late: one
// long pass may follow from a few long prompts, and two nodes that each see the
// other group a little ahead must not drive all work to and fro.
const lateGaps = 1.5

// late reports whether a stream there pauses for too long.
func (w Work) late(e *ReportedEndpoint) bool {
	return w.MaxGap > 0 && max(e.PassTime, e.PassElapsed) > time.Duration(lateGaps*float64(w.MaxGap))
}

// hopelessTimes is how many times what is left of its time a request has to take
// for that: a group's slowness passes, and callers guess the size of an answer
// twice too high at times.
const hopelessTimes = 2

// hopeless reports whether the request would surely run out of time there.
func (w Work) hopeless(e *ReportedEndpoint) bool {
	return w.Remaining > 0 && w.Passes*e.PassTime.Seconds() > hopelessTimes*w.Remaining.Seconds()
}

// Choice is the outcome of ReportPolicy.Choose.
type Choice struct {
	// Index is the position of the chosen endpoint, -1 if there is none.
	Index int
	// Usable counts the endpoints that could serve, Full those of them without
	// room, TooSlow those that have room but not in time.
	Usable, Full, TooSlow int
	// Unhealthy is true if only ill endpoints were left.
	Unhealthy bool
}

// Choose picks an endpoint for one attempt.
//
// Where most endpoints report, one that does not has probably stopped, and its
// low load is what the chooser does not know: it counts as ill. Where few do,
// their reporters have stopped, and it counts as loaded as those that report.
func (d ReportPolicy) Choose(endpoints []ReportedEndpoint, work Work, rng *rand.Rand) Choice {
	judgeSilence(endpoints)
	choice := d.choose(endpoints, work, rng, false)
	if choice.Index >= 0 || choice.Full+choice.TooSlow > 0 {
		return choice
	}
	choice = d.choose(endpoints, work, rng, true)
	choice.Unhealthy = choice.Index >= 0
	return choice
}

// Unresponsive reports whether endpoint i has probably stopped: it no longer reports,
// while most others do.
func Unresponsive(endpoints []ReportedEndpoint, i int) bool {
	reported := 0
	for k := range endpoints {
		if endpoints[k].Reported {
			reported++
		}
	}
	return endpoints[i].Stale && 2*reported > len(endpoints)
}

// judgeSilence sets Unhealthy or Load of the endpoints that do not report.
func judgeSilence(endpoints []ReportedEndpoint) {
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

// choose picks among the sound endpoints, or among the ill ones too.
func (d ReportPolicy) choose(endpoints []ReportedEndpoint, work Work, rng *rand.Rand, ill bool) Choice {
	choice := Choice{Index: -1}
	open := make([]int, 0, len(endpoints))
	var late []int
	for i := range endpoints {
		e := &endpoints[i]
		if e.Excluded || e.Tried || (e.Unhealthy && !ill) {
			continue
		}
		choice.Usable++
		if e.Load >= float64(e.Slots)+d.MaxQueue {
			choice.Full++
			continue
		}
		switch {
		case work.hopeless(e):
			choice.TooSlow++
		case work.late(e):
			late = append(late, i)
		default:
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		open = late
	}
	if len(open) > 0 {
		choice.Index = draw(endpoints, open, work.Unreported, rng)
	}
	return choice
}

// draw takes one of the open endpoints in proportion to what it lacks to the
// common level.
func draw(endpoints []ReportedEndpoint, open []int, unseen float64, rng *rand.Rand) int {
	level := fillLevel(endpoints, open, max(unseen, 1))
	total := 0.0
	for _, i := range open {
		total += lack(&endpoints[i], level)
	}
	at := rng.Float64() * total
	for _, i := range open {
		if at -= lack(&endpoints[i], level); at < 0 {
			return i
		}
	}
	return open[len(open)-1]
}

// nearWeight is how many times as likely an endpoint of the own failure domain
// is taken as an equally loaded one elsewhere.
const nearWeight = 1.5

// lack is the weight of an endpoint: what it is below the level.
func lack(e *ReportedEndpoint, level float64) float64 {
	weight := max(level-e.Load, 0) / max(e.Slowdown, 1)
	if e.Local {
		weight *= nearWeight
	}
	return weight
}

// fillLevel is the load that the open endpoints reach if n requests fill the
// least loaded ones first. It sorts open by load.
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
