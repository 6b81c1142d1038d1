//go:build race

package rollout

import "runtime"

// swarmSizes holds the numbers of nodes of the tested swarms. The large swarm of 950
// nodes is tested without the race detector only.
var swarmSizes = []int{21}

// init limits the race detector to one processor. In go1.26 the selects that find an
// expired timer in a bubble of testing/synctest share one context of the race
// detector without a lock; two of them at once corrupt it and crash the process.
func init() { runtime.GOMAXPROCS(1) }
