package connlimit

import (
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// logInterval is the least time between two log lines for one cause. Callers that are
// refused may come thousands of times a second.
const logInterval = 5 * time.Second

// Warn writes a log line with alternating names and values.
type Warn func(message string, fields ...any)

// Reporter counts refusals and logs them at a bounded rate.
type Reporter struct {
	listener string
	warn     Warn

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
func NewReporter(listener string, warn Warn) *Reporter {
	return &Reporter{listener: listener, warn: warn, counts: make(map[string]*refusals)}
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
	r.warn("connections refused", "listener", r.listener, "cause", cause, "count", n)
}
