// Package queuefake compares ways of picking an endpoint in virtual time. It
// models what a pick depends on and no more: endpoints with slots, a serial
// prompt processor and a prefix cache, entries with their own counts, and the
// latency of a probe. All randomness comes from one seed.
package queuefake
