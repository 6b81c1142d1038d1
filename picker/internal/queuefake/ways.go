package queuefake

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Way is a way of picking. A way that probes returns candidates; one that does
// not returns its choice at once.
type Way struct {
	// Name is the way's name in the table.
	Name string
	// probed is the policy of a way that probes.
	probed *picker.ProbePolicy
	// direct chooses by the entry's own view.
	direct func(s *sim, e *entry, req *picker.Request, j *job) int32
}

// hintPeriod is the age at which an entry renews its snapshot's hints.
const hintPeriod = time.Second

// boundPercent is the share of the mean load that bounded rendezvous allows.
const boundPercent = 125

// The ways compared.
var (
	RoundRobin       = Way{Name: "round robin", direct: roundRobin}
	RandomTwo        = Way{Name: "random of two, own counts", direct: randomTwo}
	LeastOutstanding = Way{Name: "least outstanding, own counts", direct: leastOutstanding}
	Rendezvous       = Way{Name: "rendezvous, bounded by own counts", direct: rendezvous}
	ProbeTwo         = Way{Name: "probe 2 random", probed: &picker.ProbePolicy{Random: 2}}
	ProbeFour        = Way{Name: "probe 4 random", probed: &picker.ProbePolicy{Random: 4}}
	ProbeNine        = Way{Name: "probe 9 random", probed: &picker.ProbePolicy{Random: 9}}
	ProbeHomes       = Way{Name: "probe 2 homes", probed: &picker.ProbePolicy{Homes: 2}}
	ProbeSmall       = Way{Name: "probe 2 homes + 2 random", probed: &picker.ProbePolicy{Homes: 2, Random: 2}}
	ProbeMiddle      = Way{Name: "probe 4 homes + 2 random", probed: &picker.ProbePolicy{Homes: 4, Random: 2}}
	ProbeDefault     = Way{Name: "probe 4 homes + 4 random (default)", probed: &picker.DefaultProbePolicy}
	ProbeMore        = Way{Name: "probe 5 homes + 4 random", probed: &picker.ProbePolicy{Homes: 5, Random: 4}}
	AllKnowing       = Way{Name: "all-knowing least work", direct: allKnowing}
)

// Ways lists them in the order of the table.
var Ways = []Way{
	RoundRobin, RandomTwo, LeastOutstanding, Rendezvous, ProbeTwo, ProbeFour, ProbeNine,
	ProbeHomes, ProbeSmall, ProbeMiddle, ProbeDefault, ProbeMore, AllKnowing,
}

// entry is an entry node with its own counts.
type entry struct {
	rng         *rand.Rand
	snap        *picker.Snapshot
	domain      int
	next        int
	outstanding []int32
	total       int
	// hints are the last answers to probes; the snapshot gets a copy each
	// hintPeriod.
	hints     []picker.Load
	refreshed time.Duration
}

// learn keeps the answers to probes as hints.
func (e *entry) learn(cands []picker.Candidate, now time.Time) {
	for k := range cands {
		load := cands[k].Load
		load.At = now
		e.hints[cands[k].Index] = load
	}
}

// refresh gives the hints to the snapshot when they have become old.
func (e *entry) refresh(now time.Duration) {
	if now-e.refreshed < hintPeriod {
		return
	}
	e.refreshed = now
	e.snap = e.snap.WithHints(slices.Clone(e.hints), epoch.Add(now))
}

func roundRobin(_ *sim, e *entry, req *picker.Request, _ *job) int32 {
	list := e.snap.Eligible(req)
	e.next++
	return list[e.next%len(list)]
}

func randomTwo(_ *sim, e *entry, req *picker.Request, _ *job) int32 {
	list := e.snap.Eligible(req)
	a := list[e.rng.IntN(len(list))]
	b := list[e.rng.IntN(len(list))]
	if e.outstanding[b] < e.outstanding[a] {
		return b
	}
	return a
}

func leastOutstanding(_ *sim, e *entry, req *picker.Request, _ *job) int32 {
	list := e.snap.Eligible(req)
	start := e.rng.IntN(len(list))
	best := list[start]
	for k := range list {
		i := list[(start+k)%len(list)]
		if e.outstanding[i] < e.outstanding[best] {
			best = i
		}
	}
	return best
}

func rendezvous(_ *sim, e *entry, req *picker.Request, j *job) int32 {
	list := e.snap.Eligible(req)
	bound := int32(math.Ceil(float64((e.total+1)*boundPercent) / float64(100*len(list))))
	best, bestScore := int32(-1), uint64(0)
	for _, i := range list {
		if e.outstanding[i] >= bound {
			continue
		}
		score := xxhash.Sum64String(e.snap.Name(i)) ^ j.prefixes[0]
		score *= prefixMultiplier
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// allKnowing sees every queue, cache and remaining time without delay.
func allKnowing(s *sim, e *entry, _ *picker.Request, j *job) int32 {
	held := make([]*holders, len(j.prefixes))
	for k, prefix := range j.prefixes {
		held[k] = s.holding[prefix]
	}
	best, bestFirst, bestBusy := int32(-1), time.Duration(0), 0
	start := e.rng.IntN(len(s.engines))
	for k := range s.engines {
		g := s.engines[(start+k)%len(s.engines)]
		first := max(g.freeAt(s.now), g.promptFree) + j.prompt(matchedIn(held, g.index)) + s.oneWay(e, g.index)
		busy := len(g.ends) + len(g.queue)
		if best < 0 || first < bestFirst || first == bestFirst && busy < bestBusy {
			best, bestFirst, bestBusy = g.index, first, busy
		}
	}
	return best
}

func matchedIn(held []*holders, index int32) int {
	n := 0
	for k := len(held) - 1; k >= 0; k-- {
		if !held[k].has(index) {
			break
		}
		n++
	}
	return n
}
