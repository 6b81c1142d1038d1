package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/syncrand"
)

// picking is the gateway's forward.Picker.
type picking struct{ g *Gateway }

// Pick implements forward.Picker.
func (p *picking) Pick(req *forward.Request, tried []string) (forward.Target, error) {
	g, now := p.g, time.Now()
	service := req.Match.Service
	listed := g.set.Load().Service(service.Name)
	known := p.known(listed, now)
	for i := range listed {
		known[i].Tried = slices.Contains(tried, listed[i].ID)
	}
	choice := picker.DefaultReportPolicy.Choose(known, p.work(req, now), syncrand.New())
	if choice.Index < 0 {
		return forward.Target{}, &forward.NoEndpointError{
			Reason:     fmt.Sprintf("no endpoint has room: listed %d, usable %d, full %d, too slow %d, tried %d", len(listed), choice.Usable, choice.Full, choice.TooSlow, len(tried)),
			RetryAfter: retryAfter(choice.Full > 0), MayRecover: choice.Full+choice.TooSlow == 0,
		}
	}
	return forward.Target{
		Endpoint: listed[choice.Index], MaxConnections: g.connectionsEach(service.MaxConnections),
		Load: known[choice.Index].Load, Unhealthy: choice.Unhealthy,
	}, nil
}

// work is what the picker needs to know of a request.
func (p *picking) work(req *forward.Request, now time.Time) picker.Work {
	m := req.Match
	w := picker.Work{Unreported: p.g.loads.CountArrival(m.Service.Name, now), Remaining: req.Deadline.Sub(now)}
	if e := m.Service.Engine; e != nil && m.Route.Stream {
		tokens := req.AnswerTokens
		if tokens <= 0 {
			tokens = e.MeanAnswerTokens
		}
		w.MaxGap, w.Passes = m.Route.TargetGap, float64(tokens)/float64(max(e.StepsPerPass, 1))
	}
	return w
}

// known is what the picker needs to know of endpoints.
func (p *picking) known(listed []discovery.Endpoint, now time.Time) []picker.ReportedEndpoint {
	known := make([]picker.ReportedEndpoint, len(listed))
	for i := range listed {
		e := &listed[i]
		estimate := p.g.loads.Estimate(e.ID, now)
		known[i] = picker.ReportedEndpoint{
			Slots: e.Slots, Load: estimate.Load, Reported: estimate.Reported, Stale: estimate.Stale, Local: e.FailureDomain == p.g.settings.FailureDomain,
			Unhealthy: estimate.Unhealthy, Excluded: e.Draining || estimate.GroupDown || estimate.Misdirected || estimate.BackingOff,
			Slowdown: estimate.Slowdown, PassTime: estimate.PassTime, PassElapsed: estimate.PassElapsed,
		}
	}
	return known
}

// Unresponsive implements forward.Picker.
func (p *picking) Unresponsive(target forward.Target) bool {
	listed := p.g.set.Load().Service(target.Service)
	at := slices.IndexFunc(listed, func(e discovery.Endpoint) bool { return e.ID == target.ID })
	return at >= 0 && picker.Unresponsive(p.known(listed, time.Now()), at)
}

const (
	// fullRetryAfter is when a caller may come back that found all endpoints
	// full: about the time in which an endpoint's slots serve one request each.
	fullRetryAfter = 900 * time.Millisecond
	// downRetryAfter is when one may that found none able to serve: a group that
	// has lost a rank takes some seconds to form anew.
	downRetryAfter = 1800 * time.Millisecond
	// returnSpread is the part of these times over which returns are spread, so
	// that they are no burst of their own.
	returnSpread = 0.4
)

// retryAfter tells a caller when there will be room.
func retryAfter(full bool) time.Duration {
	after := downRetryAfter
	if full {
		after = fullRetryAfter
	}
	return time.Duration(float64(after) * (1 + returnSpread*(rand.Float64()-0.5)))
}

// connectionsEach is a node's part of the connections that an endpoint accepts.
func (g *Gateway) connectionsEach(limit int) int {
	if limit <= 0 {
		return 0
	}
	return max(limit/max(g.registry.EntryCount(), 1), 1)
}

// Begin implements forward.Picker.
func (p *picking) Begin(endpoint string) { p.g.loads.Begin(endpoint) }

// End implements forward.Picker.
func (p *picking) End(endpoint string) { p.g.loads.End(endpoint) }

// Record implements forward.Picker.
func (p *picking) Record(target forward.Target, verdict forward.Verdict) {
	switch verdict {
	case forward.Served:
		p.g.loads.Succeeded(target.ID)
	case forward.Rejected:
		p.g.loads.Rejected(target.ID)
	case forward.Misdirected:
		p.g.loads.Misdirected(target.ID)
		p.g.log.Warn("another endpoint is at the address", "endpoint", target.ID, "address", target.Address)
	case forward.Failed:
		if p.g.loads.Failed(target.ID) {
			p.g.log.Warn("endpoint counts as ill", "endpoint", target.ID, "service", target.Service)
		}
	}
}
