package picker

import (
	"math/bits"
	"slices"
)

const (
	// bucketsPerEndpoint sets the size of a table of homes.
	bucketsPerEndpoint = 4
	// saltStep spreads the salts of a prefix over the table.
	saltStep = 0x9e3779b97f4a7c15
)

// homes maps hashes to endpoints by rendezvous, precomputed for a power of two
// of buckets. When an endpoint goes, only its own buckets move.
type homes []int32

// homesCache builds each table once: pools of different roles often hold the
// same endpoints.
type homesCache struct {
	endpoints []endpoint
	lists     [][]int32
	tables    []homes
}

// get returns the table over list.
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

// newHomes builds the table over list. The share of an endpoint follows its
// weight.
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

// rendezvous returns the endpoint of list with the highest score for key. An
// endpoint of reduced weight takes part in that share of the keys.
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

// home returns the endpoint number salt for a prefix.
func (h homes) home(prefix, salt uint64) int32 {
	return h[mix(prefix+salt*saltStep)&uint64(len(h)-1)]
}

// mix is a 64-bit finaliser: it spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
