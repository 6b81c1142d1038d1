package mapswitch

import "fmt"

// stepRecord is one step that an engine ran, as the engine wrote it down.
type stepRecord struct {
	Rank   Rank
	Epoch  uint64
	Step   uint64
	Map    Ref
	Loaded bool
}

// orderRecord is one order that an engine took, in the order of its log.
type orderRecord struct {
	Rank  Rank
	Token uint64
	Epoch uint64
}

// violation is what the checker finds; zero means none.
type violation struct{ What string }

// check reads the engines' records alone and knows nothing of the protocol.
func check(steps []stepRecord, orders []orderRecord) violation {
	type instant struct{ epoch, step uint64 }
	maps := make(map[instant]stepRecord)
	for _, s := range steps {
		if !s.Loaded {
			return violation{fmt.Sprintf("rank %d served map %d in step %d/%d without its experts", s.Rank, s.Map.Version, s.Epoch, s.Step)}
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
			return violation{fmt.Sprintf("rank %d carried out an order of token %d after token %d", o.Rank, o.Token, last.Token)}
		}
		if o.Epoch < last.Epoch {
			return violation{fmt.Sprintf("rank %d went back from epoch %d to %d", o.Rank, last.Epoch, o.Epoch)}
		}
		newest[o.Rank] = o
	}
	return violation{}
}
