package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/syncrand"
)

// endpointPicker is the gateway's forward.Picker.
type endpointPicker struct{ g *Gateway }

// Pick implements forward.Picker.
func (p *endpointPicker) Pick(req *forward.Request, tried []string) (forward.Target, error) {
	g, now := p.g, time.Now()
	service := req.Match.Service
	listed, err := g.evacuations.remaining(g.endpoints.Load().Service(service.Name))
	if err != nil {
		return forward.Target{}, err
	}
	reported := p.reportedEndpoints(listed, now)
	for i := range listed {
		reported[i].Tried = slices.Contains(tried, listed[i].ID)
	}
	judgement := g.crashes.list.Judge(req.Identity)
	switch judgement.State {
	case quarantine.Quarantined:
		return forward.Target{}, &forward.QuarantinedError{Remaining: judgement.Remaining}
	case quarantine.Suspect:
		p.restrictToTrial(judgement, listed, reported)
	}
	choice, slot, nextSlot := p.choose(service, listed, reported, p.workOf(req, now), now)
	if choice.Index < 0 && judgement.State == quarantine.Suspect {
		return forward.Target{}, &forward.NoEndpointError{
			Reason:     fmt.Sprintf("request may crash endpoints and its trial endpoint cannot take it: suspects %d, group %s, age %s", len(judgement.Suspects), judgement.Group, judgement.Age),
			RetryAfter: max(retryAfter(false), judgement.TrialIn()), MayRecover: judgement.Age < factDelay, Suspect: true,
		}
	}
	if choice.Index < 0 {
		return forward.Target{}, &forward.NoEndpointError{
			Reason:     fmt.Sprintf("no endpoint has room: listed %d, usable %d, full %d, too slow %d, tried %d, next slot of a limited one in %s", len(listed), choice.Usable, choice.Full, choice.TooSlow, len(tried), nextSlot),
			RetryAfter: max(retryAfter(choice.Full > 0), spread(nextSlot)),
			MayRecover: choice.Full+choice.TooSlow == 0 && nextSlot <= maxSlotWait,
		}
	}
	return forward.Target{
		Endpoint: listed[choice.Index], MaxConnections: g.connectionLimit(service.MaxConnections),
		Load: reported[choice.Index].Load, Unhealthy: choice.Unhealthy, Reservation: slot,
	}, nil
}

// maxSlotWait is the longest time until the next slot of an endpoint that limits its
// requests for which a request waits; otherwise it is refused at once.
const maxSlotWait = time.Second

// choose picks an endpoint and uses one of its slots if it limits its requests or is cold.
// nextSlot is the time until the first slot of the endpoints that could be chosen
// otherwise, zero if there are none.
func (p *endpointPicker) choose(service *route.Service, listed []discovery.Endpoint, reported []picker.ReportedEndpoint, work picker.Work, now time.Time) (choice picker.Choice, slot *pacing.ColdSlot, nextSlot time.Duration) {
	for i := range reported {
		wait := p.g.limits.pacer.Wait(pacedEndpoint(listed[i]), now)
		if wait == 0 || reported[i].Excluded || reported[i].Tried {
			continue
		}
		reported[i].Excluded = true
		if nextSlot == 0 || wait < nextSlot {
			nextSlot = wait
		}
	}
	coldSlot := p.g.cold.restrict(service, listed, reported, now)
	if coldSlot > 0 && (nextSlot == 0 || coldSlot < nextSlot) {
		nextSlot = coldSlot
	}
	for {
		choice = picker.DefaultReportPolicy.Choose(reported, work, syncrand.New())
		if choice.Index < 0 {
			break
		}
		e, free := &listed[choice.Index], false
		if slot, free = p.g.cold.take(service, e, reported[choice.Index].Cold, now); free && p.g.limits.pacer.Take(pacedEndpoint(*e), now) {
			break
		}
		// Another request has used the slot.
		slot.End(now)
		slot = nil
		reported[choice.Index].Excluded = true
	}
	if coldSlot > 0 {
		p.g.cold.countLimited(service.Name, choice.Index >= 0)
	}
	return choice, slot, nextSlot
}

// factDelay is the time within which other nodes may show that a request did not cause a
// crash.
const factDelay = 100 * time.Millisecond

