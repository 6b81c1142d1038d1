package quarantine

// kind is what a fingerprint identifies.
type kind int

const (
	kindContent kind = iota
	kindPart
)

// involvement is how a content or part was in flight at a crash. young is true if the
// answers to all requests with it had begun.
type involvement struct {
	kind  kind
	young bool
}

// uncleared is the set of contents and parts in flight at a crash that are not cleared
// of it.
type uncleared map[Fingerprint]involvement

// crashesOf returns the crashes at which each content and part was in flight.
func crashesOf(crashes []uncleared) map[Fingerprint][]uncleared {
	out := make(map[Fingerprint][]uncleared)
	for _, c := range crashes {
		for fp := range c {
			out[fp] = append(out[fp], c)
		}
	}
	return out
}

// withoutYoung returns the crashes with only those that waited for an answer.
func withoutYoung(crashes []uncleared) []uncleared {
	var out []uncleared
	for _, c := range crashes {
		left := make(uncleared)
		for fp, in := range c {
			if !in.young {
				left[fp] = in
			}
		}
		if len(left) > 0 {
			out = append(out, left)
		}
	}
	return out
}

// computeStates applies the rules of the package to the crashes. Contents that are
// absent from the result are clean. It is a pure function.
func computeStates(crashes []uncleared) map[Fingerprint]State {
	out := make(map[Fingerprint]State)
	for fp, cs := range crashesOf(withoutYoung(crashes)) {
		if mustQuarantine(fp, cs, minCrashes) {
			out[fp] = Quarantined
		}
	}
	for fp, cs := range crashesOf(crashes) {
		if mustQuarantine(fp, cs, crashLimit) {
			out[fp] = Quarantined
		}
	}
	for fp, cs := range crashesOf(withoutExplained(crashes, out)) {
		if len(cs) >= minCrashes || !cs[0][fp].young {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// mustQuarantine reports whether the crashes at which fp was in flight quarantine it.
// needed is the number of crashes that suffice if nothing else was in flight at all of them.
func mustQuarantine(fp Fingerprint, cs []uncleared, needed int) bool {
	if len(cs) >= crashLimit && cs[0][fp].kind == kindContent {
		return true
	}
	return len(cs) >= needed && len(inseparable(fp, cs)) == 1
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
	unexplained := withoutExplained(crashes, states)
	var sets [][]Fingerprint
	add := func(crashes []uncleared, needed int) {
		for fp, cs := range crashesOf(crashes) {
			if len(cs) >= needed {
				sets = append(sets, inseparable(fp, cs))
			}
		}
	}
	add(withoutYoung(unexplained), minCrashes)
	add(unexplained, crashLimit)
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
		for fp, in := range c {
			if !byPart && !(byContent && in.kind == kindContent) {
				left[fp] = in
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
	for fp, in := range c {
		if in.kind == k && states[fp] == Quarantined {
			return true
		}
	}
	return false
}
