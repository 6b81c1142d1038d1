package main

import (
	"context"
	"math"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

func TestFitLine(t *testing.T) {
	s := &series{}
	for _, size := range []float64{16, 64, 256} {
		s.add(size, 3+0.5*size)
	}
	l := s.fitLine()
	assert.Assert(t, math.Abs(l.slope-0.5) < 1e-9)
	assert.Assert(t, math.Abs(l.costAt(950)-478) < 1e-6)
	assert.Assert(t, math.Abs(l.rSquared-1) < 1e-9)
	s.add(512, 0)
	assert.Assert(t, s.fitLine().rSquared < 0.9, "a point off the line must lower R²")
}

// TestNetworkConverges checks that all members see each other as alive, so that
// the membership measurements measure a working network, and that the check
// fails if one member is cut off from its start on.
func TestNetworkConverges(t *testing.T) {
	for _, connected := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := startNetwork(ctx, 11)
			last := n.add(11, seedAddresses(12))
			if !connected {
				n.mu.Lock()
				delete(n.reachable, addressOf(11))
				n.mu.Unlock()
			}
			go last.Run(ctx)
			n.waitConverged(ctx)
			assert.Equal(t, n.converged(), connected)
			assert.Assert(t, n.bytes.Load() > 0)
			cancel()
			synctest.Wait()
		})
	}
}

// TestActiveProbabilities checks that an entry node with more requests is more
// likely to have demand to report for an organisation, and that the first
// organisation, which has the highest demand, is more likely than the last.
func TestActiveProbabilities(t *testing.T) {
	low, high := activeProbabilities(1), activeProbabilities(1000)
	for i := range low {
		assert.Assert(t, low[i] < high[i] || high[i] == 1)
	}
	assert.Assert(t, low[0] > low[organisations-1])
}
