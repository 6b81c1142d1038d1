package pacing

import (
	"sync"
	"time"
)

const (
	// maxColdTime bounds the time for which a statement counts where the service states
	// no time of a cold start.
	maxColdTime = time.Hour
	// rowDelay is the longest time after which a change of an endpoint's row is known, if
	// the store answers.
	rowDelay = 5 * time.Second
	// freezeGap is the time between two ticks from which the process counts as frozen
	// in between. After a shorter one its lists are not older than they may be at any time.
	freezeGap = 2 * time.Second
	// unlistedKeep is how long the state of an endpoint that is not listed is kept. Its
	// row may lapse in an outage of the store and come back.
	unlistedKeep = 5 * time.Minute
)

// ColdCause is why an endpoint counts as cold.
type ColdCause uint8

// The causes.
const (
	// ColdNone: it does not count as cold.
	ColdNone ColdCause = iota
	// ColdUnstated: its row states no time and no answer has come yet.
	ColdUnstated
	// ColdByRow, ColdByAnswer and ColdByPeer: its row, an answer of it, or another node
	// states a time.
	ColdByRow
	ColdByAnswer
	ColdByPeer
	// ColdAfterEvacuation: the evacuation of its failure domain has ended.
	ColdAfterEvacuation
	// ColdAfterFreeze: this process was frozen and may have missed changes.
	ColdAfterFreeze
)

// String returns the cause as it appears in logs.
func (c ColdCause) String() string {
	return [...]string{"none", "unstated", "row", "answer", "peer", "evacuation ended", "process was frozen"}[c]
}

// ColdRow is what an endpoint's row states.
type ColdRow struct {
	// Revision differs between two contents of the row.
	Revision uint64
	// Stated is true if the row states a time, Remaining is that time.
	Stated    bool
	Remaining time.Duration
	// Restored is true if the row may be older than one that was listed before. Then it does
	// not shorten a time.
	Restored bool
}

// ColdStatement is what nodes tell each other of a cold endpoint.
type ColdStatement struct {
	Endpoint  Endpoint      `json:"endpoint"`
	Remaining time.Duration `json:"remaining"`
}

// coldState is the state of one endpoint.
type coldState struct {
	incarnation, revision uint64
	// listed is false while only another node has reported the endpoint.
	listed bool
	// until is the end of the time that was stated last, at statedAt, by cause.
	until, statedAt time.Time
	cause           ColdCause
	// unstatedSince is when an incarnation was listed whose row states no time; zero for
	// none.
	unstatedSince time.Time
	// knownAt is the moment from before which nothing makes the state unknown: the
	// sending of the latest request whose answer stated it.
	knownAt time.Time
	// unlistedAt is when the endpoint disappeared from the list; zero if it is listed.
	unlistedAt time.Time
	// reported is the cause that Cold returned last.
	reported ColdCause
}

// ColdStates holds which endpoints are cold, as far as this node knows. A state that is not
// known counts as cold for the time of a cold start. It is safe for concurrent use. Times
// are passed in.
type ColdStates struct {
	mu       sync.Mutex
	states   map[string]*coldState
	tickedAt time.Time
	// frozenUntil is the end of the latest freeze of this process.
	frozenUntil time.Time
}

// NewColdStates returns a ColdStates without endpoints.
func NewColdStates() *ColdStates { return &ColdStates{states: make(map[string]*coldState)} }

// Tick records that the process runs, and reports whether it was frozen before. Endpoints
// may have become cold meanwhile.
func (c *ColdStates) Tick(now time.Time) (frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The monotonic clock of a VM that was suspended may have stood still, and the wall
	// clock may have been set back.
	gap := max(now.Sub(c.tickedAt), now.Round(0).Sub(c.tickedAt.Round(0)))
	frozen = !c.tickedAt.IsZero() && gap > freezeGap
	if frozen {
		c.frozenUntil = now
	}
	if now.After(c.tickedAt) {
		c.tickedAt = now
	}
	return frozen
}

