package membership_test

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
)

// FuzzHandleExchange sends arbitrary messages to a node. The node must keep its
// name, stay alive and never lower its incarnation, and other nodes must accept
// its own record over whatever the message said about it.
func FuzzHandleExchange(f *testing.F) {
	for _, m := range []*cyclamenpointv1.Member{
		{Name: "self", Incarnation: math.MaxUint64, Health: cyclamenpointv1.Health_HEALTH_DEAD},
		{Name: "self", Incarnation: 7, Sequence: math.MaxUint64, Health: cyclamenpointv1.Health_HEALTH_DEAD},
		{Name: "self", Incarnation: 9, Health: cyclamenpointv1.Health_HEALTH_SUSPECT, Leaving: true},
		{Name: "other", Health: 77},
		{},
	} {
		items := []*cyclamenpointv1.Item{{Kind: "config", Value: make([]byte, membership.MaxItemBytes+1)}}
		seed, err := proto.Marshal(&cyclamenpointv1.ExchangeRequest{Members: []*cyclamenpointv1.Member{m}, Items: items, Digest: []uint64{1}})
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &cyclamenpointv1.ExchangeRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		node := membership.NewNode(membership.Config{Self: membership.Record{Name: "self", Incarnation: 7}})
		node.HandleExchange(req)
		self := node.Self()
		assert.Equal(t, self.Name, "self")
		assert.Equal(t, self.Health, membership.Alive)
		assert.Assert(t, self.Incarnation >= 7)
		other := membership.NewNode(membership.Config{Self: membership.Record{Name: "peer", Incarnation: 1}})
		other.HandleExchange(req)
		copyState(other, node)
		replicated, ok := other.Member("self")
		assert.Assert(t, ok)
		assert.Equal(t, replicated.Health, membership.Alive)
		assert.Equal(t, replicated.Incarnation, self.Incarnation)
	})
}

// copyState sends the full state of from to the other node.
func copyState(to, from *membership.Node) {
	resp := from.HandleExchange(&cyclamenpointv1.ExchangeRequest{All: true})
	to.HandleExchange(&cyclamenpointv1.ExchangeRequest{Members: resp.GetMembers()})
}
