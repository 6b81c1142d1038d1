package gateway

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// ColdSettings limits the requests to cold endpoints: within any second at most Overage
// times the number of requests per second that the service states, plus Slack. With
// Overage zero there is no limit.
type ColdSettings struct {
	Overage, Slack float64
}

const (
	// maxNoteCold bounds the statements in one note, which has to fit a datagram.
	maxNoteCold = 40
	// coldTickInterval is the time between two checks whether the process was frozen. It
	// stays well below the gap that counts as a freeze.
	coldTickInterval = 200 * time.Millisecond
)

// coldEndpoints keeps the requests to cold endpoints within their limit.
type coldEndpoints struct {
	settings ColdSettings
	states   *pacing.ColdStates
	slots    *pacing.ColdSlots
	notes    *notes
	log      *slog.Logger
	// evacuationEnd returns when the latest evacuation of a failure domain ended, zero
	// if there was none.
	evacuationEnd func(domain string) time.Time

	mu sync.Mutex
	// faulty holds the endpoints of which an invalid header was logged.
	faulty map[pacing.Endpoint]bool
}

func newColdEndpoints(s ColdSettings, node string, n *notes, log *slog.Logger) *coldEndpoints {
	c := &coldEndpoints{
		settings: s, states: pacing.NewColdStates(), slots: pacing.NewColdSlots(node, time.Now()), notes: n, log: log,
		evacuationEnd: func(string) time.Time { return time.Time{} },
		faulty:        make(map[pacing.Endpoint]bool),
	}
	n.handlers = append(n.handlers, c.handle)
	return c
}

// limits reports whether requests to cold endpoints of a service are limited.
func (c *coldEndpoints) limits(s *route.Service) bool {
	return c.settings.Overage > 0 && s.ColdPerSecond > 0
}

// bound returns the number of requests that a cold endpoint of a service may get within any
// second.
func (c *coldEndpoints) bound(s *route.Service) int {
	return int(math.Min(s.ColdPerSecond*c.settings.Overage+c.settings.Slack, math.MaxInt32))
}

