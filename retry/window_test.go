package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBound: whatever the order of requests and of nodes that all want to
// send again, every sliding window of all nodes together keeps the bound.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 4
		cfg := WindowConfig{Ratio: 0.2, Reserve: 40, Period: 10 * time.Second}
		var windows [nodes]*Window
		for i := range windows {
			windows[i] = NewWindow(cfg)
			windows[i].SetNodes(nodes)
		}
		var firsts, agains []time.Time
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
					agains = append(agains, now)
				}
			}
		}
		for _, end := range agains {
			begin := end.Add(-cfg.Period)
			sent := within(agains, begin, end)
			// Requests count in the window or the one before it.
			allowed := cfg.Ratio*float64(within(firsts, begin.Add(-cfg.Period), end)) + cfg.Reserve
			if float64(sent) > allowed {
				t.Fatalf("%d second sends until %s, %g allowed", sent, end, allowed)
			}
		}
	})
}

func within(times []time.Time, begin, end time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(begin) && !at.After(end) {
			n++
		}
	}
	return n
}

func TestWindowForgets(t *testing.T) {
	w := NewWindow(WindowConfig{Reserve: 4, Period: 10 * time.Second})
	now := time.Unix(1000, 0)
	assert.Assert(t, w.TryRetry(now))
	assert.Assert(t, w.TryRetry(now))
	assert.Assert(t, !w.TryRetry(now))
	assert.Assert(t, w.TryRetry(now.Add(11*time.Second)))
}
