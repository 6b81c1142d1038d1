// Package identity tells which organisation a caller belongs to. It holds only
// hashes of API keys.
package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

const bearer = "Bearer "

// Directory maps API keys to organisations. It is immutable and safe for use
// by many goroutines.
type Directory struct {
	entries []entry
}

type entry struct {
	hash         [sha256.Size]byte
	organisation *deployment.Organisation
}

// NewDirectory builds the directory of a checked deployment.
func NewDirectory(d *deployment.Deployment) *Directory {
	dir := &Directory{}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].KeySHA256 {
			e := entry{organisation: &d.Organisations[i]}
			// The deployment's rules guarantee 64 hexadecimal digits.
			_, _ = hex.Decode(e.hash[:], []byte(key))
			dir.entries = append(dir.entries, e)
		}
	}
	return dir
}

// Identify returns the organisation of an Authorization header, or nil. Every
// call compares the key with all entries, so that its time tells nothing about
// which of them came close.
func (d *Directory) Identify(authorization string) *deployment.Organisation {
	key, ok := strings.CutPrefix(authorization, bearer)
	if !ok {
		return nil
	}
	hash := sha256.Sum256([]byte(key))
	var found *deployment.Organisation
	for i := range d.entries {
		if subtle.ConstantTimeCompare(hash[:], d.entries[i].hash[:]) == 1 {
			found = d.entries[i].organisation
		}
	}
	return found
}
