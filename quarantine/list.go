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

// maxInFlight bounds the requests of one crash; a larger fact is not taken.
const maxInFlight = 4096

// minNewsRemaining is how much longer a fact must be kept to be taken from
// another node. It ends the passing on of facts that are about to expire.
const minNewsRemaining = 10 * time.Second

// Config bounds a list.
type Config struct {
	// Keep is how long a crash is remembered. All nodes use the same.
	Keep time.Duration
	// MaxCrashes and MaxClears bound the facts; the ones that expire first make
	// room.
	MaxCrashes int
	MaxClears  int
}

// ConfigError says that a list's configuration is unusable.
type ConfigError struct {
	Field string
	Value int64
}

// Error describes the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("quarantine: %s must be positive, have %d", e.Field, e.Value)
}

type clearKey struct {
	fingerprint Fingerprint
	crash       CrashID
}

type crashFact struct {
	fingerprints []Fingerprint
	expires      time.Time
}

type clearFact struct {
	by      string
	expires time.Time
}

// List holds the facts that a node knows. It is safe for concurrent use.
type List struct {
	cfg Config

	mu      sync.Mutex
	crashes map[CrashID]crashFact
	clears  map[clearKey]clearFact
	// judge applies the rules; states is what it makes of the facts.
	judge  func([]fact) map[Fingerprint]State
	states map[Fingerprint]State
	// earliest is when the next fact expires.
	earliest time.Time
	version  uint64
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
		cfg:     cfg,
		judge:   judge,
		crashes: make(map[CrashID]crashFact),
		clears:  make(map[clearKey]clearFact),
	}, nil
}

// State returns what is held of a content now.
func (l *List) State(fp Fingerprint) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.states[fp]
}

// Version grows with each change of the facts. It is not comparable between
// nodes.
func (l *List) Version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.version
}

// RecordCrash adds a crash that this node saw.
func (l *List) RecordCrash(id CrashID, fps []Fingerprint) {
	counts.Add("crashes", 1)
	klog.Infof("quarantine: crash %s with %d requests in flight: %s", id, len(fps), join(fps))
	l.Merge(Facts{Crashes: []Crash{{ID: id, Fingerprints: fps, Remaining: l.cfg.Keep}}})
}

// RecordAnswer clears a content of all its crashes, because an endpoint gave a
// whole answer to it.
func (l *List) RecordAnswer(fp Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	l.clear(fp, "")
}

// Clear clears a content on an operator's word. It returns an *UnknownError if
// the content was in flight at no crash that is remembered, or was cleared of
// all of them.
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
	found := false
	for id, c := range l.crashes {
		key := clearKey{fp, id}
		if _, ok := l.clears[key]; ok || !slices.Contains(c.fingerprints, fp) {
			continue
		}
		l.clears[key] = clearFact{by: by, expires: c.expires}
		found = true
	}
	if found {
		klog.Infof("quarantine: content %s cleared by %q", fp, by)
		l.changed()
	}
	return found
}

// Merge takes facts from another node and reports whether any was new.
func (l *List) Merge(n Facts) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	now := time.Now()
	fresh := false
	for _, c := range n.Crashes {
		fresh = l.mergeCrash(c, now) || fresh
	}
	for _, c := range n.Clears {
		fresh = l.mergeClear(c, now) || fresh
	}
	if fresh {
		l.changed()
	}
	return fresh
}

// mergeCrash keeps the shorter of two remaining times: the longer one only
// holds the delay of the news.
func (l *List) mergeCrash(c Crash, now time.Time) bool {
	expires := now.Add(min(c.Remaining, l.cfg.Keep))
	if old, ok := l.crashes[c.ID]; ok {
		old.expires = earlier(old.expires, expires)
		l.crashes[c.ID] = old
		l.earliest = earlier(l.earliest, expires)
		return false
	}
	if c.Remaining < minNewsRemaining || len(c.Fingerprints) > maxInFlight {
		return false
	}
	fps := slices.Clone(c.Fingerprints)
	slices.Sort(fps)
	l.crashes[c.ID] = crashFact{fingerprints: slices.Compact(fps), expires: expires}
	return true
}

func (l *List) mergeClear(c Clear, now time.Time) bool {
	key := clearKey{c.Fingerprint, c.Crash}
	expires := now.Add(min(c.Remaining, l.cfg.Keep))
	if old, ok := l.clears[key]; ok {
		// Both sides must come to the same name: the greater one stays.
		old.by = max(old.by, c.By)
		old.expires = earlier(old.expires, expires)
		l.clears[key] = old
		l.earliest = earlier(l.earliest, expires)
		return false
	}
	if c.Remaining < minNewsRemaining {
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
	var n Facts
	for id, c := range l.crashes {
		n.Crashes = append(n.Crashes, Crash{ID: id, Fingerprints: slices.Clone(c.fingerprints), Remaining: c.expires.Sub(now)})
	}
	for key, c := range l.clears {
		n.Clears = append(n.Clears, Clear{Fingerprint: key.fingerprint, Crash: key.crash, By: c.by, Remaining: c.expires.Sub(now)})
	}
	return n
}

// Entries lists the suspects and the quarantined for operators, gravest first.
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
	for id, c := range l.crashes {
		if _, cleared := l.clears[clearKey{fp, id}]; cleared || !slices.Contains(c.fingerprints, fp) {
			continue
		}
		e.Crashes = append(e.Crashes, id)
		e.Remaining = max(e.Remaining, time.Until(c.expires))
	}
	slices.SortFunc(e.Crashes, func(a, b CrashID) int { return strings.Compare(a.String(), b.String()) })
	return e
}

// remaining returns how long a content keeps its state at most.
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
