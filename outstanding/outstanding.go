// Package outstanding estimates the load of endpoints from two things: the
// requests that this node has in flight, which it knows exactly and at once,
// and reports of all requests, which come some 100 ms late. It also remembers
// which endpoints failed requests of late.
package outstanding

import (
	"math"
	"sync"
	"time"
)

// Report is what the process beside an endpoint says of it.
type Report struct {
	// Running and Queued count requests of all nodes.
	Running, Queued int
	// Group names the rank group, empty for none; GroupReady is false while the group
	// cannot step.
	Group      string
	GroupReady bool
	// Slowdown is above 1 for an endpoint that is slower than it should be.
	Slowdown float64
	// PassTime is the time of a pass of late, zero for unknown; PassElapsed is how long the
	// pass under way has taken.
	PassTime, PassElapsed time.Duration
}

const (
	// reportLife is the age at which a report says nothing of the load any more;
	// reports come a few times a second.
	reportLife = 600 * time.Millisecond
	// doubtAfter is how many failures in a row make an endpoint ill.
	doubtAfter = 2
	// illFor is how long an endpoint stays ill after its newest failure in a
	// row; it doubles with each further one up to illMost.
	illFor  = 500 * time.Millisecond
	illMost = 4 * time.Second
)

// state is what is known of one endpoint.
type state struct {
	inFlight int
	// report, at its arrival, counted reportedOwn requests of this node.
	report      Report
	reportedOwn int
	reportedAt  time.Time
	failures    int
	illUntil    time.Time
	movedUntil  time.Time
	rejections  int
	restUntil   time.Time
}

// Tracker holds the load of all endpoints by id. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	states map[string]*state
	// byAddress finds endpoints by the address that reports name.
	byAddress map[string]string
	// nodes is how many nodes send requests.
	nodes int
	// rates count this node's requests by service.
	rates map[string]*rate
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{states: make(map[string]*state), byAddress: make(map[string]string), nodes: 1, rates: make(map[string]*rate)}
}

// SetEndpoints replaces the known endpoints: ids by address. What is known of
// the others is forgotten once they have nothing in flight.
func (l *Tracker) SetEndpoints(byAddress map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byAddress = byAddress
	live := make(map[string]bool, len(byAddress))
	for _, id := range byAddress {
		live[id] = true
	}
	for id, s := range l.states {
		if !live[id] && s.inFlight == 0 {
			delete(l.states, id)
		}
	}
}

// SetNodes says how many nodes send requests to the endpoints.
func (l *Tracker) SetNodes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(n, 1)
}

func (l *Tracker) state(id string) *state {
	s := l.states[id]
	if s == nil {
		s = &state{}
		l.states[id] = s
	}
	return s
}

// Begin counts a request that is sent to an endpoint.
func (l *Tracker) Begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).inFlight++
}

// End counts the end of a request.
func (l *Tracker) End(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).inFlight--
}

// Succeeded says that a request was served.
func (l *Tracker) Succeeded(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(id)
	s.failures, s.illUntil = 0, time.Time{}
	s.rejections, s.restUntil = 0, time.Time{}
}

// Failed says that a request failed at an endpoint through the endpoint's
// fault. It reports whether the endpoint counts as ill now.
func (l *Tracker) Failed(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(id)
	s.failures++
	if s.failures < doubtAfter {
		return false
	}
	period := illFor << min(s.failures-doubtAfter, 8)
	s.illUntil = time.Now().Add(min(period, illMost))
	return true
}

const (
	// restFor is how long an endpoint is left alone that turned a request away;
	// it doubles with each further one up to restMost. A group takes about half
	// a second to form.
	restFor  = 100 * time.Millisecond
	restMost = 800 * time.Millisecond
)

// Rejected says that an endpoint turned a request away.
func (l *Tracker) Rejected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(id)
	s.restUntil = time.Now().Add(min(restFor<<min(s.rejections, 8), restMost))
	s.rejections++
}

// movedFor is how long an endpoint that is not at its address is left alone: its
// entry is removed after three heartbeats of silence.
const movedFor = 5 * time.Second

// Misdirected says that another endpoint is at the address.
func (l *Tracker) Misdirected(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).movedUntil = time.Now().Add(movedFor)
}

// SetReport takes a report on the endpoint at an address.
func (l *Tracker) SetReport(address string, r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id, ok := l.byAddress[address]
	if !ok {
		return
	}
	s := l.state(id)
	s.report, s.reportedOwn, s.reportedAt = r, s.inFlight, time.Now()
}

// Estimate is what is thought of an endpoint now.
type Estimate struct {
	// Load counts running and waiting requests.
	Load float64
	// Reported is true if a fresh report stands behind it, Stale if there was one
	// and it is old.
	Reported, Stale bool
	Group           string
	// GroupDown is true if its group cannot step.
	GroupDown bool
	// Unhealthy is true if requests failed there of late.
	Unhealthy bool
	// Misdirected is true if another endpoint was found at the address.
	Misdirected bool
	// BackingOff is true if it turned requests away of late.
	BackingOff bool
	// Slowdown, PassTime and PassElapsed are the report's.
	Slowdown              float64
	PassTime, PassElapsed time.Duration
}

// Estimate returns what is thought of an endpoint.
func (l *Tracker) Estimate(id string, now time.Time) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[id]
	if s == nil {
		return Estimate{}
	}
	e := Estimate{Unhealthy: now.Before(s.illUntil), Misdirected: now.Before(s.movedUntil), BackingOff: now.Before(s.restUntil)}
	if now.Sub(s.reportedAt) >= reportLife {
		// What the other nodes send is not known. A guess from this node's own few
		// requests would call free endpoints full; they turn away what they cannot
		// take.
		e.Load = float64(s.inFlight)
		e.Stale = !s.reportedAt.IsZero()
		return e
	}
	e.Reported, e.Group = true, s.report.Group
	e.Slowdown, e.PassTime, e.PassElapsed = s.report.Slowdown, s.report.PassTime, s.report.PassElapsed
	e.GroupDown = s.report.Group != "" && !s.report.GroupReady
	e.Load = float64(max(s.report.Running+s.report.Queued+s.inFlight-s.reportedOwn, s.inFlight))
	return e
}

const (
	// ratePeriod is the time over which the rate of requests is averaged.
	ratePeriod = 2 * time.Second
	// reportAge is how old a report of load is on average when it is used, from
	// the engine's word to the next report: the sum of the agents' periods.
	reportAge = 250 * time.Millisecond
)

// rate is an average of arrivals a second that fades with time.
type rate struct {
	perSecond float64
	at        time.Time
}

// CountArrival counts a request for a service and returns how many requests of all
// nodes the reports do not show yet.
func (l *Tracker) CountArrival(service string, now time.Time) (unseen float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rates[service]
	if r == nil {
		r = &rate{at: now}
		l.rates[service] = r
	}
	fade := math.Exp(-now.Sub(r.at).Seconds() / ratePeriod.Seconds())
	r.perSecond = r.perSecond*fade + 1/ratePeriod.Seconds()
	r.at = now
	return r.perSecond * float64(l.nodes) * reportAge.Seconds()
}
