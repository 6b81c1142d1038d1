package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxAnsweredParts bounds the parts for which the time of the last answer is kept.
	maxAnsweredParts = 1024
	// answeredWindow is how long an answer shows that a part does not crash endpoints.
	answeredWindow = 10 * time.Minute
	// establishedAnswers is the number of answers after which a node has seen enough parts
	// that do not crash endpoints for a part without an answer to be conspicuous.
	establishedAnswers = 10
	// maxReportedRequests bounds the requests in a report of a crash.
	maxReportedRequests = 64
	// lateEndWindow is how long an attempt that ended without an answer still counts as
	// in flight. The caller may leave just before the crash is noticed.
	lateEndWindow = 250 * time.Millisecond
	// beginningPeriod is how long after its first event an answer can be the cause of a
	// crash. Events of engines are 60 to 120 ms apart, so it covers several of them, and
	// only a quarter of the streams of 2 s is in it at any moment.
	beginningPeriod = 500 * time.Millisecond
)

// Site is an endpoint to which an entry node sends requests directly.
type Site struct {
	Endpoint string
	// Incarnation identifies the start of the endpoint's process.
	Incarnation uint64
	// Group is the endpoint's rank group, or empty.
	Group string
}

func (s Site) crashID() CrashID { return CrashID{Endpoint: s.Endpoint, Incarnation: s.Incarnation} }

// Attempts tracks the attempts of an entry node until their answers are past their
// beginning: beginningPeriod after the first event. It reports those at an endpoint that
// crashes, clears contents and parts that are answered, and withdraws attempts that wait
// for an answer and whose requests become suspects. It is safe for concurrent use.
type Attempts struct {
	list *List
	// reporter is the name of this node.
	reporter string
	// onChange is called without locks after a fact was added.
	onChange func()

	mu sync.Mutex
	// open holds the attempts without an event later than beginningPeriod after their first.
	open map[CrashID]map[*Attempt]struct{}
	// ended holds attempts that recently ended without an answer.
	ended []*Attempt
	// answers counts the answers to requests with parts.
	answers int
	// answered holds the time of the last answer to a request with a part.
	answered *lru.Cache[Fingerprint, time.Time]
}

// NewAttempts returns the attempts of a node. onChange is called after each change of
// the facts in list that comes from here.
func NewAttempts(list *List, reporter string, onChange func()) *Attempts {
	answered, err := lru.New[Fingerprint, time.Time](maxAnsweredParts)
	if err != nil {
		// The size is a positive constant.
		panic(err)
	}
	return &Attempts{
		list: list, reporter: reporter, onChange: onChange,
		open: make(map[CrashID]map[*Attempt]struct{}), answered: answered,
	}
}

// Attempt is one request in flight at one endpoint. Its methods must not be called
// concurrently.
type Attempt struct {
	attempts *Attempts
	site     Site
	request  *Request
	// withdraw cancels the attempt. It may be called more than once.
	withdraw func()
	begun    time.Time
	// done is true once the attempt is no longer tracked.
	done bool
	// firstEvent is the time of the first event, nil for none. Attempts reads it while the
	// attempt may be writing it.
	firstEvent atomic.Pointer[time.Time]
	endedAt    time.Time
}

