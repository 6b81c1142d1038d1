// Package mapswitch switches a rank group to a new expert map by atomic
// commitment: all ranks switch at the same step boundary, or none does.
//
// The package contains two state machines without goroutines or clocks: a
// Participant in the agent of each rank, and a Coordinator in the agent that
// holds the group's lease. A Node runs both for one engine. A proposal is
// committed when every member of the group's epoch has voted for it, and
// aborted when one member has refused it. Votes and refusals are final, so any
// agent can derive the outcome from them without the coordinator. An agent
// votes only after its engine has confirmed a hold at the switching step. The
// hold ends only when the agent has derived or received the outcome, or joins a
// new epoch.
package mapswitch

import (
	"encoding/binary"
	"iter"
	"math/bits"
)

// MaxRanks is the largest number of ranks of a group.
const MaxRanks = 256

const wordBits = 64

// Rank is the index of an engine in its group, from 0 to MaxRanks-1.
type Rank int32

// RankSet is a set of ranks. It is comparable, and its zero value is empty.
type RankSet [MaxRanks / wordBits]uint64

// Ranks returns the set of the given ranks.
func Ranks(ranks ...Rank) RankSet {
	var s RankSet
	for _, r := range ranks {
		s = s.With(r)
	}
	return s
}

// With returns the set with r added. A rank outside 0 to MaxRanks-1 is ignored.
func (s RankSet) With(r Rank) RankSet {
	if r >= 0 && r < MaxRanks {
		s[r/wordBits] |= 1 << (r % wordBits)
	}
	return s
}

// Without returns the set with r removed.
func (s RankSet) Without(r Rank) RankSet {
	if r >= 0 && r < MaxRanks {
		s[r/wordBits] &^= 1 << (r % wordBits)
	}
	return s
}

// Has reports whether r is in the set.
func (s RankSet) Has(r Rank) bool {
	return r >= 0 && r < MaxRanks && s[r/wordBits]&(1<<(r%wordBits)) != 0
}

// Contains reports whether every rank of other is in the set.
func (s RankSet) Contains(other RankSet) bool {
	for i, word := range other {
		if word&^s[i] != 0 {
			return false
		}
	}
	return true
}

// Len returns the number of ranks.
func (s RankSet) Len() int {
	n := 0
	for _, word := range s {
		n += bits.OnesCount64(word)
	}
	return n
}

// All yields the ranks in ascending order.
func (s RankSet) All() iter.Seq[Rank] {
	return func(yield func(Rank) bool) {
		for i, word := range s {
			for ; word != 0; word &= word - 1 {
				if !yield(Rank(i*wordBits + bits.TrailingZeros64(word))) {
					return
				}
			}
		}
	}
}

// Ref identifies an expert map. The versions of a group's maps only increase;
// the hash distinguishes two maps with the same version.
type Ref struct {
	Version uint64
	Hash    string
}

// Map is an expert map. This package doesn't interpret its content. If Data is
// empty, the engine reads the map by its Ref from the object store.
type Map struct {
	Ref
	Data string
}

// ID identifies a proposal by the fencing token of its coordinator and a
// sequence number under that token. IDs are never reused.
type ID struct {
	Token uint64
	Seq   uint64
}

// Less orders IDs by token, then by sequence number.
func (id ID) Less(other ID) bool {
	if id.Token != other.Token {
		return id.Token < other.Token
	}
	return id.Seq < other.Seq
}

// Proposal is a proposal that the members of an epoch use Map from Step on.
type Proposal struct {
	ID
	Epoch   uint64
	Members RankSet
	Map     Ref
	Step    uint64
}

// Record is the group's durable record in the table service. A single
// conditional write of the record decides a new Epoch. Map is the map that the
// epoch starts with, and is updated after each switch. Token is the fencing
// token of the agent that wrote the record.
type Record struct {
	Epoch   uint64
	Members RankSet
	// Engines holds the engine incarnation of each member, as packed by
	// PackEngines. An engine that restarted since is not a member of the epoch.
	Engines string
	Map     Ref
	Token   uint64
}

// engineBytes is the size of a packed engine incarnation in bytes.
const engineBytes = 8

// PackEngines encodes engine incarnations, given in ascending order of rank, as
// a comparable value.
func PackEngines(incarnations []uint64) string {
	packed := make([]byte, 0, len(incarnations)*engineBytes)
	for _, n := range incarnations {
		packed = binary.BigEndian.AppendUint64(packed, n)
	}
	return string(packed)
}

// Engine returns the engine incarnation of member r.
func (rec Record) Engine(r Rank) (incarnation uint64, ok bool) {
	if !rec.Members.Has(r) {
		return 0, false
	}
	index := 0
	for member := range rec.Members.All() {
		if member == r {
			break
		}
		index++
	}
	at := index * engineBytes
	if len(rec.Engines) < at+engineBytes {
		return 0, false
	}
	return binary.BigEndian.Uint64([]byte(rec.Engines[at : at+engineBytes])), true
}
