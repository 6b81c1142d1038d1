package quarantine

// uncleared is the set of contents in flight at a crash that are not cleared of
// it.
type uncleared map[Fingerprint]bool

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
	for _, c := range crashes {
		if isExplained(c, out) {
			continue
		}
		for fp := range c {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// mustQuarantine reports whether the crashes at which fp was in flight quarantine
// it.
func mustQuarantine(fp Fingerprint, cs []uncleared) bool {
	if len(cs) >= crashLimit {
		return true
	}
	if len(cs) < minCrashes {
		return false
	}
	for other := range cs[0] {
		if other != fp && inAll(other, cs[1:]) {
			return false
		}
	}
	return true
}

func inAll(fp Fingerprint, cs []uncleared) bool {
	for _, c := range cs {
		if !c[fp] {
			return false
		}
	}
	return true
}

func isExplained(c uncleared, states map[Fingerprint]State) bool {
	for fp := range c {
		if states[fp] == Quarantined {
			return true
		}
	}
	return false
}
