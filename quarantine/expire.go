package quarantine

import (
	"maps"
	"time"

	"k8s.io/klog/v2"
)

// expire drops the facts whose time is over.
func (l *List) expire() {
	now := time.Now()
	if l.earliest.IsZero() || now.Before(l.earliest) {
		return
	}
	maps.DeleteFunc(l.crashes, func(_ CrashID, c crashFact) bool { return !now.Before(c.expires) })
	maps.DeleteFunc(l.clears, func(_ clearKey, c clearFact) bool { return !now.Before(c.expires) })
	l.changed()
}

// changed keeps the bounds and judges the facts anew.
func (l *List) changed() {
	l.version++
	trim(l.crashes, l.cfg.MaxCrashes, func(c crashFact) time.Time { return c.expires })
	trim(l.clears, l.cfg.MaxClears, func(c clearFact) time.Time { return c.expires })
	l.earliest = time.Time{}
	facts := make([]fact, 0, len(l.crashes))
	for id, c := range l.crashes {
		l.earliest = earlier(l.earliest, c.expires)
		f := make(fact, len(c.fingerprints))
		for _, fp := range c.fingerprints {
			if _, cleared := l.clears[clearKey{fp, id}]; !cleared {
				f[fp] = true
			}
		}
		facts = append(facts, f)
	}
	for _, c := range l.clears {
		l.earliest = earlier(l.earliest, c.expires)
	}
	before := l.states
	l.states = l.judge(facts)
	logChanges(before, l.states)
}

// trim deletes the facts that expire first until at most n are left.
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
