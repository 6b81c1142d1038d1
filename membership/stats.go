package membership

import (
	"encoding/json"
	"sync/atomic"
)

// Stats holds a node's counters. It is an expvar.Var.
type Stats struct {
	// Pings, Pushes, Syncs, Checks and Lists count the calls of each type that
	// the node made.
	Pings, Pushes, Syncs, Checks, Lists atomic.Int64
	// Unanswered counts pings without an answer.
	Unanswered atomic.Int64
	// Suspicions counts the suspicions that this process raised.
	Suspicions atomic.Int64
	// Refuted counts wrong updates about this process that it refuted.
	Refuted atomic.Int64
	// Inconclusive counts processes that did not answer and whose indirect checks
	// all failed, so that they did not become suspect.
	Inconclusive atomic.Int64
}

// snapshot is the JSON form of Stats.
type snapshot struct {
	Pings        int64 `json:"pings"`
	Pushes       int64 `json:"pushes"`
	Syncs        int64 `json:"syncs"`
	Checks       int64 `json:"checks"`
	Lists        int64 `json:"lists"`
	Unanswered   int64 `json:"silent"`
	Suspicions   int64 `json:"suspicions"`
	Refuted      int64 `json:"refuted"`
	Inconclusive int64 `json:"unjudged"`
}

// String returns the counters as JSON.
func (s *Stats) String() string {
	// A struct of integers always encodes.
	b, _ := json.Marshal(snapshot{
		Pings:        s.Pings.Load(),
		Pushes:       s.Pushes.Load(),
		Syncs:        s.Syncs.Load(),
		Checks:       s.Checks.Load(),
		Lists:        s.Lists.Load(),
		Unanswered:   s.Unanswered.Load(),
		Suspicions:   s.Suspicions.Load(),
		Refuted:      s.Refuted.Load(),
		Inconclusive: s.Inconclusive.Load(),
	})
	return string(b)
}
