package quarantine

import "slices"

// TrialEndpoint returns the endpoint at which a suspect runs. It selects among
// the endpoints that did not crash with the content in flight, because the others
// may still be down, or among all if all of them crashed. Nodes with the same
// facts and endpoints select the same one.
func (l *List) TrialEndpoint(fp Fingerprint, endpoints []string) string {
	crashed := l.crashedEndpoints(fp)
	left := slices.DeleteFunc(slices.Clone(endpoints), func(name string) bool {
		return slices.Contains(crashed, name)
	})
	if len(left) == 0 {
		left = endpoints
	}
	return SelectTrialEndpoint(fp, left)
}

// crashedEndpoints returns the names of the endpoints that crashed with the
// content in flight.
func (l *List) crashedEndpoints(fp Fingerprint) []string {
	var names []string
	for _, e := range l.Entries() {
		if e.Fingerprint != fp {
			continue
		}
		for _, id := range e.Crashes {
			names = append(names, id.Endpoint)
		}
	}
	return names
}
