package quarantine

// fact is a crash as the rules see it: the requests that are not cleared of it.
type fact map[Fingerprint]bool

// judge applies the rules to the crashes. Requests that are absent from the
// result are clean. It is pure.
func judge(crashes []fact) map[Fingerprint]State {
	of := make(map[Fingerprint][]fact)
	for _, c := range crashes {
		for fp := range c {
			of[fp] = append(of[fp], c)
		}
	}
	out := make(map[Fingerprint]State)
	for fp, cs := range of {
		if convicted(fp, cs) {
			out[fp] = Quarantined
		}
	}
	for _, c := range crashes {
		if explained(c, out) {
			continue
		}
		for fp := range c {
			out[fp] = max(out[fp], Suspect)
		}
	}
	return out
}

// convicted reports whether the crashes that fp was in flight at quarantine it.
func convicted(fp Fingerprint, cs []fact) bool {
	if len(cs) >= crashLimit {
		return true
	}
	if len(cs) < crashesToConvict {
		return false
	}
	for other := range cs[0] {
		if other != fp && inAll(other, cs[1:]) {
			return false
		}
	}
	return true
}

func inAll(fp Fingerprint, cs []fact) bool {
	for _, c := range cs {
		if !c[fp] {
			return false
		}
	}
	return true
}

func explained(c fact, states map[Fingerprint]State) bool {
	for fp := range c {
		if states[fp] == Quarantined {
			return true
		}
	}
	return false
}
