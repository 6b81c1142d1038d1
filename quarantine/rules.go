package quarantine

// kind is what a fingerprint identifies.
type kind int

const (
	kindContent kind = iota
	kindPart
)

// uncleared is the set of contents and parts in flight at a crash that are not cleared
// of it.
type uncleared map[Fingerprint]kind

// computeStates applies the rules of the package to the crashes. Contents that are
// absent from the result are clean. It is a pure function.
func computeStates(crashes []uncleared) map[Fingerprint]State {
	crashesOf := make(map[Fingerprint][]uncleared)
	for _, c := range crashes {
		for fp := range c {
			crashesOf[fp] = append(crashesOf[fp], c)
		}
	}
	out := make(map[Fingerprint]State)
	for fp, cs := range crashesOf {
		if mustQuarantine(fp, cs) {
			out[fp] = Quarantined
		}
	}
	for _, c := range withoutExplained(crashes, out) {
		for fp := range c {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// mustQuarantine reports whether the crashes at which fp was in flight quarantine
// it.
func mustQuarantine(fp Fingerprint, cs []uncleared) bool {
	if len(cs) >= crashLimit && cs[0][fp] == kindContent {
		return true
	}
	return len(cs) >= minCrashes && len(inseparable(fp, cs)) == 1
}

// inseparable returns fp and the others that were in flight at all crashes at which fp
// was.
func inseparable(fp Fingerprint, cs []uncleared) []Fingerprint {
	out := []Fingerprint{fp}
	for other := range cs[0] {
		if other != fp && inAll(other, cs[1:]) {
			out = append(out, other)
		}
	}
	return out
}

// refusedTogether returns the sets of contents and parts of which one certainly is the
// cause of several crashes, though not which one. A request that has all of a set
// must not run.
func refusedTogether(crashes []uncleared, states map[Fingerprint]State) [][]Fingerprint {
	crashesOf := make(map[Fingerprint][]uncleared)
	for _, c := range withoutExplained(crashes, states) {
		for fp := range c {
			crashesOf[fp] = append(crashesOf[fp], c)
		}
	}
	var sets [][]Fingerprint
	for fp, cs := range crashesOf {
		if len(cs) >= minCrashes {
			sets = append(sets, inseparable(fp, cs))
		}
	}
	return sets
}

// withoutExplained returns the crashes without the contents and parts that a quarantined
// one explains. A content explains other contents only: a request that is sent again after
// a crash may be in flight at the next one by chance, and the parts that it would free may
// cause many more.
func withoutExplained(crashes []uncleared, states map[Fingerprint]State) []uncleared {
	var out []uncleared
	for _, c := range crashes {
		left := make(uncleared)
		byContent, byPart := isExplained(c, states, kindContent), isExplained(c, states, kindPart)
		for fp, k := range c {
			if !byPart && !(byContent && k == kindContent) {
				left[fp] = k
			}
		}
		if len(left) > 0 {
			out = append(out, left)
		}
	}
	return out
}

func inAll(fp Fingerprint, cs []uncleared) bool {
	for _, c := range cs {
		if _, ok := c[fp]; !ok {
			return false
		}
	}
	return true
}

// isExplained reports whether something of a kind that is quarantined was in flight.
func isExplained(c uncleared, states map[Fingerprint]State, k kind) bool {
	for fp, of := range c {
		if of == k && states[fp] == Quarantined {
			return true
		}
	}
	return false
}