// List records the row of an endpoint. A remaining time counts from when its row was
// learned, not from later copies of the table with the same row.
func (c *ColdStates) List(e Endpoint, row ColdRow, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	if s == nil || s.incarnation != e.Incarnation {
		next := &coldState{incarnation: e.Incarnation}
		if s != nil {
			next.reported = s.reported
		}
		s = next
		c.states[e.ID] = s
	}
	s.unlistedAt = time.Time{}
	if !s.listed {
		s.listed, s.revision = true, row.Revision
		switch {
		case !row.Stated:
			s.unstatedSince = now
		case now.Add(row.Remaining).After(s.until):
			s.state(row.Remaining, ColdByRow, now)
		}
		return
	}
	if s.revision == row.Revision {
		return
	}
	s.revision = row.Revision
	if !row.Stated || row.Restored && !now.Add(row.Remaining).After(s.until) {
		return
	}
	s.unstatedSince = time.Time{}
	// The row may be older than the latest answer, so it does not shorten a time that an
	// answer has stated.
	if s.cause == ColdByRow || now.Add(row.Remaining).After(s.until) {
		s.state(row.Remaining, ColdByRow, now)
	}
	if at := now.Add(-rowDelay); !row.Restored && at.After(s.knownAt) {
		s.knownAt = at
	}
}

func (s *coldState) state(remaining time.Duration, cause ColdCause, now time.Time) {
	s.until, s.statedAt, s.cause = now.Add(remaining), now, cause
}

// Answer records the time that an answer states; zero if the endpoint is warm. sentAt is
// when its request was sent. It reports whether the endpoint has become cold, which the
// other nodes should know.
func (c *ColdStates) Answer(e Endpoint, remaining time.Duration, sentAt, now time.Time) (becameCold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	if s == nil || s.incarnation != e.Incarnation || remaining == 0 && sentAt.Before(s.statedAt) {
		return false
	}
	becameCold = remaining > 0 && !now.Before(s.until)
	s.state(remaining, ColdByAnswer, now)
	if sentAt.After(s.knownAt) {
		s.knownAt = sentAt
	}
	return becameCold
}

// Merge records statements that another node has received, also of endpoints that are not
// listed yet: a node that has just started may get reports before it has the list.
func (c *ColdStates) Merge(statements []ColdStatement, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range statements {
		s := c.states[m.Endpoint.ID]
		remaining := min(max(m.Remaining, 0), maxColdTime)
		if s == nil {
			s = &coldState{incarnation: m.Endpoint.Incarnation}
			c.states[m.Endpoint.ID] = s
		}
		if s.incarnation == m.Endpoint.Incarnation && now.Add(remaining).After(s.until) {
			s.state(remaining, ColdByPeer, now)
		}
	}
}

// Statements returns the endpoints that state that they are cold.
func (c *ColdStates) Statements(now time.Time) []ColdStatement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ColdStatement
	for id, s := range c.states {
		if left := s.until.Sub(now); left > 0 {
			out = append(out, ColdStatement{Endpoint: Endpoint{ID: id, Incarnation: s.incarnation}, Remaining: left})
		}
	}
	return out
}

// ColdLimit is what bounds the cold state of an endpoint.
type ColdLimit struct {
	// Start is the time of a cold start, zero if the service states none.
	Start time.Duration
	// EvacuationEnd is when the latest evacuation of the endpoint's failure domain
	// ended; zero if there was none.
	EvacuationEnd time.Time
}

// Cold returns the time for which an endpoint still counts as cold, zero if it is warm, and
// the cause. changed is true if the cause differs from that of the previous call.
func (c *ColdStates) Cold(e Endpoint, limit ColdLimit, now time.Time) (remaining time.Duration, cause ColdCause, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	if s == nil || s.incarnation != e.Incarnation {
		return limit.Start, ColdUnstated, false
	}
	until, cause := s.until, s.cause
	most := limit.Start
	if most == 0 {
		most = maxColdTime
	}
	if end := s.statedAt.Add(most); end.Before(until) {
		until = end
	}
	for _, u := range []struct {
		since time.Time
		cause ColdCause
	}{{s.unstatedSince, ColdUnstated}, {limit.EvacuationEnd, ColdAfterEvacuation}, {c.frozenUntil, ColdAfterFreeze}} {
		if end := u.since.Add(limit.Start); u.since.After(s.knownAt) && end.After(until) {
			until, cause = end, u.cause
		}
	}
	remaining = max(until.Sub(now), 0)
	if remaining == 0 {
		cause = ColdNone
	}
	changed = cause != s.reported
	s.reported = cause
	return remaining, cause, changed
}

// Retain forgets the endpoints that have not been listed for some time.
func (c *ColdStates) Retain(listed func(endpoint string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.states {
		switch {
		case listed(id):
			s.unlistedAt = time.Time{}
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
		case now.Sub(s.unlistedAt) > unlistedKeep:
			delete(c.states, id)
		}
	}
}
