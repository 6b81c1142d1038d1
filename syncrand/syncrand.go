// Package syncrand provides pseudo-random generators for concurrent use. They are
// not for cryptography.
package syncrand

import "math/rand/v2"

// source is the global source of math/rand/v2, which is safe for concurrent use.
type source struct{}

// Uint64 implements rand.Source.
func (source) Uint64() uint64 { return rand.Uint64() }

// New returns a generator that is safe for concurrent use.
func New() *rand.Rand { return rand.New(source{}) }
