//go:build race

package rollout

// swarmSizes holds the numbers of nodes of the tested swarms. The large swarm of 950
// nodes is tested without the race detector only.
var swarmSizes = []int{21}