// Begin records that a request is about to be sent to an endpoint.
func (a *Attempts) Begin(site Site, r *Request, withdraw func()) *Attempt {
	t := &Attempt{attempts: a, site: site, request: r, withdraw: withdraw, begun: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	id := site.crashID()
	if a.open[id] == nil {
		a.open[id] = make(map[*Attempt]struct{})
	}
	a.open[id][t] = struct{}{}
	return t
}

// Answered records an event of the answer, or that the endpoint did not run the request.
// An event later than beginningPeriod after the first clears the request's content and
// parts of earlier crashes.
func (t *Attempt) Answered(ran bool) {
	if t.done {
		return
	}
	if !ran {
		t.done = true
		t.attempts.remove(t)
		return
	}
	now := time.Now()
	first := t.firstEvent.Load()
	switch {
	case first == nil:
		t.firstEvent.Store(&now)
	case now.Sub(*first) >= beginningPeriod:
		t.clear()
	}
}

// Completed records the end of a complete answer, which clears the request's content and
// parts of earlier crashes.
func (t *Attempt) Completed() {
	if !t.done {
		t.clear()
	}
}

// clear ends the tracking of an attempt whose request is not the cause of earlier crashes.
func (t *Attempt) clear() {
	a := t.attempts
	t.done = true
	a.remove(t)
	a.recordAnswer(t.request.parts)
	if a.list.Empty() {
		return
	}
	before := a.list.Version()
	for _, fp := range t.request.all() {
		a.list.RecordAnswer(fp)
	}
	if a.list.Version() != before {
		a.onChange()
	}
}

// AtBeginning reports whether a crash of the endpoint now may be caused by the request:
// its answer has not begun, or not longer than beginningPeriod ago.
func (t *Attempt) AtBeginning() bool {
	if t.done {
		return false
	}
	_, ok := t.phase(time.Now())
	return ok
}

// phase returns how long the attempt had waited for its first event at a time, or young if
// it had got it. ok is false if that was longer than beginningPeriod ago.
func (t *Attempt) phase(at time.Time) (p phase, ok bool) {
	first := t.firstEvent.Load()
	if first == nil {
		return phase{waited: at.Sub(t.begun)}, true
	}
	return phase{young: true}, at.Sub(*first) < beginningPeriod
}

// phase is the progress of an attempt at a crash.
type phase struct {
	// young is true if the answer had begun.
	young bool
	// waited is how long the request had waited for its answer otherwise.
	waited time.Duration
}

func (a *Attempts) recordAnswer(parts []Fingerprint) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers++
	for _, fp := range parts {
		a.answered.Add(fp, now)
	}
}

// established reports whether this node has had many answers to requests with parts.
func (a *Attempts) established() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answers >= establishedAnswers
}

// End records the end of the attempt.
func (t *Attempt) End() {
	a := t.attempts
	if t.done {
		return
	}
	t.done = true
	a.remove(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	t.endedAt = time.Now()
	a.ended = append(slices.DeleteFunc(a.ended, func(e *Attempt) bool { return time.Since(e.endedAt) > lateEndWindow }), t)
}

// remove deletes an attempt from those that are tracked.
func (a *Attempts) remove(t *Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := t.site.crashID()
	delete(a.open[id], t)
	if len(a.open[id]) == 0 {
		delete(a.open, id)
	}
}

// RecordCrash records that an endpoint crashed. It must be called before the attempts
// that failed by the crash have ended.
func (a *Attempts) RecordCrash(site Site) {
	if a.report(site) {
		a.changed()
	}
}

// Merge adds facts from another node and reports whether any was new. This node adds its
// own requests to new crashes.
func (a *Attempts) Merge(facts Facts) bool {
	if !a.list.MergeFromPeer(facts) {
		return false
	}
	for _, c := range facts.Crashes {
		a.report(Site{Endpoint: c.ID.Endpoint, Incarnation: c.ID.Incarnation, Group: c.Group})
	}
	a.changed()
	return true
}

// report adds this node's report on a crash, unless it has reported the crash or had
// no request there.
func (a *Attempts) report(site Site) bool {
	inFlight := a.inFlight(site.crashID())
	if len(inFlight) == 0 || a.list.hasReport(site.crashID(), a.reporter) {
		return false
	}
	c := Crash{ID: site.crashID(), Reporter: a.reporter, Group: site.Group, Established: a.established(), Remaining: a.list.cfg.Keep}
	for _, young := range []bool{false, true} {
		for t, p := range inFlight {
			if p.young == young && len(c.Fingerprints)+len(c.Young) < maxReportedRequests {
				c.add(t.request, p)
			}
		}
	}
	counts.Add("crashes", 1)
	return a.list.Merge(Facts{Crashes: []Crash{c}})
}

// add adds a request that was in flight at the crash.
func (c *Crash) add(r *Request, p phase) {
	if p.young {
		c.Young = append(c.Young, r.content())
		c.YoungParts = append(c.YoungParts, r.parts...)
		return
	}
	c.Fingerprints = append(c.Fingerprints, r.content())
	for _, fp := range r.parts {
		c.Parts = append(c.Parts, WaitingPart{fp, p.waited})
	}
}

// inFlight returns the attempts that may be the cause of a crash and their progress.
func (a *Attempts) inFlight(id CrashID) map[*Attempt]phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[*Attempt]phase)
	add := func(t *Attempt, at time.Time) {
		if p, ok := t.phase(at); ok {
			out[t] = p
		}
	}
	now := time.Now()
	for t := range a.open[id] {
		add(t, now)
	}
	for _, t := range a.ended {
		if t.site.crashID() == id && now.Sub(t.endedAt) <= lateEndWindow {
			add(t, t.endedAt)
		}
	}
	return out
}

