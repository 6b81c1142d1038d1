// Package config holds the configuration in force at this node. It is swapped
// whole; whoever reads it keeps one immutable snapshot for as long as a
// request lasts.
package config

import (
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/identity"
)

// Snapshot is one accepted configuration with what is derived from it. It is
// immutable.
type Snapshot struct {
	// Version grows with each accepted configuration, from 1.
	Version uint64
	// Hash is the SHA-256 of Text, in hexadecimal.
	Hash string
	// Text is the canonical form.
	Text []byte
	// Operator names who handed it over.
	Operator string
	// InForceSince is when it came into force at this node.
	InForceSince time.Time
	// Deployment is the decoded configuration.
	Deployment *deployment.Deployment
	// Directory finds organisations by key.
	Directory *identity.Directory
}

// NewSnapshot parses text and derives what requests need. Errors are
// *strictyaml.FaultsError.
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

// Holder publishes the snapshot in force. It is safe for many goroutines.
type Holder struct {
	current atomic.Pointer[Snapshot]
}

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Advance puts next in force unless the one in force is as new or newer, and
// tells whether it did. A node's configuration never goes back.
func (h *Holder) Advance(next *Snapshot) bool {
	for {
		now := h.current.Load()
		if now != nil && now.Version >= next.Version {
			return false
		}
		if h.current.CompareAndSwap(now, next) {
			return true
		}
	}
}
