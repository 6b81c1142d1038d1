// Package identity maps the API key of a caller to an organisation. It stores only
// hashes of the keys.
package identity

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

const bearerPrefix = "Bearer "

// Directory maps API keys to organisations. It is immutable and therefore safe for
// concurrent use.
type Directory struct {
	entries []entry
}

type entry struct {
	hash         [sha256.Size]byte
	organisation *deployment.Organisation
}

// NewDirectory returns the directory of a deployment that Parse has checked.
func NewDirectory(d *deployment.Deployment) *Directory {
	dir := &Directory{}
	for i := range d.Organisations {
		for _, key := range d.Organisations[i].KeySHA256 {
			e := entry{organisation: &d.Organisations[i]}
			// The error is ignored because a valid deployment holds 64 hexadecimal
			// digits.
			_, _ = hex.Decode(e.hash[:], []byte(key))
			dir.entries = append(dir.entries, e)
		}
	}
	return dir
}

// Identify returns the organisation of an Authorization header, or nil if the key is
// unknown. It compares the key with every entry, each in constant time, so that the
// duration of a call reveals nothing about the stored keys.
func (d *Directory) Identify(authorization string) *deployment.Organisation {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
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
