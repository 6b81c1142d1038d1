package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Request identifies a request by its content and by the parts of its prompt that other
// requests may share.
type Request struct {
	parts []Fingerprint
	// content computes the fingerprint of the whole request once. That takes time and is
	// needed only around crashes.
	content func() Fingerprint
}

// NewRequest returns the identity of a request. parts are the ids of the parts of its
// prompt that other requests may share.
func NewRequest(c Content, parts []string) *Request {
	r := &Request{content: sync.OnceValue(func() Fingerprint { return FingerprintOf(c) })}
	for _, id := range parts {
		r.parts = append(r.parts, partFingerprint(c, id))
	}
	return r
}

func (r *Request) all() []Fingerprint { return append(slices.Clone(r.parts), r.content()) }

// Judgement is what the facts say about a request.
type Judgement struct {
	State State
	// Suspects are the request's content and parts that are suspects.
	Suspects []Fingerprint
	// Group is the rank group of the endpoint that crashed last with a suspect in
	// flight, or empty, and Age the time since then.
	Group string
	Age   time.Duration
	// Crashed are the endpoints that crashed with a suspect in flight.
	Crashed []string
	// Rank is the number of suspect parts of the latest crash whose requests had waited for
	// a shorter time than those with this request's suspects. Engines begin the answers
	// mostly in the order of the requests, so the cause is probably among those that
	// waited longest.
	Rank int
	// Last is true if all other suspects of that crash come before this one, and a
	// reporter of the crash had many answers before; see Crash.Established.
	Last bool
	// Remaining is how long the request stays quarantined.
	Remaining time.Duration
}

// Empty reports whether there are no facts about crashes, so that each request is clean.
func (l *List) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return len(l.crashes) == 0
}

// Judge returns what the facts say about a request.
func (l *List) Judge(r *Request) Judgement {
	if l.Empty() {
		return Judgement{}
	}
	fps := r.all()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	var j Judgement
	for _, fp := range fps {
		switch l.states[fp] {
		case Quarantined:
			return Judgement{State: Quarantined, Remaining: l.entry(fp).Remaining}
		case Suspect:
			j.State = Suspect
			j.Suspects = append(j.Suspects, fp)
		}
	}
	for _, set := range l.together {
		if isSubset(set, fps) {
			return Judgement{State: Quarantined, Remaining: l.entry(set[0]).Remaining}
		}
	}
	if j.State == Suspect {
		l.describeCrashes(&j)
	}
	return j
}

// describeCrashes sets the fields about the crashes with one of the suspects in
// flight: Group and Age by the latest of them, Rank and Last by all suspects of that one.
func (l *List) describeCrashes(j *Judgement) {
	var latest time.Time
	var id CrashID
	for key, c := range l.crashes {
		involved := slices.ContainsFunc(j.Suspects, func(fp Fingerprint) bool {
			return l.isSuspectOf(fp, key.crash) && c.has(fp)
		})
		if involved {
			j.Crashed = append(j.Crashed, key.crash.Endpoint)
		}
		if involved && c.expires.After(latest) {
			latest, id, j.Group = c.expires, key.crash, c.group
		}
	}
	j.Age = l.cfg.Keep - time.Until(latest)
	established, contents, waited := false, 0, make(map[Fingerprint]time.Duration)
	for key, c := range l.crashes {
		if key.crash != id {
			continue
		}
		established = established || c.established
		for _, fp := range c.fingerprints {
			if l.isSuspectOf(fp, id) {
				contents++
			}
		}
		for fp, d := range c.parts {
			if l.isSuspectOf(fp, id) {
				waited[fp] = max(waited[fp], d)
			}
		}
		for _, fp := range c.young {
			if l.isSuspectOf(fp, id) && !slices.Contains(c.fingerprints, fp) {
				contents++
			}
		}
		for _, fp := range c.youngParts {
			if _, ok := waited[fp]; !ok && l.isSuspectOf(fp, id) {
				waited[fp] = 0
			}
		}
	}
	j.Rank = rank(waited, j.Suspects)
	lastPart := contents == 0 && j.Rank == len(waited)-1
	// A content that was in flight at two crashes is as probable a cause as a part.
	onlyContent := contents == 1 && len(waited) == 0
	j.Last = established && (lastPart || onlyContent)
}

// rank returns how many fingerprints come before all of own in the order of the times.
// Equal times are ordered by the fingerprint.
func rank(waited map[Fingerprint]time.Duration, own []Fingerprint) int {
	order := slices.SortedFunc(maps.Keys(waited), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(waited[a], waited[b]), cmp.Compare(a, b))
	})
	for i, fp := range order {
		if slices.Contains(own, fp) {
			return i
		}
	}
	return 0
}

// isSuspectOf reports whether a fingerprint is a suspect and not cleared of a crash.
func (l *List) isSuspectOf(fp Fingerprint, id CrashID) bool {
	_, cleared := l.clears[clearKey{fp, id}]
	return !cleared && l.states[fp] == Suspect
}

func isSubset(set, of []Fingerprint) bool {
	for _, fp := range set {
		if !slices.Contains(of, fp) {
			return false
		}
	}
	return true
}
