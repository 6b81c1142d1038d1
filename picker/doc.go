// Package picker chooses the endpoint for one attempt. It holds two policies:
//
//   - ProbePolicy reads an immutable Snapshot and a Request and probes a few
//     endpoints. Candidates selects the endpoints to probe. Choose then takes the
//     same candidates with the probe replies that arrived in time. An endpoint that
//     did not reply can still be chosen by an older load hint.
//   - ReportPolicy chooses from load reports, without a probe.
//
// The package has no side effects: it holds no state, starts no goroutines and does
// not read the clock. The caller builds snapshots, sends probes, counts its own
// requests in flight and logs the choice.
//
// Snapshots and policies are safe for concurrent use. A Request, a random source
// and a slice of candidates belong to one caller.
package picker
