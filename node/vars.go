package node

import (
	"expvar"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
)

// nodeVars holds the expvar variables of each node of the process, by the
// node's name: its configuration, its membership, and at an agent its claims.
var nodeVars = expvar.NewMap("node")

// configVars is the published state of a node's configuration.
type configVars struct {
	InForce uint64 `json:"in_force"`
	Held    uint64 `json:"held"`
	Source  string `json:"source"`
	Reads   int64  `json:"table_reads"`
	Bodies  int64  `json:"bodies"`
	Ready   bool   `json:"ready"`
}

// publishVars publishes the node's variables.
func (c *core) publishVars() {
	nodeVars.Set(c.settings.Name+".config", expvar.Func(func() any {
		s := c.follower.Status()
		return configVars{
			InForce: s.InForce.Number, Held: s.Held.Number, Source: string(s.Source),
			Reads: s.Reads, Bodies: s.Bodies, Ready: s.Ready == nil,
		}
	}))
	nodeVars.Set(c.settings.Name+".members", c.members.Stats())
}

// publishClaimVars publishes the counters of the agent's claims.
func (c *core) publishClaimVars(claims *claim.Ledger) {
	nodeVars.Set(c.settings.Name+".claims", expvar.Func(func() any { return claims.Stats() }))
}
