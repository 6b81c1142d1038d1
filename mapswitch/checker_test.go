package mapswitch

import "fmt"

// stepRecord is an engine's record of one executed step.
type stepRecord struct {
	Rank   Rank
	Epoch  uint64
	Step   uint64
	Map    Ref
	Loaded bool
}

// orderRecord is an engine's record of one executed order.
type orderRecord struct {
	Rank  Rank
	Token uint64
	Epoch uint64
}

// violation describes a violated invariant; the zero value means none.
type violation struct{ What string }

// check verifies the invariants from the engines' records alone, independently of
// the protocol's implementation.
func check(steps []stepRecord, orders []orderRecord) violation {
	type instant struct{ epoch, step uint64 }
	maps := make(map[instant]stepRecord)
	for _, s := range steps {
		if !s.Loaded {
			return violation{fmt.Sprintf("rank %d used map %d in step %d/%d without its experts", s.Rank, s.Map.Version, s.Epoch, s.Step)}
		}
		at := instant{s.Epoch, s.Step}
		if first, ok := maps[at]; ok && first.Map != s.Map {
			return violation{fmt.Sprintf("step %d/%d ran on map %d at rank %d and map %d at rank %d",
				s.Epoch, s.Step, first.Map.Version, first.Rank, s.Map.Version, s.Rank)}
		}
		maps[at] = s
	}
	newest := make(map[Rank]orderRecord)
	for _, o := range orders {
		last := newest[o.Rank]
		if o.Token < last.Token {
			return violation{fmt.Sprintf("rank %d executed an order of token %d after token %d", o.Rank, o.Token, last.Token)}
		}
		if o.Epoch < last.Epoch {
			return violation{fmt.Sprintf("rank %d went back from epoch %d to %d", o.Rank, last.Epoch, o.Epoch)}
		}
		newest[o.Rank] = o
	}
	return violation{}
}
