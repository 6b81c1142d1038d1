package node

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// States returns what the membership knows of the endpoints. It implements
// router.Members.
func (c *core) States() map[string]picker.State {
	return balancer.States(c.members.Members(), c.started)
}

// Changed implements router.Members.
func (c *core) Changed() <-chan struct{} { return c.members.Changed() }

// ReportUnresponsive implements router.Members.
func (c *core) ReportUnresponsive(endpoint string) { c.members.ReportUnresponsive(endpoint) }

// Available returns those of the endpoints that are not known to be dead or
// leaving, or all of them if none is left.
func (c *core) Available(endpoints []string) []string {
	states := c.States()
	left := slices.DeleteFunc(slices.Clone(endpoints), func(name string) bool {
		return states[name].Health >= picker.HealthDead
	})
	if len(left) == 0 {
		return endpoints
	}
	return left
}
