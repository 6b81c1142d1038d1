package membership

import (
	"encoding/json"
	"sync/atomic"
)

// Stats counts what a node did. It is an expvar.Var.
type Stats struct {
	// Pings, Pushes, Syncs, Checks and Lists count calls made.
	Pings, Pushes, Syncs, Checks, Lists atomic.Int64
	// Silent counts pings without an answer.
	Silent atomic.Int64
	// Suspicions counts suspicions that this process raised.
	Suspicions atomic.Int64
	// Refuted counts news about this process that it had to correct.
	Refuted atomic.Int64
	// Unjudged counts silent processes that no helper could judge.
	Unjudged atomic.Int64
}

// snapshot is the form in which Stats are published.
type snapshot struct {
	Pings      int64 `json:"pings"`
	Pushes     int64 `json:"pushes"`
	Syncs      int64 `json:"syncs"`
	Checks     int64 `json:"checks"`
	Lists      int64 `json:"lists"`
	Silent     int64 `json:"silent"`
	Suspicions int64 `json:"suspicions"`
	Refuted    int64 `json:"refuted"`
	Unjudged   int64 `json:"unjudged"`
}

// String returns the counters as JSON.
func (s *Stats) String() string {
	// A struct of integers always encodes.
	b, _ := json.Marshal(snapshot{
		Pings:      s.Pings.Load(),
		Pushes:     s.Pushes.Load(),
		Syncs:      s.Syncs.Load(),
		Checks:     s.Checks.Load(),
		Lists:      s.Lists.Load(),
		Silent:     s.Silent.Load(),
		Suspicions: s.Suspicions.Load(),
		Refuted:    s.Refuted.Load(),
		Unjudged:   s.Unjudged.Load(),
	})
	return string(b)
}
