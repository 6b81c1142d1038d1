package quarantine

import "slices"

// TrialEndpoint returns the endpoint at which a suspect runs, as far as this
// node knows: the trial endpoint among those that the content has not crashed,
// which are not down, or among all if it has crashed them all. Nodes that know
// the same facts and endpoints agree on it.
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

// crashedEndpoints names the endpoints that crashed with the content in flight.
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
