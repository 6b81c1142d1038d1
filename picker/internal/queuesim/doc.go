// Package queuesim simulates policies that pick endpoints, in virtual time. It models
// only what a pick depends on: endpoints with slots, a serial prompt processor and a
// prefix cache, entry nodes that count their own requests, and the latency of a
// probe. All randomness comes from one seed.
package queuesim
