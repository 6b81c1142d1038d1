package quarantine

import "github.com/cespare/xxhash/v2"

// Digest returns a number that depends on which facts there are, and not on how long they
// are kept. It is never zero.
func (l *List) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	sum := uint64(1)
	for key := range l.crashes {
		sum += xxhash.Sum64String(key.crash.String() + "\x00" + key.reporter)
	}
	for key := range l.clears {
		sum += xxhash.Sum64String(string(key.fingerprint) + "\x00" + key.crash.String())
	}
	return max(sum, 1)
}

// HasNewCrash reports whether TakeNew would return a crash.
func (l *List) HasNewCrash() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.crashes {
		if !l.exchanged[key] {
			return true
		}
	}
	return false
}

// TakeNew returns the facts that no other node has sent and that TakeNew has not returned
// before.
func (l *List) TakeNew() Facts {
	all := l.Facts()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Facts
	for _, c := range all.Crashes {
		if key := (reportKey{c.ID, c.Reporter}); !l.exchanged[key] {
			l.exchanged[key] = true
			out.Crashes = append(out.Crashes, c)
		}
	}
	for _, c := range all.Clears {
		if key := (clearKey{c.Fingerprint, c.Crash}); !l.exchanged[key] {
			l.exchanged[key] = true
			out.Clears = append(out.Clears, c)
		}
	}
	return out
}

// Split divides facts into sets with at most n fingerprints, or with one fact.
func (f Facts) Split(n int) []Facts {
	var out []Facts
	var part Facts
	size := 0
	add := func(weight int) {
		if size > 0 && size+weight > n {
			out, part, size = append(out, part), Facts{}, 0
		}
		size += weight
	}
	for _, c := range f.Crashes {
		add(1 + c.size())
		part.Crashes = append(part.Crashes, c)
	}
	for _, c := range f.Clears {
		add(1)
		part.Clears = append(part.Clears, c)
	}
	if size > 0 {
		out = append(out, part)
	}
	return out
}
