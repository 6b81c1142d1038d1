package rankgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/peernews"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// quickCopies is a group whose copies take next to nothing.
func quickCopies() *route.Experts {
	return &route.Experts{Layers: 6, Experts: 64, Slots: 11, Spare: 4, ExpertBytes: 1000, LoadBytesPerSecond: 1e9, Share: 0.85}
}

// TestPolicyRates: a change has to outlast its own making, however quick copies
// are; where they are slow, one change holds at least one of them.
func TestPolicyRates(t *testing.T) {
	p := policy(quickCopies(), 8, 1, batchTime)
	assert.Equal(t, p.Horizon, horizonBatches*batchTime)
	slow := quickCopies()
	slow.LoadBytesPerSecond = 100
	p = policy(slow, 8, 1, batchTime)
	assert.Equal(t, p.LoadsBatch, 1)
	assert.Equal(t, p.Horizon, horizonCopies*fillTime(slow))
	assert.Equal(t, policy(slow, 8, 0, batchTime).Objective.Skew, 0.0, "no gain counts")
}

// TestBatchTime: the copies of one change grow with what a switch takes.
func TestBatchTime(t *testing.T) {
	now := time.Unix(100, 0)
	l := newLeader(&Agent{})
	assert.Equal(t, l.batchTime(now), batchTime)
	l.closed = 600 * time.Millisecond
	assert.Equal(t, l.batchTime(now), 600*time.Millisecond, "orders go unanswered")
	l.closed = time.Minute
	assert.Equal(t, l.batchTime(now), batchMost)
	l.closed = 0
	l.a.passes.see(State{Step: 1, Running: 1}, now)
	assert.Equal(t, l.batchTime(now.Add(400*time.Millisecond)), 800*time.Millisecond, "the pass under way is slow")
}

// TestRanksAndAsks: what ranks said counts while it is new.
func TestRanksAndAsks(t *testing.T) {
	a := &Agent{loads: make(map[string]timedLoad)}
	a.lead = newLeader(a)
	a.takeLoads([]peernews.Load{{Endpoint: "e0", Rank: 0, Pace: 1}, {Endpoint: "e1", Rank: 1, Pace: 9}, {Endpoint: "e7", Rank: 7, Pace: 5}})
	now := time.Now()
	ranks := a.ranks(now, 2)
	assert.Equal(t, len(ranks), 2)
	assert.Equal(t, ranks[1].Pace, 9.0)
	assert.Equal(t, a.ranks(now.Add(2*reportLimit), 2)[1].Pace, 0.0, "not known any more")
	a.lead.hear(0, []uint32{1}, now)
	a.lead.hear(0, []uint32{2}, now)
	a.lead.hear(1, nil, now)
	assert.DeepEqual(t, a.lead.fresh(now), map[int][]uint32{0: {2}})
	assert.Equal(t, len(a.lead.fresh(now.Add(2*reportLimit))), 0)
}
