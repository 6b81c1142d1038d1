package rpc

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// BenchmarkMessageSize reports the sizes of the messages of a group of 32 ranks.
func BenchmarkMessageSize(b *testing.B) {
	var members mapswitch.RankSet
	for r := range mapswitch.Rank(32) {
		members = members.With(r)
	}
	ref := mapswitch.Ref{Version: 1 << 20, Hash: "0123456789abcdef"}
	p := mapswitch.Proposal{ID: mapswitch.ID{Token: 1 << 20, Seq: 9}, Epoch: 1 << 10, Members: members, Map: ref, Step: 1 << 40}
	for name, msg := range map[string]mapswitch.Message{
		"propose": mapswitch.Propose{Proposal: p, Incarnation: 1 << 62},
		"vote":    mapswitch.Vote{ID: p.ID, Yes: true},
		"decide":  mapswitch.Decide{Proposal: p, Commit: true},
		"applied": mapswitch.Applied{ID: p.ID},
		"inquire": mapswitch.Inquire{Token: 1 << 20, Epoch: 1 << 10, Load: mapswitch.Map{Ref: ref}},
		"report":  mapswitch.Report{Token: 1 << 20, Incarnation: 1 << 62, Engine: 1 << 62, Epoch: 1 << 10, Step: 1 << 40, InForce: ref, Ready: ref},
	} {
		b.Run(name, func(b *testing.B) {
			var size int
			for b.Loop() {
				req, err := encode("group-0", mapswitch.Envelope{From: 0, To: 31, Msg: msg})
				if err != nil {
					b.Fatal(err)
				}
				size = proto.Size(req)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
