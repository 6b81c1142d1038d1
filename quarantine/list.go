package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// maxCrashFingerprints is the maximum number of fingerprints of a crash; a larger
// fact is not merged.
const maxCrashFingerprints = 4096

// minMergeRemaining is the minimum remaining time of a fact to be merged. It
// stops nodes from exchanging facts that are about to expire.
const minMergeRemaining = 10 * time.Second

// Config configures a List.
type Config struct {
	// Keep is how long a crash is kept. It must be the same on all nodes.
	Keep time.Duration
	// MaxCrashes and MaxClears limit the number of facts. Beyond them the facts
	// that expire first are deleted.
	MaxCrashes int
	MaxClears  int
	// SuspectFromSecondCrash makes whole requests suspects from their second crash
	// only. An entry node that sends requests directly to endpoints may then send a
	// request to another endpoint after a crash, of which it seldom is the cause.
	SuspectFromSecondCrash bool
}

// ConfigError is returned for an invalid Config.
type ConfigError struct {
	Field string
	Value int64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("quarantine: %s must be positive, have %d", e.Field, e.Value)
}

type clearKey struct {
	fingerprint Fingerprint
	crash       CrashID
}

// reportKey identifies the report of one node on a crash.
type reportKey struct {
	crash    CrashID
	reporter string
}

type crashFact struct {
	fingerprints []Fingerprint
	// parts holds how long requests with each part had waited at most.
	parts map[Fingerprint]time.Duration
	// young and youngParts are those of requests whose answers had begun.
	young, youngParts []Fingerprint
	group             string
	established       bool
	expires           time.Time
}

func (c crashFact) has(fp Fingerprint) bool {
	_, isPart := c.parts[fp]
	return isPart || slices.Contains(c.fingerprints, fp) || slices.Contains(c.young, fp) || slices.Contains(c.youngParts, fp)
}

type clearFact struct {
	by      string
	expires time.Time
}

// List holds the crash and clearance facts of a node. It is safe for concurrent
// use.
type List struct {
	cfg Config

	mu      sync.Mutex
	crashes map[reportKey]crashFact
	clears  map[clearKey]clearFact
	// computeStates applies the rules; states is its result for the present
	// facts.
	computeStates func([]uncleared) map[Fingerprint]State
	states        map[Fingerprint]State
	// uncleared holds the fingerprints that are not cleared of all their crashes.
	uncleared map[Fingerprint]bool
	// together is the result of refusedTogether for the present facts.
	together [][]Fingerprint
	// exchanged holds the keys of the facts that other nodes have.
	exchanged map[any]bool
	// nextExpiry is when the next fact expires.
	nextExpiry time.Time
	version    uint64
}

// NewList returns an empty list.
func NewList(cfg Config) (*List, error) {
	for field, v := range map[string]int64{
		"keep": int64(cfg.Keep), "max_crashes": int64(cfg.MaxCrashes), "max_clears": int64(cfg.MaxClears),
	} {
		if v <= 0 {
			return nil, &ConfigError{Field: field, Value: v}
		}
	}
	return &List{
		cfg:           cfg,
		computeStates: computeStates,
		crashes:       make(map[reportKey]crashFact),
		clears:        make(map[clearKey]clearFact),
		exchanged:     make(map[any]bool),
	}, nil
}

// State returns the state of a content.
func (l *List) State(fp Fingerprint) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.states[fp]
}

// Version returns a number that increases with each change of the facts. It is
// not comparable between nodes.
func (l *List) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.version
}

// RecordCrash adds a crash that this process detected.
func (l *List) RecordCrash(id CrashID, fps []Fingerprint) {
	counts.Add("crashes", 1)
	klog.Infof("quarantine: crash %s with %d contents in flight: %s", id, len(fps), join(fps))
	l.Merge(Facts{Crashes: []Crash{{ID: id, Fingerprints: fps, Remaining: l.cfg.Keep}}})
}

// RecordAnswer clears a content of all its crashes after an endpoint gave a
// complete answer to it.
func (l *List) RecordAnswer(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	l.clear(fp, "")
}

// Clear clears a content of all its crashes on behalf of an operator. It returns a
// *NotFoundError if the content was in flight at no known crash, or was already
// cleared of all of them.
func (l *List) Clear(fp Fingerprint, operator string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if !l.clear(fp, operator) {
		return &NotFoundError{Fingerprint: fp}
	}
	return nil
}

func (l *List) clear(fp Fingerprint, by string) bool {
	if !l.uncleared[fp] {
		return false
	}
	found := false
	for report, c := range l.crashes {
		key := clearKey{fp, report.crash}
		if _, ok := l.clears[key]; ok || !c.has(fp) {
			continue
		}
		l.clears[key] = clearFact{by: by, expires: c.expires}
		found = true
	}
	if found {
		klog.Infof("quarantine: content %s cleared by %q", fp, by)
		l.recompute()
	}
	return found
}

// Merge adds facts from another node and reports whether any was new.
func (l *List) Merge(facts Facts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	now := time.Now()
	added := false
	for _, c := range facts.Crashes {
		added = l.mergeCrash(c, now) || added
	}
	for _, c := range facts.Clears {
		added = l.mergeClear(c, now) || added
	}
	if added {
		l.recompute()
	}
	return added
}

