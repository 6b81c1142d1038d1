package queuesim

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Policy is a policy to compare. Either probePolicy or choose is set.
type Policy struct {
	// Name is the name of the policy in the table.
	Name string
	// probePolicy chooses with probes.
	probePolicy *picker.ProbePolicy
	// choose returns an endpoint at once, without probes.
	choose func(s *sim, e *entry, req *picker.Request, j *job) int32
}

// hintPeriod is the age at which an entry node renews the hints of its snapshot.
const hintPeriod = time.Second

// maxLoadPercent is the highest load of an endpoint that bounded rendezvous hashing
// allows, in percent of the mean load.
const maxLoadPercent = 125

// The policies to compare. Oracle is the reference: it has complete and current
// information.
var (
	RoundRobin       = Policy{Name: "round robin", choose: roundRobin}
	RandomTwo        = Policy{Name: "random of two, own counts", choose: randomTwo}
	LeastOutstanding = Policy{Name: "least outstanding, own counts", choose: leastOutstanding}
	Rendezvous       = Policy{Name: "rendezvous, bounded by own counts", choose: rendezvous}
	ProbeTwo         = Policy{Name: "probe 2 random", probePolicy: &picker.ProbePolicy{Random: 2}}
	ProbeFour        = Policy{Name: "probe 4 random", probePolicy: &picker.ProbePolicy{Random: 4}}
	ProbeNine        = Policy{Name: "probe 9 random", probePolicy: &picker.ProbePolicy{Random: 9}}
	ProbeHomes       = Policy{Name: "probe 2 homes", probePolicy: &picker.ProbePolicy{Homes: 2}}
	ProbeSmall       = Policy{Name: "probe 2 homes + 2 random", probePolicy: &picker.ProbePolicy{Homes: 2, Random: 2}}
	ProbeMiddle      = Policy{Name: "probe 4 homes + 2 random", probePolicy: &picker.ProbePolicy{Homes: 4, Random: 2}}
	ProbeDefault     = Policy{Name: "probe 4 homes + 4 random (default)", probePolicy: &picker.DefaultProbePolicy}
	ProbeMore        = Policy{Name: "probe 5 homes + 4 random", probePolicy: &picker.ProbePolicy{Homes: 5, Random: 4}}
	Oracle           = Policy{Name: "oracle, least work", choose: oracle}
)

// Policies lists them in the order of the table.
var Policies = []Policy{
	RoundRobin, RandomTwo, LeastOutstanding, Rendezvous, ProbeTwo, ProbeFour, ProbeNine,
	ProbeHomes, ProbeSmall, ProbeMiddle, ProbeDefault, ProbeMore, Oracle,
}

// entry is an entry node, which counts only its own requests.
type entry struct {
	rng         *rand.Rand
	snap        *picker.Snapshot
	domain      int
	next        int
	outstanding []int32
	total       int
	// hints are the last probe replies. The snapshot gets a copy every hintPeriod,
	// last at refreshedAt.
	hints       []picker.Load
	refreshedAt time.Duration
}

// recordHints stores the replies to probes as hints.
func (e *entry) recordHints(cands []picker.Candidate, now time.Time) {
	for k := range cands {
		load := cands[k].Load
		load.At = now
		e.hints[cands[k].Index] = load
	}
}

// refresh renews the hints of the snapshot once per hintPeriod.
func (e *entry) refresh(now time.Duration) {
	if now-e.refreshedAt < hintPeriod {
		return
	}
	e.refreshedAt = now
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
	maxOutstanding := int32(math.Ceil(float64((e.total+1)*maxLoadPercent) / float64(100*len(list))))
	best, bestScore := int32(-1), uint64(0)
	for _, i := range list {
		if e.outstanding[i] >= maxOutstanding {
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

// oracle chooses by the exact time to the first token: it sees every queue, cache and
// remaining time without delay.
func oracle(s *sim, e *entry, _ *picker.Request, j *job) int32 {
	cached := make([]*holders, len(j.prefixes))
	for k, prefix := range j.prefixes {
		cached[k] = s.holdersOf[prefix]
	}
	best, bestFirst, bestBusy := int32(-1), time.Duration(0), 0
	start := e.rng.IntN(len(s.engines))
	for k := range s.engines {
		g := s.engines[(start+k)%len(s.engines)]
		first := max(g.freeAt(s.now), g.promptFreeAt) + j.promptTime(matchedIn(cached, g.index)) + s.oneWay(e, g.index)
		busy := len(g.ends) + len(g.queue)
		if best < 0 || first < bestFirst || first == bestFirst && busy < bestBusy {
			best, bestFirst, bestBusy = g.index, first, busy
		}
	}
	return best
}

// matchedIn counts the prefixes that an endpoint has cached, starting from the
// shortest.
func matchedIn(cached []*holders, index int32) int {
	n := 0
	for k := len(cached) - 1; k >= 0; k-- {
		if !cached[k].has(index) {
			break
		}
		n++
	}
	return n
}
