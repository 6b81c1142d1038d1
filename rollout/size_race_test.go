//go:build race

package rollout

// swarmSizes are the sizes of the swarms. Under the race detector there is no
// large one: the detector ends the process with a failed check of its own
// (tsan_rtl.cpp:346) when a bubble of testing/synctest fires very many timers.
// The size of 950 nodes runs without it.
var swarmSizes = []int{21}
