package placer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	standin "github.com/cyclamenpoint/cyclamenpoint/standin/table"
)

const (
	fakeRanks  = 4
	fakeStep   = 20 * time.Millisecond
	fakeWindow = 25
)

// fakeDown is the error of an agent or a table service that does not respond.
type fakeDown struct{}

func (fakeDown) Error() string { return "no response" }

// fakeGroup is a group whose engines execute each request immediately. It runs one
// step per fakeStep.
type fakeGroup struct {
	held            bool
	started         time.Time
	epochs          [fakeRanks]uint64
	unresponsive    [fakeRanks]bool
	inForce         mapswitch.Map
	loaded          expertmap.Map
	record          mapswitch.Record
	tableDown       bool
	requestedMaps   []mapswitch.Map
	requestedEpochs []mapswitch.Map
	// stuck makes requested maps never come into force.
	stuck bool
}

func (g *fakeGroup) Held() (uint64, bool) { return 7, g.held }

func (g *fakeGroup) Snapshot() mapswitch.Snapshot {
	return mapswitch.Snapshot{Attached: true, Epoch: g.epochs[0], Map: g.inForce.Ref}
}

func (g *fakeGroup) SetTargetMap(m mapswitch.Map) error {
	g.requestedMaps = append(g.requestedMaps, m)
	if !g.stuck {
		g.use(m)
	}
	return nil
}

func (g *fakeGroup) SetTargetMembers(members mapswitch.RankSet, m mapswitch.Map) error {
	g.requestedEpochs = append(g.requestedEpochs, m)
	g.record = mapswitch.Record{Epoch: g.record.Epoch + 1, Members: members, Map: m.Ref}
	for i := range g.epochs {
		g.epochs[i] = g.record.Epoch
	}
	g.started = time.Now()
	g.use(m)
	return nil
}

func (g *fakeGroup) use(m mapswitch.Map) {
	g.inForce = m
	g.loaded, _ = expertmap.Unmarshal([]byte(m.Data))
}

func (g *fakeGroup) Read(context.Context) (mapswitch.Record, uint64, error) {
	if g.tableDown {
		return mapswitch.Record{}, 0, fakeDown{}
	}
	return g.record, 1, nil
}

// Report reports that expert 0 has about half of each layer's load.
func (g *fakeGroup) Report(_ context.Context, rank mapswitch.Rank, q Query) (Report, error) {
	if g.unresponsive[rank] {
		return Report{}, fakeDown{}
	}
	r := Report{Epoch: g.epochs[rank], InForce: g.inForce.Ref, Step: uint64(time.Since(g.started) / fakeStep)}
	if r.Epoch == 0 {
		return Report{Engine: 2}, nil
	}
	r.Map = []byte(g.inForce.Data)
	shape := g.loaded.Shape()
	for layer := range shape.Layers {
		r.Loaded = append(r.Loaded, g.loaded.Rank(layer, int(rank))...)
	}
	last := int64(r.Step/fakeWindow) - 1
	if q.Counts && last > q.After {
		r.Windows = []Window{{last, g.counts(shape)}}
	}
	return r, nil
}

func (g *fakeGroup) counts(shape expertmap.Shape) []uint32 {
	counts := make([]uint32, shape.Layers*shape.Experts)
	for i := range counts {
		counts[i] = 1000
		if i%shape.Experts == 0 {
			counts[i] *= uint32(shape.Experts)
		}
	}
	return counts
}

func newFake() (*fakeGroup, *Placer) {
	g := &fakeGroup{held: true, started: time.Now()}
	return g, New(Config{
		Group: deployment.Group{
			Name: "g", Layers: 2, Experts: 16, Slots: 6, ExpertBytes: 1 << 20, Objective: deployment.Objective{Skew: 1, Move: 0.05},
		},
		FailureDomains: []string{"a", "b", "c", "a"}, Interval: 500 * time.Millisecond, CollectTimeout: time.Second,
		WindowSteps: fakeWindow, StoreBytesPerSecond: 1 << 30,
	}, Dependencies{Lease: g, Switch: g, Source: g, Records: g})
}

// runFor runs the placer for a time.
func runFor(t *testing.T, p *Placer, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	p.Run(ctx)
}

func TestFormsEpochThenBalances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newFake()
		runFor(t, p, time.Minute)
		assert.Equal(t, len(g.requestedEpochs), 1)
		assert.Equal(t, g.requestedEpochs[0].Version, uint64(1))
		assert.Assert(t, len(g.requestedMaps) > 0)
		version := g.requestedEpochs[0].Version
		for _, m := range g.requestedMaps {
			assert.Assert(t, m.Version > version, "versions only increase")
			version = m.Version
		}
		st := p.Status()
		assert.Equal(t, st.Switches, st.Changes)
		assert.Equal(t, st.Bytes, st.Moves<<20)
		assert.Assert(t, st.Skew > 0 && st.Skew < 1.25, "skew %f", st.Skew)
	})
}

func TestInactiveWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newFake()
		g.held = false
		runFor(t, p, time.Minute)
		assert.Equal(t, len(g.requestedEpochs)+len(g.requestedMaps), 0)
		assert.Assert(t, !p.Status().Active)
	})
}

// TestNewEpochAfterEngineRestart verifies also that the new epoch's map gets a
// version higher than the record's, even if no engine reports that version.
func TestNewEpochAfterEngineRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newFake()
		runFor(t, p, 20*time.Second)
		before := g.inForce
		g.epochs[2] = 0
		g.record.Map.Version = 50
		g.tableDown = true
		runFor(t, p, 10*time.Second)
		assert.Equal(t, len(g.requestedEpochs), 1, "a new epoch was requested without the table service")
		g.tableDown = false
		runFor(t, p, 10*time.Second)
		assert.Equal(t, len(g.requestedEpochs), 2)
		assert.Equal(t, g.requestedEpochs[1].Version, uint64(51))
		assert.Equal(t, g.requestedEpochs[1].Data, before.Data, "the map was kept")
	})
}

func TestNoDecisionWithoutAllReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newFake()
		runFor(t, p, 1200*time.Millisecond)
		assert.Equal(t, len(g.requestedEpochs), 1)
		g.unresponsive[1] = true
		runFor(t, p, time.Minute)
		assert.Equal(t, len(g.requestedMaps), 0)
	})
}

func TestPendingMapTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, p := newFake()
		g.stuck = true
		runFor(t, p, 50*time.Second)
		assert.Equal(t, len(g.requestedMaps), 1)
		runFor(t, p, time.Minute)
		assert.Equal(t, len(g.requestedMaps), 2)
		assert.Equal(t, g.requestedMaps[1].Version, g.requestedMaps[0].Version+1)
	})
}

func TestStoreRoundTrip(t *testing.T) {
	rows := standin.New()
	a, b := NewStore("g", rows), NewStore("g", rows)
	rec, revision, err := a.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, rec, mapswitch.Record{})
	_, other, err := b.Read(t.Context())
	assert.NilError(t, err)
	want := mapswitch.Record{Epoch: 1, Members: mapswitch.Ranks(0, 2), Engines: mapswitch.PackEngines([]uint64{4, 5}), Map: mapswitch.Ref{Version: 3, Hash: "h"}, Token: 9}
	revision, err = a.Write(t.Context(), want, revision)
	assert.NilError(t, err)
	_, err = b.Write(t.Context(), want, other)
	assert.Assert(t, err != nil, "a conflicting write was not detected")
	got, _, err := b.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = a.Write(t.Context(), want, revision-1)
	assert.ErrorType(t, err, &RevisionError{})
	token, err := a.Token(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, token, uint64(0))
}
