//go:build !race

package rollout

// swarmSizes holds the numbers of nodes of the tested swarms: a small site, and a
// large one of 350 entry nodes and 600 workers.
var swarmSizes = []int{21, 950}
