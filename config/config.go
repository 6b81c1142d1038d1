// Package config holds the configuration in force at a node as an immutable
// snapshot that is replaced as a whole. A request uses the same snapshot from its
// start to its end.
package config

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/identity"
)

// Snapshot is an accepted configuration and the data derived from it. It is
// immutable.
type Snapshot struct {
	// Version starts at 1 and increases with each accepted configuration.
	Version uint64
	// Hash is the SHA-256 of Text, in hexadecimal.
	Hash string
	// Text is the canonical form of the configuration, as YAML.
	Text []byte
	// Operator is the name of the operator who submitted the configuration.
	Operator string
	// InForceSince is when the snapshot came into force at this node.
	InForceSince time.Time
	// Deployment is the parsed configuration.
	Deployment *deployment.Deployment
	// Directory finds the organisation of an API key.
	Directory *identity.Directory
}

// NewSnapshot parses text and returns a snapshot that is in force from now on.
// Faults of text are reported as a *strictyaml.FaultsError.
func NewSnapshot(version uint64, operator string, text []byte) (*Snapshot, error) {
	d, err := deployment.Parse("configuration", text)
	if err != nil {
		return nil, err
	}
	canonical, err := d.Canonical()
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Version:      version,
		Hash:         deployment.HashOf(canonical),
		Text:         canonical,
		Operator:     operator,
		InForceSince: time.Now(),
		Deployment:   d,
		Directory:    identity.NewDirectory(d),
	}, nil
}

// Holder holds the snapshot in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Advance replaces the snapshot in force by next if next has a higher version, and
// reports whether it did. The version at a node therefore never decreases.
func (h *Holder) Advance(next *Snapshot) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
