package gateway

import "github.com/cyclamenpoint/cyclamenpoint/discovery"

// withDeparted returns a list with the endpoints of old that are missing from
// it, but for those that were leaving or whose address another one has. After an
// outage of the store, the entries of live endpoints may have lapsed.
func withDeparted(list []discovery.Endpoint, old *discovery.Set) []discovery.Endpoint {
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