// restrictToTrial excludes all endpoints but the trial endpoint of a suspect.
func (p *endpointPicker) restrictToTrial(j quarantine.Judgement, listed []discovery.Endpoint, reported []picker.ReportedEndpoint) {
	sites := make([]quarantine.TrialSite, len(listed))
	for i := range listed {
		sites[i] = quarantine.TrialSite{Endpoint: listed[i].ID, Group: p.g.loads.Group(listed[i].ID)}
	}
	trial := quarantine.SelectTrial(j, sites)
	for i := range reported {
		reported[i].Excluded = reported[i].Excluded || i != trial
	}
}

// workOf returns the picker's input for a request and counts the request as an
// arrival.
func (p *endpointPicker) workOf(req *forward.Request, now time.Time) picker.Work {
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

// reportedEndpoints returns the picker's input for endpoints.
func (p *endpointPicker) reportedEndpoints(listed []discovery.Endpoint, now time.Time) []picker.ReportedEndpoint {
	reported := make([]picker.ReportedEndpoint, len(listed))
	for i := range listed {
		e := &listed[i]
		estimate := p.g.loads.Estimate(e.ID, now)
		reported[i] = picker.ReportedEndpoint{
			Slots: e.Slots, Load: estimate.Load, Reported: estimate.Reported, Stale: estimate.Stale, Local: e.FailureDomain == p.g.settings.FailureDomain,
			Unhealthy: estimate.Unhealthy, Excluded: e.Draining || p.g.departures.contains(e.Incarnation()) || estimate.GroupDown || estimate.Misdirected || estimate.BackingOff,
			Slowdown: estimate.Slowdown, PassTime: estimate.PassTime, PassElapsed: estimate.PassElapsed,
		}
	}
	return reported
}

// NextFree implements forward.Picker. The time is spread, so that callers who wait for the same
// endpoint do not return all at once.
func (p *endpointPicker) NextFree(req *forward.Request) time.Duration {
	listed, err := p.g.evacuations.remaining(p.g.endpoints.Load().Service(req.Match.Service.Name))
	if err != nil {
		return 0
	}
	now, first := time.Now(), time.Duration(-1)
	for i := range listed {
		e := &listed[i]
		if e.Draining || p.g.departures.contains(e.Incarnation()) {
			continue
		}
		if wait := p.g.limits.pacer.Wait(pacedEndpoint(*e), now); first < 0 || wait < first {
			first = wait
		}
	}
	return spread(max(first, 0))
}

// Unresponsive implements forward.Picker.
func (p *endpointPicker) Unresponsive(target forward.Target) bool {
	listed := p.g.endpoints.Load().Service(target.Service)
	index := slices.IndexFunc(listed, func(e discovery.Endpoint) bool { return e.ID == target.ID })
	return index >= 0 && picker.Unresponsive(p.reportedEndpoints(listed, time.Now()), index)
}

const (
	// fullRetryAfter is the mean Retry-After if all endpoints are full: about the time
	// in which each slot of an endpoint serves one request.
	fullRetryAfter = 900 * time.Millisecond
	// unavailableRetryAfter is the mean Retry-After if no endpoint can serve: a rank
	// group that has lost a rank takes some seconds to re-form.
	unavailableRetryAfter = 1800 * time.Millisecond
	// retryJitter is the width of the random spread of these times, as a share of the
	// mean. It prevents a burst of retries.
	retryJitter = 0.4
)

// retryAfter returns a randomised Retry-After. full is true if there are endpoints
// that can serve but are full.
func retryAfter(full bool) time.Duration {
	after := unavailableRetryAfter
	if full {
		after = fullRetryAfter
	}
	return time.Duration(float64(after) * (1 + retryJitter*(rand.Float64()-0.5)))
}

// spread returns a random time of at least d, so that callers who wait for the same moment
// do not return all at once.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + retryJitter/2*rand.Float64()))
}

// connectionLimit returns this node's share of the connections that an endpoint accepts
// in total, or zero for no limit.
func (g *Gateway) connectionLimit(total int) int {
	if total <= 0 {
		return 0
	}
	return max(total/max(g.registry.EntryCount(), 1), 1)
}

// Record implements forward.Picker.
func (p *endpointPicker) Record(target forward.Target, verdict forward.Verdict) {
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
