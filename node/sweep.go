package node

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
)

// sweepInterval is the mean time between two sweeps of one agent. Claims are
// indexed by the hour in which they expire, so that a sweep that finds nothing
// costs one read.
const sweepInterval = 10 * time.Minute

// sweepClaims removes expired claims until ctx ends. Concurrent sweeps by
// several agents are safe; the jitter makes them rare.
func (c *core) sweepClaims(ctx context.Context) {
	sweeper := claim.NewSweeper(c.table, c.objects)
	for {
		wait := time.NewTimer(sweepInterval/2 + rand.N(sweepInterval))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		sweep(ctx, sweeper)
	}
}

// sweep removes expired claims until none is left or a store fails.
func sweep(ctx context.Context, sweeper *claim.Sweeper) {
	for ctx.Err() == nil {
		more, err := sweeper.SweepOnce(ctx)
		if err != nil {
			klog.Warningf("claim: removal of expired claims stopped: %s.", err)
			return
		}
		if !more {
			return
		}
	}
}
