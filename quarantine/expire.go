package quarantine

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// expire deletes the facts that have expired.
func (l *List) expire() {
	now := time.Now()
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	maps.DeleteFunc(l.crashes, func(_ reportKey, c crashFact) bool { return !now.Before(c.expires) })
	maps.DeleteFunc(l.clears, func(_ clearKey, c clearFact) bool { return !now.Before(c.expires) })
	maps.DeleteFunc(l.exchanged, func(key any, _ bool) bool { return !l.holds(key) })
	l.recompute()
}

// holds reports whether there is a fact with a key.
func (l *List) holds(key any) bool {
	switch key := key.(type) {
	case reportKey:
		_, ok := l.crashes[key]
		return ok
	case clearKey:
		_, ok := l.clears[key]
		return ok
	}
	return false
}

// recompute deletes facts beyond the limits and computes the states again. It is
// called after each change of the facts.
func (l *List) recompute() {
	l.version++
	trim(l.crashes, l.cfg.MaxCrashes, func(c crashFact) time.Time { return c.expires })
	trim(l.clears, l.cfg.MaxClears, func(c clearFact) time.Time { return c.expires })
	l.nextExpiry = time.Time{}
	byID := make(map[CrashID]uncleared, len(l.crashes))
	for key, c := range l.crashes {
		l.nextExpiry = earlier(l.nextExpiry, c.expires)
		if byID[key.crash] == nil {
			byID[key.crash] = make(uncleared)
		}
		set := byID[key.crash]
		l.addUncleared(set, key.crash, c.fingerprints, involvement{kind: kindContent})
		l.addUncleared(set, key.crash, slices.Collect(maps.Keys(c.parts)), involvement{kind: kindPart})
		l.addUncleared(set, key.crash, c.young, involvement{kind: kindContent, young: true})
		l.addUncleared(set, key.crash, c.youngParts, involvement{kind: kindPart, young: true})
	}
	for _, c := range l.clears {
		l.nextExpiry = earlier(l.nextExpiry, c.expires)
	}
	facts := slices.Collect(maps.Values(byID))
	l.uncleared = make(map[Fingerprint]bool)
	for _, c := range facts {
		for fp := range c {
			l.uncleared[fp] = true
		}
	}
	before := l.states
	l.states = l.computeStates(facts)
	l.together = refusedTogether(facts, l.states)
	if l.cfg.SuspectFromSecondCrash {
		dropFirstCrash(l.states, facts)
	}
	logChanges(before, l.states)
}

// addUncleared adds the fingerprints that are not cleared of a crash to c. One of a request
// that waited at one node and was young at another counts as waiting.
func (l *List) addUncleared(c uncleared, id CrashID, fps []Fingerprint, as involvement) {
	for _, fp := range fps {
		if _, cleared := l.clears[clearKey{fp, id}]; cleared {
			continue
		}
		if known, ok := c[fp]; !ok || known.young {
			c[fp] = as
		}
	}
}

// dropFirstCrash deletes the suspicion of contents that were in flight at one crash
// only.
func dropFirstCrash(states map[Fingerprint]State, crashes []uncleared) {
	count := make(map[Fingerprint]int)
	for _, c := range crashes {
		for fp, in := range c {
			if in.kind == kindContent {
				count[fp]++
			}
		}
	}
	for fp, n := range count {
		if n < minCrashes && states[fp] == Suspect {
			delete(states, fp)
		}
	}
}

// trim deletes the facts that expire first until at most n remain.
func trim[K comparable, V any](facts map[K]V, n int, expires func(V) time.Time) {
	for len(facts) > n {
		var first K
		var at time.Time
		for k, v := range facts {
			if e := expires(v); at.IsZero() || e.Before(at) {
				first, at = k, e
			}
		}
		delete(facts, first)
	}
}

func logChanges(before, after map[Fingerprint]State) {
	for fp, s := range after {
		if before[fp] != s {
			counts.Add("became "+s.String(), 1)
			klog.Infof("quarantine: content %s is %s", fp, s)
		}
	}
	for fp := range before {
		if after[fp] == Clean {
			counts.Add("became "+Clean.String(), 1)
			klog.Infof("quarantine: content %s is %s", fp, Clean)
		}
	}
}
