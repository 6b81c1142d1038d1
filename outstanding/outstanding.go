// Package outstanding estimates the load of endpoints from two sources: the requests
// that this entry node has in flight, which are counted exactly, and load reports,
// which cover the requests of all entry nodes but are some 100 ms old.
// It also tracks which endpoints recently failed or rejected requests.
package outstanding

import (
	"math"
	"sync"
	"time"
)

// Report is a load report on an endpoint, sent by its agent.
type Report struct {
	// Running and Queued count the requests of all entry nodes.
	Running, Queued int
	// Group is the name of the rank group, empty for none. GroupReady is false while
	// the group cannot step.
	Group      string
	GroupReady bool
	// Slowdown is the ratio of the endpoint's actual to its expected time for the same
	// work; above 1 the endpoint is slower than expected.
	Slowdown float64
	// PassTime is the recent duration of one engine pass, zero if unknown.
	// PassElapsed is the time since the current pass started.
	PassTime, PassElapsed time.Duration
}

const (
	// reportTTL is the age at which a report expires. Reports arrive a few times per
	// second.
	reportTTL = 600 * time.Millisecond
	// unhealthyAfter is the number of consecutive failures that make an endpoint
	// unhealthy.
	unhealthyAfter = 2
	// unhealthyFor is how long an endpoint stays unhealthy after the latest failure.
	// It doubles with each further consecutive failure, up to maxUnhealthyFor.
	unhealthyFor    = 500 * time.Millisecond
	maxUnhealthyFor = 4 * time.Second
)

// endpointState is the tracked state of one endpoint.
type endpointState struct {
	// inFlight counts the requests of this entry node.
	inFlight int
	// report is the latest report and reportedAt the time of its arrival.
	// inFlightAtReport is the number of this entry node's requests that were in flight
	// then; the report is assumed to include them.
	report           Report
	inFlightAtReport int
	reportedAt       time.Time
	// failures and rejections are counted since the last success.
	failures         int
	unhealthyUntil   time.Time
	misdirectedUntil time.Time
	rejections       int
	backoffUntil     time.Time
}

// Tracker tracks the load and health of endpoints by id. It is safe for concurrent
// use.
type Tracker struct {
	mu     sync.Mutex
	states map[string]*endpointState
	// byAddress maps the addresses used in reports to endpoint ids.
	byAddress map[string]string
	// nodes is the number of entry nodes that send requests.
	nodes int
	// groupStopped holds the time until which a rank group counts as stopped whatever its
	// reports say.
	groupStopped map[string]time.Time
	// rates holds the arrival rates of requests at this entry node, by service.
	rates map[string]*arrivalRate
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{states: make(map[string]*endpointState), byAddress: make(map[string]string), groupStopped: make(map[string]time.Time), nodes: 1, rates: make(map[string]*arrivalRate)}
}

// SetEndpoints replaces the endpoints; byAddress maps addresses to ids. It deletes the
// state of other endpoints unless they have requests in flight.
func (t *Tracker) SetEndpoints(byAddress map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byAddress = byAddress
	live := make(map[string]bool, len(byAddress))
	for _, id := range byAddress {
		live[id] = true
	}
	for id, s := range t.states {
		if !live[id] && s.inFlight == 0 {
			delete(t.states, id)
		}
	}
}

// SetNodes sets the number of entry nodes that send requests to the endpoints.
func (t *Tracker) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = max(n, 1)
}

// state returns the state of an endpoint and creates it if needed. The caller holds
// the lock.
func (t *Tracker) state(id string) *endpointState {
	s := t.states[id]
	if s == nil {
		s = &endpointState{}
		t.states[id] = s
	}
	return s
}

// Begin counts the start of a request to an endpoint.
func (t *Tracker) Begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).inFlight++
}

// End counts the end of a request to an endpoint.
func (t *Tracker) End(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).inFlight--
}

// Succeeded records that an endpoint served a request.
func (t *Tracker) Succeeded(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.failures, s.unhealthyUntil = 0, time.Time{}
	s.rejections, s.backoffUntil = 0, time.Time{}
}

// Failed records that a request failed through the fault of an endpoint. It reports
// whether the endpoint now counts as unhealthy.
func (t *Tracker) Failed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.failures++
	if s.failures < unhealthyAfter {
		return false
	}
	// The limit of the shift prevents an overflow.
	period := unhealthyFor << min(s.failures-unhealthyAfter, 8)
	s.unhealthyUntil = time.Now().Add(min(period, maxUnhealthyFor))
	return true
}

