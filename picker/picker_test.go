package picker_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/picker/internal/queuesim"
)

var (
	now      = time.Unix(1_000_000, 0)
	locality = picker.Locality{FailureDomain: "domain-0", Region: "region-0"}
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func drafts() *picker.Request {
	return &picker.Request{
		Model:    "drafts",
		Prefixes: []picker.Prefix{{Hash: 11, Prefill: 150 * time.Millisecond}, {Hash: 5, Prefill: 100 * time.Millisecond}},
		Prefill:  170 * time.Millisecond,
		Now:      now,
	}
}

// share counts how often each endpoint is a candidate in 2000 picks with the default
// policy.
func share(t *testing.T, snap *picker.Snapshot, req *picker.Request) map[string]int {
	t.Helper()
	return shareOf(t, picker.DefaultProbePolicy, snap, req)
}

// shareOf counts how often each endpoint is a candidate in 2000 picks with policy.
func shareOf(t *testing.T, policy picker.ProbePolicy, snap *picker.Snapshot, req *picker.Request) map[string]int {
	t.Helper()
	rng := newRand()
	seen := make(map[string]int)
	for k := range 2000 {
		req.Prefixes[0].Hash, req.Prefixes[1].Hash = uint64(k), uint64(k%50)
		cands, err := policy.Candidates(snap, req, rng, nil)
		assert.NilError(t, err)
		for _, c := range cands {
			seen[snap.Name(c.Index)]++
		}
	}
	return seen
}

func TestDrainedAndLeavingEndpointsAreNotChosen(t *testing.T) {
	d := queuesim.Deployment(24, 6)
	d.Endpoints[1].Weight = 0
	d.Weights = []deployment.Weight{
		{Scope: deployment.ScopeFailureDomain, Name: "domain-2", Percent: 0},
		{Scope: deployment.ScopeVM, Name: "vm-3", Percent: 0},
	}
	states := map[string]picker.State{"engine-4": {Health: picker.HealthLeaving}}
	seen := share(t, picker.NewSnapshot(d, 1, locality, states, now), drafts())
	for _, i := range []int{1, 2, 8, 14, 20, 3, 4} {
		assert.Equal(t, seen["engine-"+strconv.Itoa(i)], 0, "engine-%d", i)
	}
	assert.Assert(t, seen["engine-0"] > 0)
}

func TestNoEndpointCause(t *testing.T) {
	d := queuesim.Deployment(3, 3)
	tried := drafts()
	tried.Tried = []string{"engine-0", "engine-1", "engine-2", "gone"}
	unknown := drafts()
	unknown.Model = "other"
	drained := queuesim.Deployment(1, 1)
	drained.Endpoints[0].Weight = 0
	decode := drafts()
	decode.Role = deployment.RoleDecode
	prefillOnly := queuesim.Deployment(1, 1)
	prefillOnly.Endpoints[0].Role = deployment.RolePrefill
	for _, c := range []struct {
		name string
		d    *deployment.Deployment
		req  *picker.Request
		want picker.Cause
	}{
		{"tried", d, tried, picker.CauseTried},
		{"unknown", d, unknown, picker.CauseUnknown},
		{"drained", drained, drafts(), picker.CauseDrained},
		{"role", prefillOnly, decode, picker.CauseUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := picker.DefaultProbePolicy.Candidates(picker.NewSnapshot(c.d, 1, locality, nil, now), c.req, newRand(), nil)
			var none *picker.NoEndpointError
			assert.Assert(t, errors.As(err, &none))
			assert.Equal(t, none.Cause, c.want)
		})
	}
}

func TestTriedEndpointsAreExcluded(t *testing.T) {
	snap := picker.NewSnapshot(queuesim.Deployment(4, 1), 1, locality, nil, now)
	req := drafts()
	req.Tried = []string{"engine-0", "engine-2", "engine-3"}
	cands, err := picker.DefaultProbePolicy.Candidates(snap, req, newRand(), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(cands), 1)
	assert.Equal(t, snap.Name(cands[0].Index), "engine-1")
}

