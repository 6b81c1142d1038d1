package quarantine

import (
	"slices"
	"time"
)

// TrialEndpoint returns the endpoint at which a suspect runs. It selects among
// the endpoints that did not crash with the content in flight, because the others
// may still be down, or among all if all of them crashed. Nodes with the same
// facts and endpoints select the same one.
func (l *List) TrialEndpoint(fp Fingerprint, endpoints []string) string {
	return SelectTrialEndpoint(fp, withoutCrashed(endpoints, l.crashedEndpoints(fp)))
}

// withoutCrashed returns the endpoints that did not crash, or all if all of them did.
func withoutCrashed(endpoints, crashed []string) []string {
	left := slices.DeleteFunc(slices.Clone(endpoints), func(name string) bool {
		return slices.Contains(crashed, name)
	})
	if len(left) == 0 {
		return endpoints
	}
	return left
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

const (
	// groupTrialPeriod is the time after a crash during which suspects run only in the
	// rank group that crashed, so that a trial cannot stop another one.
	groupTrialPeriod = 10 * time.Second
	// severalSuspectsPeriod is the time after a crash during which a request with several
	// suspect parts does not run. A request with one of them shows more.
	severalSuspectsPeriod = 10 * time.Second
	// lastSuspectPeriod is the time after a crash during which the last of its suspects in
	// the order of trials does not run. It very probably is the cause, all the more once
	// the others were cleared, and a rank group that its trial stops takes up to ten
	// seconds to work off what waited.
	lastSuspectPeriod = 30 * time.Second
	// trialTurn is the time by which the trial of each suspect of a crash comes later than
	// that of the suspect before it. An engine is back after some seconds, and one answer
	// clears a suspect.
	trialTurn = 4 * time.Second
)

// TrialIn returns the time until a suspect may run; it is not positive if it may now.
func (j Judgement) TrialIn() time.Duration {
	switch {
	case j.Last:
		return lastSuspectPeriod - j.Age
	case len(j.Suspects) > 1:
		return severalSuspectsPeriod - j.Age
	case j.Rank > 0:
		return time.Duration(j.Rank+1)*trialTurn - j.Age
	default:
		return 0
	}
}

// TrialSite is an endpoint that may run a suspect.
type TrialSite struct {
	Endpoint string
	// Group is the endpoint's rank group, or empty.
	Group string
}

// SelectTrial returns the index of the endpoint at which the suspect runs that j judges,
// or -1 if it must not run now. Nodes with the same facts and sites select the same one,
// so requests with the same suspect part cause one crash at most, and different parts
// run at different endpoints.
func SelectTrial(j Judgement, sites []TrialSite) int {
	if len(sites) == 0 || j.TrialIn() > 0 {
		return -1
	}
	inGroup := func(s TrialSite) bool { return s.Group == j.Group }
	restricted := j.Group != "" && j.Age < groupTrialPeriod && slices.ContainsFunc(sites, inGroup)
	var names []string
	for _, s := range sites {
		if !restricted || inGroup(s) {
			names = append(names, s.Endpoint)
		}
	}
	name := SelectTrialEndpoint(slices.Min(j.Suspects), withoutCrashed(names, j.Crashed))
	return slices.IndexFunc(sites, func(s TrialSite) bool { return s.Endpoint == name })
}
