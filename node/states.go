package node

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// healths translates the membership's belief into the picker's.
var healths = map[membership.Health]picker.Health{
	membership.Alive:   picker.HealthAlive,
	membership.Suspect: picker.HealthSuspect,
	membership.Dead:    picker.HealthDead,
}

// States returns what the membership knows of the endpoints. It implements
// router.Members.
func (c *core) States() map[string]picker.State {
	states := make(map[string]picker.State)
	for _, m := range c.members.Members() {
		if m.Kind != membership.KindAgent {
			continue
		}
		state := picker.State{Health: healths[m.Health], Since: m.Since}
		if m.Leaving {
			state.Health = picker.HealthLeaving
		}
		states[m.Name] = state
	}
	return states
}

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
