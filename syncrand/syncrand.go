// Package syncrand draws random numbers that many goroutines may share.
package syncrand

import "math/rand/v2"

// source draws from the runtime's random source.
type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }

// New returns a generator that is safe for concurrent use.
func New() *rand.Rand { return rand.New(source{}) }
