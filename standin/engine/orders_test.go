package engine

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

var (
	testShape   = expertmap.Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 3}
	testMembers = mapswitch.Ranks(0, 1)
)

// testGroup is a group of two ranks with a client of each rank's order API.
type testGroup struct {
	*Group
	clients []*engine.OrderClient
	engines []mapswitch.Engine
}

func startGroup(t *testing.T, checksFencing bool) *testGroup {
	g := &testGroup{Group: NewGroup(Options{
		Ranks: 2, StepTime: time.Millisecond, Slots: 1, CacheBlocks: 1, PrefillPerStep: 1, ChecksFencing: checksFencing,
		Shape: testShape, WindowSteps: 5, DriftSteps: 100, Seed: 1,
	})}
	t.Cleanup(g.Close)
	for i := range 2 {
		server := httptest.NewServer(g.Rank(i).Handler())
		t.Cleanup(server.Close)
		g.clients = append(g.clients, engine.NewOrderClient(strings.TrimPrefix(server.URL, "http://")))
		g.engines = append(g.engines, nil)
		g.attach(t, i)
	}
	return g
}

func (g *testGroup) attach(t *testing.T, rank int) mapswitch.Status {
	e, st, err := g.clients[rank].Attach(t.Context())
	assert.NilError(t, err)
	g.engines[rank] = e
	return st
}

// mapOf returns the static map as the given version. From version 2 on, rank 1
// holds expert 0 as well.
func mapOf(t *testing.T, version uint64) mapswitch.Map {
	m, err := expertmap.Static(testShape)
	assert.NilError(t, err)
	if version > 1 {
		draft := m.Edit()
		draft.Set(0, 1, 2, 0)
		m = draft.Map()
	}
	return mapswitch.Map{Ref: mapswitch.Ref{Version: version, Hash: "h"}, Data: string(m.Marshal())}
}

func (g *testGroup) load(t *testing.T, m mapswitch.Map) {
	for _, e := range g.engines {
		assert.NilError(t, e.Load(t.Context(), mapswitch.OrderLoad{Token: 1, Map: m}))
	}
}

func (g *testGroup) form(t *testing.T, epoch uint64) {
	m := mapOf(t, 1)
	g.load(t, m)
	rec := mapswitch.Record{Epoch: epoch, Members: testMembers, Map: m.Ref}
	for _, e := range g.engines {
		assert.NilError(t, e.Form(t.Context(), mapswitch.OrderForm{Token: 1, Record: rec}))
	}
}

// await polls until ok returns true or the test ends.
func await(t *testing.T, ok func() bool) {
	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal("the test ended")
		case <-time.After(time.Millisecond):
		}
	}
}

func step(t *testing.T, e mapswitch.Engine) uint64 {
	s, err := e.Step(t.Context())
	assert.NilError(t, err)
	return s
}

func TestAllRanksSwitchAtTheSameStep(t *testing.T) {
	g := startGroup(t, false)
	assert.Equal(t, g.Step(), int64(0))
	g.form(t, 1)
	m := mapOf(t, 2)
	g.load(t, m)
	p := mapswitch.Proposal{ID: mapswitch.ID{Token: 1, Seq: 1}, Epoch: 1, Members: testMembers, Map: m.Ref, Step: step(t, g.engines[0]) + 200}
	for _, e := range g.engines {
		ok, err := e.Hold(t.Context(), mapswitch.OrderHold{Token: 1, Proposal: p})
		assert.NilError(t, err)
		assert.Assert(t, ok)
	}
	await(t, func() bool { return step(t, g.engines[0]) == p.Step })
	assert.Equal(t, g.attach(t, 0).Held, p)
	assert.NilError(t, g.engines[0].Use(t.Context(), mapswitch.OrderUse{Token: 1, Proposal: p}))
	assert.Equal(t, step(t, g.engines[1]), p.Step, "a rank is still held")
	assert.NilError(t, g.engines[1].Use(t.Context(), mapswitch.OrderUse{Token: 1, Proposal: p}))
	await(t, func() bool { return step(t, g.engines[0]) > p.Step+5 })
	for i := range 2 {
		for _, s := range g.Rank(i).Steps() {
			assert.Assert(t, s.Loaded)
			assert.Equal(t, s.Map.Version == 2, s.Step >= p.Step, "rank %d step %d", i, s.Step)
		}
	}
	passed := p
	passed.Seq, passed.Step = 2, p.Step
	ok, err := g.engines[0].Hold(t.Context(), mapswitch.OrderHold{Token: 1, Proposal: passed})
	assert.NilError(t, err)
	assert.Assert(t, !ok, "the step of the hold has begun")
}

