// Package picker chooses the endpoint of one attempt. It is pure: a policy
// reads an immutable Snapshot, a Request and a random source, and returns a
// choice with its reason. It keeps no state, starts no goroutine and reads no
// clock. The caller owns the mechanism: it builds snapshots, sends probes,
// counts its own work and writes the log line.
//
// A choice has two steps. Candidates names a few endpoints worth a probe.
// Choose takes the same candidates with the answers that arrived in time. An
// endpoint that did not answer can still be chosen by an older hint.
//
// Snapshots and policies may be used by any number of goroutines at once. A
// Request, a random source and a slice of candidates belong to one caller.
package picker
