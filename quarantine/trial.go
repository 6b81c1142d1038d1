package quarantine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SelectTrialEndpoint returns the endpoint at which a suspect runs: the first of
// Candidates. All nodes with the same list of endpoints select the same one, so
// that copies of a suspect that arrive through different entry nodes run one after
// the other. It returns "" if there are no endpoints.
func SelectTrialEndpoint(fp Fingerprint, endpoints []string) string {
	if c := Candidates(fp, endpoints, 1); len(c) > 0 {
		return c[0]
	}
	return ""
}

// Candidates returns up to n endpoints for a content by rendezvous hashing, best
// first. An entry node that selects only among the two candidates of each request
// limits the endpoints that copies of one content can reach before a crash is
// known. Different contents are still distributed evenly.
func Candidates(fp Fingerprint, endpoints []string, n int) []string {
	type scored struct {
		endpoint string
		score    uint64
	}
	all := make([]scored, len(endpoints))
	for i, e := range endpoints {
		all[i] = scored{e, xxhash.Sum64String(string(fp) + "\x00" + e)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.endpoint, b.endpoint))
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.endpoint)
	}
	return out
}