// run detects freezes of this process until ctx ends.
func (c *coldEndpoints) run(ctx context.Context) {
	if c.settings.Overage <= 0 {
		return
	}
	ticker := time.NewTicker(coldTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *coldEndpoints) tick(now time.Time) {
	if c.states.Tick(now) {
		c.log.Warn("process was frozen, endpoints with a cold limit count as cold")
	}
}

// setEndpoints records the rows of a new list of endpoints. restored is true if they may be older
// than those of the former list.
func (c *coldEndpoints) setEndpoints(set *discovery.Set, restored bool) {
	if c.settings.Overage <= 0 {
		return
	}
	now := time.Now()
	for _, e := range set.All() {
		c.states.List(pacedEndpoint(e), pacing.ColdRow{Revision: e.Revision, Stated: e.WarmupStated, Remaining: e.WarmupRemaining, Restored: restored}, now)
	}
	listed := func(id string) bool {
		_, ok := set.Find(id)
		return ok
	}
	c.states.Retain(listed, now)
	c.slots.Prune(listed, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := range c.faulty {
		if current, ok := set.Find(e.ID); !ok || pacedEndpoint(current) != e {
			delete(c.faulty, e)
		}
	}
}

// setConfig logs the limits of a new configuration.
func (c *coldEndpoints) setConfig(cfg route.Config) {
	for _, err := range cfg.Bounded {
		c.log.Warn("value in the configuration is out of range, using the nearest bound", "config", cfg.Version, "error", err.Error())
	}
	for i := range cfg.Services {
		if s := &cfg.Services[i]; c.limits(s) {
			c.log.Info("cold endpoints are limited", "config", cfg.Version, "service", s.Name, "requests_in_any_second", c.bound(s), "cold_start_ms", s.ColdStart.Milliseconds())
		}
	}
}

// restrict marks the cold endpoints of a service and excludes those without a slot. It
// returns the time until the next slot of the endpoints that could be chosen otherwise,
// zero if there are none.
func (c *coldEndpoints) restrict(s *route.Service, listed []discovery.Endpoint, reported []picker.ReportedEndpoint, now time.Time) (nextSlot time.Duration) {
	if !c.limits(s) {
		return 0
	}
	c.tick(now)
	for i := range listed {
		remaining := c.remaining(s, &listed[i], now)
		reported[i].Cold = remaining > 0
		if remaining == 0 || reported[i].Excluded || reported[i].Tried {
			continue
		}
		wait, ok := c.slots.Wait(listed[i].ID, c.bound(s), now)
		if !ok {
			wait = remaining
		}
		wait = min(wait, remaining)
		if wait == 0 {
			continue
		}
		reported[i].Excluded = true
		if nextSlot == 0 || wait < nextSlot {
			nextSlot = wait
		}
	}
	return nextSlot
}

// remaining returns the time for which an endpoint still counts as cold, and logs changes.
func (c *coldEndpoints) remaining(s *route.Service, e *discovery.Endpoint, now time.Time) time.Duration {
	remaining, cause, changed := c.states.Cold(pacedEndpoint(*e), pacing.ColdLimit{Start: s.ColdStart, EvacuationEnd: c.evacuationEnd(e.FailureDomain)}, now)
	switch {
	case !changed:
	case cause == pacing.ColdNone:
		c.log.Info("endpoint counts as warm", "endpoint", e.ID, "service", e.Service, "failure_domain", e.FailureDomain)
	default:
		c.log.Info("endpoint counts as cold", "endpoint", e.ID, "service", e.Service, "failure_domain", e.FailureDomain, "cause", cause.String(), "remaining_ms", remaining.Milliseconds())
	}
	return remaining
}

// take occupies a slot for a request to an endpoint. It returns false if the endpoint is
// cold and there is none. The slot is nil if the endpoints of the service have no limit.
func (c *coldEndpoints) take(s *route.Service, e *discovery.Endpoint, cold bool, now time.Time) (*pacing.ColdSlot, bool) {
	if !c.limits(s) {
		return nil, true
	}
	bound := -1
	if cold {
		bound = c.bound(s)
	}
	slot := c.slots.Take(e.ID, bound, now)
	return slot, slot != nil
}

// countLimited counts a choice for which the limit excluded endpoints.
func (c *coldEndpoints) countLimited(service string, chosen bool) {
	result := "none"
	if chosen {
		result = "elsewhere"
	}
	metric.ColdLimited(service, result).Inc()
}

// observe records what an answer to a request that was sent at a time states, and tells the
// other nodes of an endpoint that has become cold.
func (c *coldEndpoints) observe(s *route.Service, e discovery.Endpoint, request string, sentAt time.Time, a forward.ColdStatement) {
	if !c.limits(s) {
		return
	}
	if a.Fault != "" && c.isNewFault(pacedEndpoint(e)) {
		c.log.Warn("endpoint states an invalid time of its cold start", "request", request, "endpoint", e.ID, "service", e.Service, "value", a.Fault, "used_ms", a.Remaining.Milliseconds())
	}
	if a.Stated && c.states.Answer(pacedEndpoint(e), a.Remaining, sentAt, time.Now()) {
		c.log.Info("endpoint states that it is cold", "request", request, "endpoint", e.ID, "service", e.Service, "remaining_ms", a.Remaining.Milliseconds())
		c.notes.broadcast(note{Cold: []pacing.ColdStatement{{Endpoint: pacedEndpoint(e), Remaining: a.Remaining}}})
	}
}

func (c *coldEndpoints) isNewFault(e pacing.Endpoint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.faulty[e]
	c.faulty[e] = true
	return !known
}

// handle records the statements that another node has sent, and sends those that are known
// to a node that has just started.
func (c *coldEndpoints) handle(m note) {
	now := time.Now()
	c.states.Merge(m.Cold, now)
	if m.Starting {
		for part := range slices.Chunk(c.states.Statements(now), maxNoteCold) {
			c.notes.send(m.From, note{Cold: part})
		}
	}
}