// changed follows a change of the facts: it clears parts that were answered recently
// and withdraws attempts whose requests must not run where they are.
func (a *Attempts) changed() {
	a.clearAnswered()
	a.withdrawSuspects()
	a.onChange()
}

// clearAnswered clears the parts that were answered shortly before a crash. An answer
// from before another crash at which the part was in flight does not count, so that a
// part that begins to crash endpoints is found at its second crash.
func (a *Attempts) clearAnswered() {
	for _, c := range a.list.unclearedParts() {
		at, ok := a.answered.Peek(c.part)
		if ok && time.Since(at) <= answeredWindow && at.After(c.previous) {
			a.list.clearOf(c.part, c.crash)
		}
	}
}

// withdrawSuspects cancels the waiting attempts whose requests are suspects or
// quarantined because of a crash at another endpoint. An answer that has begun continues.
func (a *Attempts) withdrawSuspects() {
	a.mu.Lock()
	var all []*Attempt
	for _, at := range a.open {
		for t := range at {
			if t.firstEvent.Load() == nil {
				all = append(all, t)
			}
		}
	}
	a.mu.Unlock()
	for _, t := range all {
		if t.mustWithdraw(a.list.Judge(t.request)) {
			counts.Add("withdrawn", 1)
			t.withdraw()
		}
	}
}

// mustWithdraw reports whether an attempt must not go on. The attempt of a suspect may be
// its trial if it began after the crash. In the rank group that crashed it does no more
// harm.
func (t *Attempt) mustWithdraw(j Judgement) bool {
	switch j.State {
	case Quarantined:
		return true
	case Suspect:
		return time.Since(t.begun) > j.Age && (t.site.Group == "" || t.site.Group != j.Group)
	default:
		return false
	}
}

// simultaneousCrashes is the time within which several crashes may have one cause, such as
// the failure of a rack. An answer from before the first of them counts for all.
const simultaneousCrashes = 2 * time.Second

// partOfCrash is a part that is not cleared of a crash. previous is the time of the
// latest earlier crash at which it was in flight, cleared or not, except simultaneous ones;
// zero if there is none.
type partOfCrash struct {
	part     Fingerprint
	crash    CrashID
	previous time.Time
}

// unclearedParts returns the parts that are not cleared of a crash.
func (l *List) unclearedParts() []partOfCrash {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	type occurrence struct {
		crash CrashID
		at    time.Time
	}
	occurrences := make(map[Fingerprint][]occurrence)
	for key, c := range l.crashes {
		at := c.expires.Add(-l.cfg.Keep)
		for fp := range c.parts {
			occurrences[fp] = append(occurrences[fp], occurrence{key.crash, at})
		}
		for _, fp := range c.youngParts {
			occurrences[fp] = append(occurrences[fp], occurrence{key.crash, at})
		}
	}
	var out []partOfCrash
	for fp, os := range occurrences {
		slices.SortFunc(os, func(a, b occurrence) int {
			return a.at.Compare(b.at)
		})
		var previous time.Time
		first := os[0].at
		for i, o := range os {
			if o.at.Sub(first) > simultaneousCrashes {
				previous, first = os[i-1].at, o.at
			}
			if _, cleared := l.clears[clearKey{fp, o.crash}]; !cleared {
				out = append(out, partOfCrash{fp, o.crash, previous})
			}
		}
	}
	return out
}

// hasReport reports whether a node has reported a crash.
func (l *List) hasReport(id CrashID, reporter string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.crashes[reportKey{id, reporter}]
	return ok
}

// clearOf clears a fingerprint of one crash.
func (l *List) clearOf(fp Fingerprint, id CrashID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.crashes {
		if key.crash == id && c.has(fp) {
			l.clears[clearKey{fp, id}] = clearFact{expires: c.expires}
		}
	}
	l.recompute()
}
