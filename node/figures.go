package node

import (
	"expvar"

	"github.com/cyclamenpoint/cyclamenpoint/claim"
)

// figures holds what each node of the process counts, by the node's name: its
// configuration, its membership, and at an agent its claims.
var figures = expvar.NewMap("node")

// configFigures is the published state of the configuration.
type configFigures struct {
	InForce uint64 `json:"in_force"`
	Held    uint64 `json:"held"`
	Source  string `json:"source"`
	Reads   int64  `json:"table_reads"`
	Bodies  int64  `json:"bodies"`
	Ready   bool   `json:"ready"`
}

// publish shows what the node counts.
func (c *core) publish() {
	figures.Set(c.settings.Name+".config", expvar.Func(func() any {
		s := c.follower.Status()
		return configFigures{
			InForce: s.InForce.Number, Held: s.Held.Number, Source: string(s.Source),
			Reads: s.Reads, Bodies: s.Bodies, Ready: s.Ready == nil,
		}
	}))
	figures.Set(c.settings.Name+".members", c.members.Stats())
}

// publishClaims shows what the agent's claims count.
func (c *core) publishClaims(claims *claim.Ledger) {
	figures.Set(c.settings.Name+".claims", expvar.Func(func() any { return claims.Stats() }))
}
