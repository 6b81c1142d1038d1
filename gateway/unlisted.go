package gateway

import "github.com/cyclamenpoint/cyclamenpoint/discovery"

// withUnlisted returns list plus the endpoints of old that are missing from it, except
// those that were draining and those whose address another endpoint has now. It is used
// after an outage of the store, in which the entries of live endpoints may have
// expired.
func withUnlisted(list []discovery.Endpoint, old *discovery.Set) []discovery.Endpoint {
	listed := make(map[string]bool, len(list))
	taken := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID], taken[e.Address] = true, true
	}
	for id, e := range old.All() {
		if !listed[id] && !taken[e.Address] && !e.Draining {
			list = append(list, e)
		}
	}
	return list
}
