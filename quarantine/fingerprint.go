package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"strconv"
)

// Fingerprint identifies a request's content in the deployment: 32 hexadecimal
// digits. Equal contents have equal fingerprints; a collision cannot be made on
// purpose.
type Fingerprint string

// fingerprintBytes is how much of the hash is kept.
const fingerprintBytes = 16

// Content is what a fingerprint is taken of.
type Content struct {
	Organisation string
	// Model is set for an engine; Service, Method and Path for a plain service.
	Model   string
	Service string
	Method  string
	Path    string
	Body    []byte
}

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(c Content) Fingerprint {
	h := sha256.New()
	for _, s := range []string{c.Organisation, c.Model, c.Service, c.Method, c.Path} {
		// The length keeps neighbouring fields apart.
		io.WriteString(h, strconv.Itoa(len(s))+":"+s)
	}
	h.Write(normalise(c.Body))
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// volatileFields are top-level fields of a generation request that change
// nothing about what the engine computes; a caller may change them from one
// repetition to the next.
var volatileFields = []string{"stream", "stream_options", "user", "metadata", "store"}

// normalise returns a form of the body that does not depend on white space, on
// the order of keys, or on volatile fields. A body that is not one JSON object
// is returned as it is.
func normalise(body []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(body))
	// Numbers keep their text, so that large ones stay apart.
	d.UseNumber()
	var object map[string]any
	if d.Decode(&object) != nil || object == nil {
		return body
	}
	if _, err := d.Token(); err != io.EOF {
		return body
	}
	for _, f := range volatileFields {
		delete(object, f)
	}
	out, err := json.Marshal(object)
	if err != nil {
		return body
	}
	return out
}
