//go:build race

package rollout

// swarmSizes holds the numbers of nodes of the tested swarms. With the race detector
// there is no large swarm: the detector aborts the process with an internal error
// (tsan_rtl.cpp:346) if very many timers fire in a bubble of testing/synctest. The
// swarm of 950 nodes is tested without the race detector.
var swarmSizes = []int{21}