func TestOrdersOfAnEarlierSessionAreRejected(t *testing.T) {
	g := startGroup(t, false)
	g.form(t, 1)
	earlier := g.engines[0]
	g.attach(t, 0)
	before := len(g.Rank(0).Orders())
	_, err := earlier.Step(t.Context())
	assert.ErrorType(t, err, &engine.OrderError{})
	assert.ErrorType(t, earlier.Leave(t.Context(), mapswitch.OrderLeave{Epoch: 1}), &engine.OrderError{})
	assert.ErrorType(t, earlier.Load(t.Context(), mapswitch.OrderLoad{Map: mapOf(t, 2)}), &engine.OrderError{})
	assert.Equal(t, len(g.Rank(0).Orders()), before)
}

func TestOrdersWithLowerFencingTokensAreRejected(t *testing.T) {
	for _, checks := range []bool{false, true} {
		g := startGroup(t, checks)
		g.form(t, 1)
		release := func(token uint64) error {
			return g.engines[0].Release(t.Context(), mapswitch.OrderRelease{Token: token})
		}
		assert.NilError(t, release(5))
		assert.Equal(t, release(4) != nil, checks)
	}
}

func TestLoadIntoUsedSlotIsRejected(t *testing.T) {
	g := startGroup(t, false)
	g.form(t, 1)
	m, err := expertmap.Unmarshal([]byte(mapOf(t, 1).Data))
	assert.NilError(t, err)
	draft := m.Edit()
	draft.Set(0, 0, 0, 3)
	overlapping := mapswitch.Map{Ref: mapswitch.Ref{Version: 2}, Data: string(draft.Map().Marshal())}
	assert.ErrorType(t, g.engines[0].Load(t.Context(), mapswitch.OrderLoad{Token: 1, Map: overlapping}), &engine.OrderError{})
}

func TestCrashResetsEpochAndExperts(t *testing.T) {
	g := startGroup(t, false)
	g.form(t, 1)
	await(t, func() bool { return g.Step() > 0 })
	g.Rank(1).Crash()
	st := g.attach(t, 1)
	assert.Equal(t, st, mapswitch.Status{Engine: 2})
	stopped := step(t, g.engines[0])
	e, err := g.clients[1].Experts(t.Context(), -1)
	assert.NilError(t, err)
	assert.Equal(t, e.Loaded[0], uint16(expertmap.Empty))
	assert.Equal(t, step(t, g.engines[0]), stopped)
	g.load(t, mapOf(t, 1))
	g.form(t, 2)
	await(t, func() bool { return step(t, g.engines[1]) > 0 })
}

func TestExpertCountsHaveGaps(t *testing.T) {
	g := startGroup(t, false)
	g.form(t, 1)
	windows := make(map[int64]bool)
	last := int64(-1)
	await(t, func() bool {
		e, err := g.clients[0].Experts(t.Context(), last)
		assert.NilError(t, err)
		for _, w := range e.Windows {
			assert.Assert(t, w.Window > last)
			last = w.Window
			windows[last] = true
			assert.Equal(t, len(w.Counts), testShape.Layers*testShape.Experts)
		}
		return last > 40
	})
	assert.Assert(t, len(windows) <= int(last), "no window was lost")
}
