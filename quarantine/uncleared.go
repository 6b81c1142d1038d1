package quarantine

import (
	"slices"
	"strings"
	"time"
)

// UnclearedReports returns the reports of a node without what was cleared, the newest first
// and with at most n fingerprints in all. Reports that do not fit and those of which all
// was cleared are left out.
func (l *List) UnclearedReports(reporter string, n int) []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	now := time.Now()
	var own []Crash
	for key, fact := range l.crashes {
		if key.reporter != reporter {
			continue
		}
		c := fact.report(key, now)
		isCleared := func(fp Fingerprint) bool {
			_, cleared := l.clears[clearKey{fp, key.crash}]
			return cleared
		}
		c.Fingerprints = slices.DeleteFunc(c.Fingerprints, isCleared)
		c.Parts = slices.DeleteFunc(c.Parts, func(p WaitingPart) bool { return isCleared(p.Fingerprint) })
		c.Young = slices.DeleteFunc(c.Young, isCleared)
		c.YoungParts = slices.DeleteFunc(c.YoungParts, isCleared)
		slices.SortFunc(c.Parts, func(a, b WaitingPart) int { return strings.Compare(string(a.Fingerprint), string(b.Fingerprint)) })
		if c.size() > 0 {
			own = append(own, c)
		}
	}
	slices.SortFunc(own, func(a, b Crash) int { return int(b.Remaining - a.Remaining) })
	size := 0
	var out []Crash
	for _, c := range own {
		if size+c.size() > n {
			// The weaker suspects of a large report are left out first.
			c.Young, c.YoungParts = nil, nil
		}
		if c.size() > 0 && size+c.size() <= n {
			size += c.size()
			out = append(out, c)
		}
	}
	return out
}
