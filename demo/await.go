package demo

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// awaitSteps waits until the rank group has completed its first step.
func (d *Demo) awaitSteps(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for d.engines.Step() == 0 {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the rank group's first step")
		case <-ticker.C:
		}
	}
	return nil
}
