// Package bubble keeps the race detector from crashing in tests that use
// testing/synctest. Their test files import it for its side effect: under the race
// detector the tests of the package run on one processor.
//
// In go1.26 a select that finds an expired timer in a bubble runs the timer in a
// context of the race detector that all timers of the bubble share, without a lock.
// Two such selects at the same time, or one beside the bubble's own timers, corrupt
// the detector, which then crashes the process. The detector finds races without
// parallelism too, since it compares the order of events.
package bubble
