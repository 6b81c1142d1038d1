package node

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// States returns the state of each endpoint in the membership, by name. It
// implements router.Members.
func (c *core) States() map[string]picker.State {
	return balancer.States(c.members.Members(), c.started)
}

// Changed implements router.Members.
func (c *core) Changed() <-chan struct{} { return c.members.Changed() }

// ReportUnresponsive implements router.Members.
func (c *core) ReportUnresponsive(endpoint string) { c.members.ReportUnresponsive(endpoint) }

// Available returns the endpoints that are not known to be dead or leaving, or
// all of them if every one is. It implements router.Members.
func (c *core) Available(endpoints []string) []string {
	states := c.States()
	available := slices.DeleteFunc(slices.Clone(endpoints), func(name string) bool {
		return states[name].Health >= picker.HealthDead
	})
	if len(available) == 0 {
		return endpoints
	}
	return available
}
