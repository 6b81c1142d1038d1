package picker

import (
	"math/bits"
	"slices"
)

const (
	// bucketsPerEndpoint determines the size of a table of homes.
	bucketsPerEndpoint = 4
	// saltStep spreads the homes of one prefix over the table: 2^64 divided by the
	// golden ratio.
	saltStep = 0x9e3779b97f4a7c15
)

// homes maps hashes to endpoints by rendezvous hashing, precomputed for a power of
// two of buckets. When an endpoint is removed, only its own buckets move.
type homes []int32

// homesCache shares tables of homes between pools: pools of different roles often
// have the same endpoints.
type homesCache struct {
	endpoints []endpoint
	lists     [][]int32
	tables    []homes
}

// get returns the table for the endpoints of list.
func (c *homesCache) get(list []int32) homes {
	for k := range c.lists {
		if slices.Equal(c.lists[k], list) {
			return c.tables[k]
		}
	}
	table := newHomes(list, c.endpoints)
	c.lists = append(c.lists, list)
	c.tables = append(c.tables, table)
	return table
}

// newHomes builds the table for the endpoints of list. The share of an endpoint is
// proportional to its weight.
func newHomes(list []int32, endpoints []endpoint) homes {
	if len(list) == 0 {
		return nil
	}
	size := 1 << bits.Len(uint(len(list)*bucketsPerEndpoint-1))
	table := make(homes, size)
	for b := range table {
		table[b] = rendezvous(mix(uint64(b)+saltStep), list, endpoints)
	}
	return table
}

// rendezvous returns the endpoint of list with the highest score for key. An endpoint
// of reduced weight competes only for that share of the keys.
func rendezvous(key uint64, list []int32, endpoints []endpoint) int32 {
	best := list[0]
	var bestScore uint64
	for _, i := range list {
		e := &endpoints[i]
		score := mix(key ^ e.hash)
		if score < bestScore {
			continue
		}
		if e.weight < fullWeight && mix(score)%fullWeight >= uint64(e.weight) {
			continue
		}
		best, bestScore = i, score
	}
	return best
}

// home returns one of the homes of a prefix; number counts them from 0.
func (h homes) home(prefix, number uint64) int32 {
	return h[mix(prefix+number*saltStep)&uint64(len(h)-1)]
}

// mix is the 64-bit finaliser of MurmurHash3, which spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