// MergeFromPeer adds facts that another node has sent and reports whether any was new.
func (l *List) MergeFromPeer(facts Facts) bool {
	l.mu.Lock()
	for _, c := range facts.Crashes {
		l.exchanged[reportKey{c.ID, c.Reporter}] = true
	}
	for _, c := range facts.Clears {
		l.exchanged[clearKey{c.Fingerprint, c.Crash}] = true
	}
	l.mu.Unlock()
	return l.Merge(facts)
}

// mergeCrash adds a crash and reports whether it was new. For a known crash it
// keeps the shorter remaining time: the other one is longer only by the delay of
// its message.
func (l *List) mergeCrash(c Crash, now time.Time) bool {
	expires := now.Add(min(c.Remaining, l.cfg.Keep))
	key := reportKey{c.ID, c.Reporter}
	if known, ok := l.crashes[key]; ok {
		known.expires = earlier(known.expires, expires)
		// A node of an earlier version passes the report on without its young requests.
		added := len(known.young) == 0 && len(c.Young) > 0 && c.size() <= maxCrashFingerprints
		if added {
			known.young, known.youngParts = sorted(c.Young), sorted(c.YoungParts)
		}
		l.crashes[key] = known
		l.nextExpiry = earlier(l.nextExpiry, expires)
		return added
	}
	if c.Remaining < minMergeRemaining || c.size() > maxCrashFingerprints {
		return false
	}
	parts := make(map[Fingerprint]time.Duration, len(c.Parts))
	for _, p := range c.Parts {
		parts[p.Fingerprint] = max(parts[p.Fingerprint], p.Waited)
	}
	l.crashes[key] = crashFact{
		fingerprints: sorted(c.Fingerprints), parts: parts, young: sorted(c.Young), youngParts: sorted(c.YoungParts),
		group: c.Group, established: c.Established, expires: expires,
	}
	return true
}

// size returns the number of fingerprints of a crash.
func (c *Crash) size() int {
	return len(c.Fingerprints) + len(c.Parts) + len(c.Young) + len(c.YoungParts)
}

// sorted returns the distinct fingerprints in order.
func sorted(fps []Fingerprint) []Fingerprint {
	fps = slices.Clone(fps)
	slices.Sort(fps)
	return slices.Compact(fps)
}

func (l *List) mergeClear(c Clear, now time.Time) bool {
	key := clearKey{c.Fingerprint, c.Crash}
	expires := now.Add(min(c.Remaining, l.cfg.Keep))
	if known, ok := l.clears[key]; ok {
		// All nodes must converge to the same name, so the greater one is kept.
		known.by = max(known.by, c.By)
		known.expires = earlier(known.expires, expires)
		l.clears[key] = known
		l.nextExpiry = earlier(l.nextExpiry, expires)
		return false
	}
	if c.Remaining < minMergeRemaining {
		return false
	}
	l.clears[key] = clearFact{by: c.By, expires: expires}
	return true
}

// Facts returns all facts.
func (l *List) Facts() Facts {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	now := time.Now()
	var facts Facts
	for key, c := range l.crashes {
		facts.Crashes = append(facts.Crashes, c.report(key, now))
	}
	for key, c := range l.clears {
		facts.Clears = append(facts.Clears, Clear{Fingerprint: key.fingerprint, Crash: key.crash, By: c.by, Remaining: c.expires.Sub(now)})
	}
	return facts
}

// report returns the fact as other nodes get it.
func (c crashFact) report(key reportKey, now time.Time) Crash {
	crash := Crash{
		ID: key.crash, Reporter: key.reporter, Group: c.group, Established: c.established,
		Fingerprints: slices.Clone(c.fingerprints), Young: slices.Clone(c.young), YoungParts: slices.Clone(c.youngParts),
		Remaining: c.expires.Sub(now),
	}
	for fp, waited := range c.parts {
		crash.Parts = append(crash.Parts, WaitingPart{fp, waited})
	}
	return crash
}

// Entries returns the suspect and quarantined contents for operators, the
// quarantined ones first.
func (l *List) Entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	var out []Entry
	for _, fp := range slices.Sorted(maps.Keys(l.states)) {
		out = append(out, l.entry(fp))
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return int(b.State - a.State) })
	return out
}

func (l *List) entry(fp Fingerprint) Entry {
	e := Entry{Fingerprint: fp, State: l.states[fp]}
	for key, c := range l.crashes {
		if _, cleared := l.clears[clearKey{fp, key.crash}]; cleared || !c.has(fp) {
			continue
		}
		e.Crashes = append(e.Crashes, key.crash)
		e.Remaining = max(e.Remaining, time.Until(c.expires))
	}
	slices.SortFunc(e.Crashes, func(a, b CrashID) int { return strings.Compare(a.String(), b.String()) })
	e.Crashes = slices.Compact(e.Crashes)
	return e
}

// remaining returns the maximum time for which a content keeps its state.
func (l *List) remaining(fp Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entry(fp).Remaining
}

func join(fps []Fingerprint) string {
	s := make([]string, len(fps))
	for i, fp := range fps {
		s[i] = string(fp)
	}
	return strings.Join(s, " ")
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
