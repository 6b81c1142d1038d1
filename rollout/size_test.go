//go:build !race

package rollout

// swarmSizes are the sizes of the swarms: a small site, and 350 nodes before
// 600 workers.
var swarmSizes = []int{21, 950}