func TestUnhealthyEndpointsAreUsedIfMostAreUnhealthy(t *testing.T) {
	d := queuesim.Deployment(10, 1)
	withUnhealthy := func(n int) *picker.Snapshot {
		states := make(map[string]picker.State)
		for i := range n {
			states["engine-"+strconv.Itoa(i)] = picker.State{Health: picker.HealthDead}
		}
		return picker.NewSnapshot(d, 1, locality, states, now)
	}
	seen := share(t, withUnhealthy(5), drafts())
	assert.Equal(t, seen["engine-0"], 0)
	seen = share(t, withUnhealthy(6), drafts())
	assert.Assert(t, seen["engine-0"] > 0, "unhealthy endpoints are excluded although most are unhealthy")
	snap := withUnhealthy(10)
	cands, err := picker.DefaultProbePolicy.Candidates(snap, drafts(), newRand(), nil)
	assert.NilError(t, err)
	assert.Equal(t, cands[0].Reason, picker.ReasonUnhealthy)
	last := len(cands) - 1
	cands[last].Answered = true
	cands[last].Load = picker.Load{Slots: 16, Running: 16, Wait: time.Second}
	pick, err := picker.DefaultProbePolicy.Choose(snap, drafts(), cands)
	assert.NilError(t, err)
	assert.Equal(t, pick.Index, cands[last].Index, "an endpoint without a probe reply was preferred to one with a reply")
}

func TestNewEndpointsStartSlowly(t *testing.T) {
	d := queuesim.Deployment(20, 1)
	states := map[string]picker.State{"engine-0": {Since: now}}
	policy := picker.ProbePolicy{Random: 1}
	young := shareOf(t, policy, picker.NewSnapshot(d, 1, locality, states, now), drafts())["engine-0"]
	old := shareOf(t, policy, picker.NewSnapshot(d, 1, locality, states, now.Add(time.Minute)), drafts())["engine-0"]
	assert.Assert(t, young > 0)
	assert.Assert(t, young*4 < old, "young %d, old %d", young, old)
}

func TestNearbyFirstAndSpillByLoad(t *testing.T) {
	d := queuesim.Deployment(60, 6)
	snap := picker.NewSnapshot(d, 1, locality, nil, now)
	far := func(snap *picker.Snapshot) (n int) {
		for name, count := range share(t, snap, drafts()) {
			i, _ := snap.Index(name)
			if d.Endpoints[i].Region != locality.Region {
				n += count
			}
		}
		return n
	}
	assert.Equal(t, far(snap), 0)
	hints := slices.Repeat([]picker.Load{{Running: 16, Slots: 16, At: now}}, 60)
	assert.Assert(t, far(snap.WithHints(hints, now)) > 0, "no far endpoint is probed although the nearby ones are overloaded")
	assert.Equal(t, far(snap.WithHints(hints, now.Add(time.Hour))), 0, "outdated hints were used")
}

func TestHomesAreStableWhenAnotherEndpointLeaves(t *testing.T) {
	d := queuesim.Deployment(100, 1)
	policy := picker.ProbePolicy{Homes: 1}
	before := picker.NewSnapshot(d, 1, locality, nil, now)
	after := picker.NewSnapshot(d, 1, locality, map[string]picker.State{"engine-7": {Health: picker.HealthLeaving}}, now)
	for k := range uint64(1000) {
		req := &picker.Request{Model: "drafts", Prefixes: []picker.Prefix{{Hash: k}}}
		was, err := policy.Candidates(before, req, newRand(), nil)
		assert.NilError(t, err)
		is, err := policy.Candidates(after, req, newRand(), nil)
		assert.NilError(t, err)
		if before.Name(was[0].Index) != "engine-7" {
			assert.Equal(t, is[0].Index, was[0].Index)
		}
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	for _, n := range []int{16, 600} {
		snap := picker.NewSnapshot(queuesim.Deployment(n, 3), 1, locality, nil, now)
		req, rng := drafts(), newRand()
		dst := make([]picker.Candidate, 0, 16)
		allocs := testing.AllocsPerRun(100, func() {
			cands, _ := picker.DefaultProbePolicy.Candidates(snap, req, rng, dst)
			_, _ = picker.DefaultProbePolicy.Choose(snap, req, cands)
		})
		assert.Equal(t, allocs, 0.0, "%d endpoints", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			snap := picker.NewSnapshot(queuesim.Deployment(n, 3), 1, locality, nil, now)
			req, rng := drafts(), newRand()
			dst := make([]picker.Candidate, 0, 16)
			b.ReportAllocs()
			for k := range b.N {
				req.Prefixes[0].Hash = uint64(k)
				cands, _ := picker.DefaultProbePolicy.Candidates(snap, req, rng, dst)
				_, _ = picker.DefaultProbePolicy.Choose(snap, req, cands)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	d := queuesim.Deployment(600, 6)
	for b.Loop() {
		picker.NewSnapshot(d, 1, locality, nil, now)
	}
}
