package connlimit

import (
	"log/slog"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// logInterval is the least time between two log lines for one cause. Callers that are
// refused may come thousands of times a second.
const logInterval = 5 * time.Second

// Reporter counts refusals and logs them at a bounded rate.
type Reporter struct {
	listener string
	log      *slog.Logger

	mu     sync.Mutex
	counts map[string]*refusals
}

// refusals are those of one cause.
type refusals struct {
	// unlogged is the number since the last log line, which was at loggedAt.
	unlogged int
	loggedAt time.Time
}

// NewReporter returns a Reporter for the listener of a name.
func NewReporter(listener string, log *slog.Logger) *Reporter {
	return &Reporter{listener: listener, log: log, counts: make(map[string]*refusals)}
}

// Refused records a refusal.
func (r *Reporter) Refused(cause string) {
	metric.CallerRefusals(r.listener, cause).Inc()
	r.mu.Lock()
	c := r.counts[cause]
	if c == nil {
		c = &refusals{}
		r.counts[cause] = c
	}
	c.unlogged++
	now := time.Now()
	if now.Sub(c.loggedAt) < logInterval {
		r.mu.Unlock()
		return
	}
	n := c.unlogged
	c.unlogged, c.loggedAt = 0, now
	r.mu.Unlock()
	r.log.Warn("connections refused", "listener", r.listener, "cause", cause, "count", n)
}
