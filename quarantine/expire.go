package quarantine

import (
	"maps"
	"time"

	"k8s.io/klog/v2"
)

// expire deletes the facts that have expired.
func (l *List) expire() {
	now := time.Now()
	if l.nextExpiry.IsZero() || now.Before(l.nextExpiry) {
		return
	}
	maps.DeleteFunc(l.crashes, func(_ CrashID, c crashFact) bool { return !now.Before(c.expires) })
	maps.DeleteFunc(l.clears, func(_ clearKey, c clearFact) bool { return !now.Before(c.expires) })
	l.recompute()
}

// recompute deletes facts beyond the limits and computes the states again. It is
// called after each change of the facts.
func (l *List) recompute() {
	l.version++
	trim(l.crashes, l.cfg.MaxCrashes, func(c crashFact) time.Time { return c.expires })
	trim(l.clears, l.cfg.MaxClears, func(c clearFact) time.Time { return c.expires })
	l.nextExpiry = time.Time{}
	facts := make([]uncleared, 0, len(l.crashes))
	for id, c := range l.crashes {
		l.nextExpiry = earlier(l.nextExpiry, c.expires)
		f := make(uncleared, len(c.fingerprints))
		for _, fp := range c.fingerprints {
			if _, cleared := l.clears[clearKey{fp, id}]; !cleared {
				f[fp] = true
			}
		}
		facts = append(facts, f)
	}
	for _, c := range l.clears {
		l.nextExpiry = earlier(l.nextExpiry, c.expires)
	}
	before := l.states
	l.states = l.computeStates(facts)
	logChanges(before, l.states)
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