const (
	// backoffFor is how long an endpoint gets no requests after it rejected one. It
	// doubles with each further rejection, up to maxBackoffFor. A rank group takes
	// about half a second to form.
	backoffFor    = 100 * time.Millisecond
	maxBackoffFor = 800 * time.Millisecond
)

// Rejected records that an endpoint rejected a request.
func (t *Tracker) Rejected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	// The limit of the shift prevents an overflow.
	s.backoffUntil = time.Now().Add(min(backoffFor<<min(s.rejections, 8), maxBackoffFor))
	s.rejections++
}

// misdirectedFor is how long an endpoint that is no longer at its address gets no
// requests. The discovery list drops an endpoint after three missed heartbeats.
const misdirectedFor = 5 * time.Second

// Misdirected records that another endpoint answered at the address of this one.
func (t *Tracker) Misdirected(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).misdirectedUntil = time.Now().Add(misdirectedFor)
}

// SetReport stores a report on the endpoint at an address. It ignores unknown
// addresses.
func (t *Tracker) SetReport(address string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, ok := t.byAddress[address]
	if !ok {
		return
	}
	s := t.state(id)
	s.report, s.inFlightAtReport, s.reportedAt = r, s.inFlight, time.Now()
}

// stoppedPeriod is the time for which reports may still describe a rank group as it was
// before one of its ranks crashed.
const stoppedPeriod = 700 * time.Millisecond

// GroupStopped records that a rank of a group has crashed, which stops the whole group.
func (t *Tracker) GroupStopped(group string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groupStopped[group] = time.Now().Add(stoppedPeriod)
}

// Group returns the rank group that the latest report of an endpoint named, however old
// the report is, or "".
func (t *Tracker) Group(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[id]; s != nil {
		return s.report.Group
	}
	return ""
}

// Estimate is the estimated state of an endpoint.
type Estimate struct {
	// Load is the number of running and waiting requests.
	Load float64
	// Reported is true if the estimate uses a fresh report. Stale is true if the
	// latest report has expired.
	Reported, Stale bool
	// Group is the name of the rank group, taken from the report.
	Group string
	// GroupDown is true if the rank group cannot step.
	GroupDown bool
	// Unhealthy is true if several recent requests in a row failed there.
	Unhealthy bool
	// Misdirected is true if another endpoint recently answered at the address.
	Misdirected bool
	// BackingOff is true if the endpoint recently rejected a request.
	BackingOff bool
	// Slowdown, PassTime and PassElapsed are those of the report.
	Slowdown              float64
	PassTime, PassElapsed time.Duration
}

// Estimate returns the estimated state of an endpoint at time now.
func (t *Tracker) Estimate(id string, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil {
		return Estimate{}
	}
	e := Estimate{Unhealthy: now.Before(s.unhealthyUntil), Misdirected: now.Before(s.misdirectedUntil), BackingOff: now.Before(s.backoffUntil)}
	if now.Sub(s.reportedAt) >= reportTTL {
		// Counts only this entry node's requests, because those of others are unknown:
		// extrapolating from a few requests would make free endpoints look full. An
		// estimate that is too low does no harm, because endpoints reject what exceeds
		// their capacity.
		e.Load = float64(s.inFlight)
		e.Stale = !s.reportedAt.IsZero()
		return e
	}
	e.Reported, e.Group = true, s.report.Group
	e.Slowdown, e.PassTime, e.PassElapsed = s.report.Slowdown, s.report.PassTime, s.report.PassElapsed
	e.GroupDown = s.report.Group != "" && (!s.report.GroupReady || now.Before(t.groupStopped[s.report.Group]))
	e.Load = float64(max(s.report.Running+s.report.Queued+s.inFlight-s.inFlightAtReport, s.inFlight))
	return e
}

const (
	// ratePeriod is the time constant of the average arrival rate.
	ratePeriod = 2 * time.Second
	// reportAge is the average age of a load report when it is used, counted from when
	// the engine measured its load. It is the sum of the agents' polling and reporting
	// periods.
	reportAge = 250 * time.Millisecond
)

// arrivalRate is an exponentially weighted average of arrivals per second.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

// CountArrival counts a request for a service. It returns the estimated number of
// requests for the service, from all entry nodes, that the load reports do not include
// yet.
func (t *Tracker) CountArrival(service string, now time.Time) (unreported float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rates[service]
	if r == nil {
		r = &arrivalRate{updatedAt: now}
		t.rates[service] = r
	}
	decay := math.Exp(-now.Sub(r.updatedAt).Seconds() / ratePeriod.Seconds())
	r.perSecond = r.perSecond*decay + 1/ratePeriod.Seconds()
	r.updatedAt = now
	return r.perSecond * float64(t.nodes) * reportAge.Seconds()
}
