package rankgroup

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// recordingEngine is an engine that is prepared for the map of each Prepare order.
type recordingEngine struct {
	mu       sync.Mutex
	prepared expertmap.Map
	state    State
}

func (e *recordingEngine) State(context.Context) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *recordingEngine) Counts(context.Context) (Counts, error) { return Counts{}, nil }

func (e *recordingEngine) Experts(context.Context) (uint64, [][]expertmap.Expert, error) {
	return 0, nil, errors.New("not asked for")
}

func (e *recordingEngine) Order(_ context.Context, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prepared, e.state.PreparedVersion = o.Map, o.Version
	return nil
}

// TestMapsAreSentAsChanges guards against whole maps on the link of the leader's VM:
// for 96 ranks they took more than two seconds of a 6 Mbit/s link, and the demand
// shifted before the switch. An agent that does not have the map to which a change
// refers, because it has restarted, gets one that it can decode.
func TestMapsAreSentAsChanges(t *testing.T) {
	shape := expertmap.Shape{Layers: 16, Experts: 192, Ranks: 96, Slots: 5}
	formed, err := expertmap.InTurn(shape)
	assert.NilError(t, err)
	engine := &recordingEngine{state: State{Group: "g", Epoch: 1, Size: 96, Rank: 1}}
	newAgent := func() *Agent {
		return &Agent{reconciler: NewReconciler(engine), log: slog.New(slog.DiscardHandler)}
	}
	agent := newAgent()
	largest := int64(0)
	server := httptest.NewServer(nil)
	defer server.Close()
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		largest = max(largest, r.ContentLength)
		agent.serveGoal(w, r)
	})
	send := func(base expertmap.Map, version uint64, m expertmap.Map) {
		t.Helper()
		c := &httpGroupClient{
			client: server.Client(), addresses: []string{"", strings.TrimPrefix(server.URL, "http://")},
			log: agent.log, base: base,
		}
		largest = 0
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		state, err := c.Ensure(ctx, 1, Goal{Kind: GoalPrepared, Token: version, Epoch: 1, Version: version, Map: m.Marshal()})
		assert.NilError(t, err)
		assert.Equal(t, state.PreparedVersion, version)
		assert.Assert(t, engine.prepared.Equal(m))
	}
	edit := func(m expertmap.Map, e expertmap.Expert) expertmap.Map {
		draft := m.Edit()
		for rank := range shape.Ranks {
			// The first map gives each rank the experts rank and rank+96 of a layer.
			draft.Set(rank%16, rank, 4, (expertmap.Expert(rank)+e)%96)
		}
		return draft.Map().Normalize()
	}
	first := edit(formed, 7)
	send(expertmap.Map{}, 10, first)
	assert.Assert(t, largest < 2<<10, "%d bytes", largest)
	second := edit(first, 9)
	send(first, 20, second)
	assert.Assert(t, largest < 2<<10, "%d bytes", largest)
	agent = newAgent()
	engine.state.PreparedVersion = 0
	third := edit(second, 11)
	send(second, 30, third)
	send(third, 40, edit(third, 12))
	assert.Assert(t, largest < 2<<10, "%d bytes", largest)
}

// TestMapCacheIsBounded: an agent keeps the latest maps only.
func TestMapCacheIsBounded(t *testing.T) {
	shape := expertmap.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3}
	m, err := expertmap.Static(shape)
	assert.NilError(t, err)
	var c mapCache
	for version := range uint64(10) {
		c.add(version+1, m)
		c.add(version+1, m)
	}
	assert.Equal(t, len(c.maps), cachedMaps)
	_, err = c.base(10, shape)
	assert.NilError(t, err)
	var unknown *UnknownBaseError
	_, err = c.base(1, shape)
	assert.Assert(t, errors.As(err, &unknown))
	other := shape
	other.Ranks = 4
	_, err = c.base(10, other)
	assert.Assert(t, errors.As(err, &unknown), "a map of another shape is no base")
}

// TestDemandTurns: the demand of all ranks of a large group fits the leader's link, and
// each reports within a second.
func TestDemandTurns(t *testing.T) {
	for _, g := range []struct{ ranks, length int }{{8, 6 * 64}, {24, 16 * 96}, {72, 12 * 144}, {96, 16 * 192}} {
		turns, period := demandTurns(g.ranks, g.length), reportPeriodOf(g.ranks)
		bytes := float64(g.ranks*g.length/2) / (float64(turns) * period.Seconds())
		assert.Assert(t, bytes <= maxDemandRate, "%d ranks: %g bytes a second", g.ranks, bytes)
		assert.Assert(t, time.Duration(turns)*period <= time.Second, "%d ranks: %d turns", g.ranks, turns)
	}
	assert.Equal(t, demandTurns(8, 6*64), 1, "small groups report each time")
}

// TestDueDemand: a rank of a large group sends its demand once in its turns, and the
// demand is that of the last period, not of all turns.
func TestDueDemand(t *testing.T) {
	experts := &route.Experts{Layers: 16, ExpertsPerLayer: 192}
	engine := &countingEngine{counts: make([]uint64, 16*192)}
	a := &Agent{engine: engine, log: slog.New(slog.DiscardHandler)}
	a.engineModel.Store(&route.Engine{Experts: experts, StepsPerPass: 8})
	state := State{Rank: 3, Size: 96, Running: 4, Epoch: 1}
	turns := demandTurns(96, 16*192)
	assert.Assert(t, turns > 2)
	sent, last := 0, 0
	for period := range 4 * turns {
		// The choices of each period are those of another expert.
		engine.step++
		for layer := range 16 {
			engine.counts[layer*192+period%192] += 1000
		}
		if demand := a.dueDemand(context.Background(), state).Counts(); demand != nil {
			sent++
			last = period
			assert.Assert(t, demand[period] >= demandScale*4*8/10, "period %d: %d", period, demand[period])
		}
	}
	assert.Equal(t, sent, 4, "once in %d periods, last in %d", turns, last)
	assert.Equal(t, engine.reads, 2*sent)
}

// countingEngine is an engine with the given counts.
type countingEngine struct {
	recordingEngine
	step   uint64
	counts []uint64
	reads  int
}

func (e *countingEngine) Counts(context.Context) (Counts, error) {
	e.reads++
	return Counts{Step: e.step, Epoch: 1, Counts: slices.Clone(e.counts)}, nil
}
