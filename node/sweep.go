package node

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
)

// sweepEvery is the mean time between two sweeps of one agent. Claims are
// listed by the hour in which they expire, so that an idle sweep costs one read.
const sweepEvery = 10 * time.Minute

// sweepClaims removes the claims whose time has passed, until ctx ends. Agents
// that sweep at once do no harm; the jitter keeps them apart.
func (c *core) sweepClaims(ctx context.Context) {
	sweeper := claim.NewSweeper(c.table, c.objects)
	for {
		wait := time.NewTimer(sweepEvery/2 + rand.N(sweepEvery))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
		}
		sweep(ctx, sweeper)
	}
}

// sweep sweeps until nothing is left or the stores fail.
func sweep(ctx context.Context, sweeper *claim.Sweeper) {
	for ctx.Err() == nil {
		more, err := sweeper.SweepOnce(ctx)
		if err != nil {
			klog.Warningf("claim: the sweep of expired claims ends: %s.", err)
			return
		}
		if !more {
			return
		}
	}
}
