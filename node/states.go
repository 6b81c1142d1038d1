package node

import (
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
