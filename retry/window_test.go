package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBound checks, for generated sequences of requests and retries at several
// entry nodes, that the retries of all of them in any sliding window stay within the
// limit.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		cfg := WindowConfig{Ratio: 0.2, Reserve: 40, Period: 10 * time.Second}
		var windows [nodes]*Window
		for i := range windows {
			windows[i] = NewWindow(cfg)
			windows[i].SetNodes(nodes)
		}
		var firsts, retries []time.Time
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			w := windows[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirst(now)
				firsts = append(firsts, now)
				continue
			}
			for range rapid.IntRange(1, 5).Draw(t, "tries") {
				if w.TryRetry(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			begin := end.Add(-cfg.Period)
			count := countWithin(retries, begin, end)
			// A retry early in the window may be covered by first sends of the
			// previous period.
			limit := cfg.Ratio*float64(countWithin(firsts, begin.Add(-cfg.Period), end)) + cfg.Reserve
			if float64(count) > limit {
				t.Fatalf("%d retries until %s, limit %g", count, end, limit)
			}
		}
	})
}

func countWithin(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}

// TestWindowExpires checks that retries no longer count after the period.
func TestWindowExpires(t *testing.T) {
	w := NewWindow(WindowConfig{Reserve: 4, Period: 10 * time.Second})
	now := time.Unix(1000, 0)
	assert.Assert(t, w.TryRetry(now))
	assert.Assert(t, w.TryRetry(now))
	assert.Assert(t, !w.TryRetry(now))
	assert.Assert(t, w.TryRetry(now.Add(11*time.Second)))
}
