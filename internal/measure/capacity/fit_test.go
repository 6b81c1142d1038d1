package main

import (
	"context"
	"math"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func TestLineThroughPoints(t *testing.T) {
	s := &series{}
	for _, size := range []float64{16, 64, 256} {
		s.add(size, 3+0.5*size)
	}
	l := s.line()
	assert.Assert(t, math.Abs(l.slope-0.5) < 1e-9)
	assert.Assert(t, math.Abs(l.at(950)-478) < 1e-6)
	assert.Assert(t, math.Abs(l.fit-1) < 1e-9)
	s.add(512, 0)
	assert.Assert(t, s.line().fit < 0.9, "a point off the line must show")
}

// TestMembersOfTheNetworkMeet makes sure that what is measured works, and that
// a member that cannot be reached shows.
func TestMembersOfTheNetworkMeet(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := startNetwork(ctx, 12)
			if !reachable {
				n.mu.Lock()
				delete(n.nodes, addressOf(11))
				n.mu.Unlock()
			}
			n.join(ctx)
			assert.Equal(t, n.whole(), reachable)
			assert.Assert(t, n.bytes.Load() > 0)
			cancel()
			synctest.Wait()
		})
	}
}

// TestRememberedGrowsWithTheRate checks the order of the organisations.
func TestRememberedGrowsWithTheRate(t *testing.T) {
	few, many := remembered(1), remembered(1000)
	for i := range few {
		assert.Assert(t, few[i] < many[i] || many[i] == 1)
	}
	assert.Assert(t, few[0] > few[organisations-1])
}
